package edge

import (
	"fmt"
	"time"

	"github.com/boragegate/boragegate/routing"
)

// ownersUpdate has the changed spans of a service, or all spans if Full is set. Holders are
// listed once and referred to by index, because a holder usually has several spans.
type ownersUpdate struct {
	Full    bool               `msgpack:"w,omitempty"`
	Holders []routing.Lifetime `msgpack:"h"`
	Spans   []spanUpdate       `msgpack:"s"`
}

type spanUpdate struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	From, To int
	// Holder is an index into ownersUpdate.Holders.
	Holder int
	Ready  bool
	WaitMS int64 // routing.Owner.ReadyIn in milliseconds
}

func encodeOwners(owners []routing.Owner, full bool) *ownersUpdate {
	update := &ownersUpdate{Full: full}
	index := map[routing.Lifetime]int{}
	for _, o := range owners {
		i, ok := index[o.Holder]
		if !ok {
			i = len(update.Holders)
			index[o.Holder] = i
			update.Holders = append(update.Holders, o.Holder)
		}
		update.Spans = append(update.Spans, spanUpdate{From: o.From, To: o.To, Holder: i, Ready: o.Ready, WaitMS: o.ReadyIn.Milliseconds()})
	}
	return update
}

// apply returns the owners after the update. It returns an error if a span is invalid or
// the result leaves a gap or an overlap.
func (u *ownersUpdate) apply(before []routing.Owner) ([]routing.Owner, error) {
	owners := make([]routing.Owner, 0, len(before)+len(u.Spans))
	for _, s := range u.Spans {
		if s.Holder < 0 || s.Holder >= len(u.Holders) || s.From < 0 || s.To < s.From {
			return nil, fmt.Errorf("apply owners update: span %d to %d has invalid bounds or an unknown holder", s.From, s.To)
		}
		owners = append(owners, routing.Owner{
			Span: routing.Span{From: s.From, To: s.To}, Holder: u.Holders[s.Holder],
			Ready: s.Ready, ReadyIn: time.Duration(s.WaitMS) * time.Millisecond,
		})
	}
	if !u.Full {
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
		return nil, fmt.Errorf("apply owners update: %w", err)
	}
	return owners, nil
}

// overlay returns the changed spans and those of before that overlap none of them. Both
// must be sorted.
func overlay(before, changed []routing.Owner) []routing.Owner {
	out := make([]routing.Owner, 0, len(before)+len(changed))
	for _, o := range before {
		for len(changed) > 0 && changed[0].To < o.From {
			out = append(out, changed[0])
			changed = changed[1:]
		}
		overlaps := len(changed) > 0 && changed[0].From <= o.To
		if last := len(out) - 1; !overlaps && (last < 0 || out[last].To < o.From) {
			out = append(out, o)
		}
	}
	return append(out, changed...)
}

// changedOwners returns the owners that differ from before. Both lists must be sorted. A
// change of the estimated wait alone doesn't count.
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
