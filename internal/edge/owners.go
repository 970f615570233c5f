package edge

import (
	"fmt"
	"time"

	"github.com/boragegate/boragegate/routing"
)

// ownersUpdate has spans of one service: those that changed, or all. Holders are
// listed once, because a holder has several spans as a rule.
type ownersUpdate struct {
	Full    bool               `msgpack:"w,omitempty"`
	Holders []routing.Lifetime `msgpack:"h"`
	Spans   []spanUpdate       `msgpack:"s"`
}

type spanUpdate struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	From, To int
	// Holder is the index of the holder.
	Holder int
	Ready  bool
	WaitMS int64
}

func encodeOwners(owners []routing.Owner, whole bool) *ownersUpdate {
	out := &ownersUpdate{Full: whole}
	index := map[routing.Lifetime]int{}
	for _, o := range owners {
		i, ok := index[o.Holder]
		if !ok {
			i = len(out.Holders)
			index[o.Holder] = i
			out.Holders = append(out.Holders, o.Holder)
		}
		out.Spans = append(out.Spans, spanUpdate{From: o.From, To: o.To, Holder: i, Ready: o.Ready, WaitMS: o.ReadyIn.Milliseconds()})
	}
	return out
}

// apply returns the owners after the news.
func (n *ownersUpdate) apply(before []routing.Owner) ([]routing.Owner, error) {
	owners := make([]routing.Owner, 0, len(before)+len(n.Spans))
	for _, s := range n.Spans {
		if s.Holder < 0 || s.Holder >= len(n.Holders) || s.From < 0 || s.To < s.From {
			return nil, fmt.Errorf("owners: span %d to %d is not valid", s.From, s.To)
		}
		owners = append(owners, routing.Owner{
			Span: routing.Span{From: s.From, To: s.To}, Holder: n.Holders[s.Holder],
			Ready: s.Ready, ReadyIn: time.Duration(s.WaitMS) * time.Millisecond,
		})
	}
	if !n.Full {
		owners = overlay(before, owners)
	}
	err := routing.CheckCoverage(func(yield func(routing.Span) bool) {
		for _, o := range owners {
			if !yield(o.Span) {
				return
			}
		}
	})
	if err != nil {
		return nil, fmt.Errorf("owners: %w", err)
	}
	return owners, nil
}

// overlay returns the changed spans and those of before that none of them touches.
// Both are ordered.
func overlay(before, changed []routing.Owner) []routing.Owner {
	out := make([]routing.Owner, 0, len(before)+len(changed))
	for _, o := range before {
		for len(changed) > 0 && changed[0].To < o.From {
			out = append(out, changed[0])
			changed = changed[1:]
		}
		touched := len(changed) > 0 && changed[0].From <= o.To
		if last := len(out) - 1; !touched && (last < 0 || out[last].To < o.From) {
			out = append(out, o)
		}
	}
	return append(out, changed...)
}

// changedOwners returns the owners that are not in before. Estimated waits alone
// are no change.
func changedOwners(before, owners []routing.Owner) []routing.Owner {
	var out []routing.Owner
	i := 0
	for _, o := range owners {
		for i < len(before) && before[i].From < o.From {
			i++
		}
		if i == len(before) || !sameOwner(before[i], o) {
			out = append(out, o)
		}
	}
	return out
}

func sameOwner(x, y routing.Owner) bool {
	return x.Span == y.Span && x.Holder == y.Holder && x.Ready == y.Ready
}
