package routing

import (
	"fmt"
	"iter"
	"time"
)

// Span is a contiguous set of shard keys.
type Span struct {
	// From and To are both included.
	From int `json:"from" msgpack:"f"`
	To   int `json:"to" msgpack:"t"`
}

// Len is the number of keys.
func (s Span) Len() int { return s.To - s.From + 1 }

// Contains reports whether the key is in the span.
func (s Span) Contains(key int) bool { return s.From <= key && key <= s.To }

// Compare returns -1 if the span lies before the key, 1 if it lies behind it, and
// 0 if it has the key, for a binary search among ordered spans.
func (s Span) Compare(key int) int {
	switch {
	case s.To < key:
		return -1
	case s.From > key:
		return 1
	}
	return 0
}

// CheckCoverage returns an error if the spans are not ordered or do not cover all keys
// without gaps and overlaps. No spans at all are right, too.
func CheckCoverage(spans iter.Seq[Span]) error {
	next := 0
	for s := range spans {
		if s.From != next || s.To < s.From {
			return fmt.Errorf("gap or overlap at key %d", min(next, s.From))
		}
		next = s.To + 1
	}
	if next != 0 && next != KeyCount {
		return fmt.Errorf("the last span ends at key %d", next-1)
	}
	return nil
}

// Owner is a span of keys with its holder.
type Owner struct {
	Span
	Holder Lifetime
	// Ready says that the holder serves the span; Wait estimates when it will.
	Ready   bool
	ReadyIn time.Duration
}
