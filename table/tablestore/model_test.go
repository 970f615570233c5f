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

// fault is what happens to one write of table/current.
type fault int

const (
	noFault fault = iota
	replyLostNotWritten
	replyLostWritten
	storeUnavailable
	// concurrentWriteBefore and concurrentWriteAfter lose the reply and let another operator write in between.
	concurrentWriteBefore
	concurrentWriteAfter
)

// TestOutcomes guards against a version that was reported as accepted but is
// missing, one that was reported as refused but exists, and a version that
// falls or is skipped, under lost replies, outages and racing operators.
func TestOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fake := newFakeStore()
		var faults []fault
		next := func() fault {
			if len(faults) == 0 {
				return noFault
			}
			f := faults[0]
			faults = faults[1:]
			return f
		}
		accepted := map[uint64]float64{}
		other := 1000.0
		overtake := func() {
			before, after := fake.beforeWrite, fake.afterWrite
			fake.beforeWrite, fake.afterWrite = nil, nil
			defer func() { fake.beforeWrite, fake.afterWrite = before, after }()
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
		fake.beforeWrite = func() error {
			if now = next(); now == concurrentWriteBefore {
				overtake()
			}
			return map[fault]error{replyLostNotWritten: store.ErrOutcomeUnknown, concurrentWriteBefore: store.ErrOutcomeUnknown, storeUnavailable: store.ErrUnavailable}[now]
		}
		fake.afterWrite = func() error {
			if now == concurrentWriteAfter {
				fake.mu.Unlock()
				overtake()
				fake.mu.Lock()
			}
			return map[fault]error{replyLostWritten: store.ErrOutcomeUnknown, concurrentWriteAfter: store.ErrOutcomeUnknown}[now]
		}

		operators := []*tablestore.Tables{tablesFor(fake), tablesFor(fake)}
		var highest uint64
		refused := map[float64]bool{}
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			faults = rapid.SliceOfN(rapid.SampledFrom([]fault{noFault, replyLostNotWritten, replyLostWritten, storeUnavailable, concurrentWriteBefore, concurrentWriteAfter}), 0, 3).Draw(t, "faults")
			base := rapid.Uint64Range(max(highest, 1)-1, highest).Draw(t, "base")
			weight := float64(step + 2) // differs in every step
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
		verifyHistory(t, fake, highest, accepted, refused)
	})
}

func tablesFor(fake *fakeStore) *tablestore.Tables {
	return tablestore.New(fake, tablestore.Options{Clock: instantClock{clockwork.NewRealClock()}})
}

func verifyHistory(t *rapid.T, fake *fakeStore, highest uint64, accepted map[uint64]float64, refused map[float64]bool) {
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
			t.Fatalf("version %d has the refused weight %v", v, weight)
		}
		delete(accepted, v)
	}
	if len(accepted) > 0 {
		t.Fatalf("accepted versions are missing: %v", accepted)
	}
}

// instantClock is a clock whose waits end at once.
type instantClock struct{ clockwork.Clock }

// After implements clockwork.Clock.
func (instantClock) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time)
	close(c)
	return c
}
