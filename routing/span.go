package routing

import (
	"fmt"
	"iter"
	"time"
)

// Span is a contiguous range of shard keys.
type Span struct {
	// From and To are inclusive.
	From int `json:"from" msgpack:"f"`
	To   int `json:"to" msgpack:"t"`
}

// Len returns the number of keys.
func (s Span) Len() int { return s.To - s.From + 1 }

// Contains reports whether the key is in the span.
func (s Span) Contains(key int) bool { return s.From <= key && key <= s.To }

// Compare returns -1 if the span is before the key, 1 if it is after the key, and 0 if it
// contains the key. It is used for binary searches in ordered spans.
func (s Span) Compare(key int) int {
	switch {
	case s.To < key:
		return -1
	case s.From > key:
		return 1
	}
	return 0
}

// CheckCoverage returns an error unless the spans are in order and cover all keys without gaps
// or overlaps. An empty sequence is valid.
func CheckCoverage(spans iter.Seq[Span]) error {
	next := 0
	for s := range spans {
		if s.From != next || s.To < s.From {
			return fmt.Errorf("spans have a gap or overlap at key %d", min(next, s.From))
		}
		next = s.To + 1
	}
	if next != 0 && next != KeyCount {
		return fmt.Errorf("spans do not cover all keys: the last one ends at key %d", next-1)
	}
	return nil
}

// Owner is a span of keys with its holder: the target that has, or is about to get, the lease on
// these keys.
type Owner struct {
	Span
	Holder Lifetime
	// Ready means that the holder serves the span. Otherwise, ReadyIn is the estimated time
	// until it does.
	Ready   bool
	ReadyIn time.Duration
}
