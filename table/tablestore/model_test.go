package tablestore_test

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table/tablestore"

	_ "github.com/boragegate/boragegate/internal/seedtest" // the same cases in every run
)

// fault is a fault that is injected into one write of table/current.
type fault int

const (
	none fault = iota
	lostBefore
	lostAfter
	down
	// overtakenBefore and overtakenAfter lose the reply while another operator
	// writes just before or after.
	overtakenBefore
	overtakenAfter
)

// TestOutcomes guards against a version that was reported as accepted but is
// missing, a change that was reported as rejected but was stored, and versions that
// decrease or are skipped. These come about if replies are lost, the store is
// unavailable or operators write concurrently.
func TestOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fake := newFakeStore()
		var faults []fault
		next := func() fault {
			if len(faults) == 0 {
				return none
			}
			f := faults[0]
			faults = faults[1:]
			return f
		}
		accepted := map[uint64]float64{}
		other := 1000.0
		overtake := func() {
			before, after := fake.before, fake.after
			fake.before, fake.after = nil, nil
			defer func() { fake.before, fake.after = before, after }()
			var base uint64
			if r, err := tablesFor(fake).Get(ctx); err == nil {
				base = r.Version
			}
			other++
			if r, err := apply(tablesFor(fake), base, 1, other); err == nil {
				accepted[r.Record.Version] = other
			}
		}
		var now fault
		fake.before = func() error {
			if now = next(); now == overtakenBefore {
				overtake()
			}
			return map[fault]error{lostBefore: store.ErrOutcomeUnknown, overtakenBefore: store.ErrOutcomeUnknown, down: store.ErrUnavailable}[now]
		}
		fake.after = func() error {
			if now == overtakenAfter {
				fake.mu.Unlock()
				overtake()
				fake.mu.Lock()
			}
			return map[fault]error{lostAfter: store.ErrOutcomeUnknown, overtakenAfter: store.ErrOutcomeUnknown}[now]
		}

		operators := []*tablestore.Tables{tablesFor(fake), tablesFor(fake)}
		var highest uint64
		refused := map[float64]bool{}
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			faults = rapid.SliceOfN(rapid.SampledFrom([]fault{none, lostBefore, lostAfter, down, overtakenBefore, overtakenAfter}), 0, 3).Draw(t, "faults")
			base := rapid.Uint64Range(max(highest, 1)-1, highest).Draw(t, "base")
			weight := float64(step + 2) // unique for each step
			r, err := apply(operators[rapid.IntRange(0, 1).Draw(t, "operator")], base, 1, weight)
			switch {
			case err == nil:
				if r.Record.Version <= highest {
					t.Fatalf("version %d after %d", r.Record.Version, highest)
				}
				accepted[r.Record.Version] = weight
			case !errors.Is(err, store.ErrOutcomeUnknown):
				refused[weight] = true
			}
			if current, err := tablesFor(fake).Get(ctx); err == nil {
				if current.Version < highest {
					t.Fatalf("version %d after %d", current.Version, highest)
				}
				highest = current.Version
			}
		}
		verify(t, fake, highest, accepted, refused)
	})
}

func tablesFor(fake *fakeStore) *tablestore.Tables {
	return tablestore.New(fake, tablestore.Options{Clock: immediately{clockwork.NewRealClock()}})
}

func verify(t *rapid.T, fake *fakeStore, highest uint64, accepted map[uint64]float64, refused map[float64]bool) {
	tables := tablesFor(fake)
	for v := uint64(1); v <= highest; v++ {
		r, err := tables.Version(ctx, v)
		if err != nil {
			t.Fatalf("version %d is missing: %v", v, err)
		}
		weight := r.Table.Rows[1].Weight
		if w, ok := accepted[v]; ok && w != weight {
			t.Fatalf("version %d has weight %v, accepted with %v", v, weight, w)
		}
		if refused[weight] {
			t.Fatalf("version %d has the rejected weight %v", v, weight)
		}
		delete(accepted, v)
	}
	if len(accepted) > 0 {
		t.Fatalf("accepted versions are missing: %v", accepted)
	}
}

// immediately is a clock whose timers expire at once.
type immediately struct{ clockwork.Clock }

// After returns a closed channel.
func (immediately) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time)
	close(c)
	return c
}
