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
	noFault fault = iota
	replyLostNotWritten
	replyLostWritten
	storeUnavailable
	// With concurrentWriteBefore, another operator writes first, and the write is lost with
	// its reply. With concurrentWriteAfter, the write takes effect, another operator writes
	// next, and the reply is lost.
	concurrentWriteBefore
	concurrentWriteAfter
)

// TestOutcomes guards against a version that was reported as accepted but is missing, a
// change that was reported as rejected but was stored, and versions that decrease or are
// skipped, when replies are lost, the store is unavailable or operators write concurrently.
func TestOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fake := newFakeStore()
		var faults []fault
		nextFault := func() fault {
			if len(faults) == 0 {
				return noFault
			}
			f := faults[0]
			faults = faults[1:]
			return f
		}
		accepted := map[uint64]float64{} // weights by version
		otherWeight := 1000.0
		writeConcurrently := func() {
			before, after := fake.beforeWrite, fake.afterWrite
			fake.beforeWrite, fake.afterWrite = nil, nil
			defer func() { fake.beforeWrite, fake.afterWrite = before, after }()
			var base uint64
			if r, err := tablesFor(fake).Get(ctx); err == nil {
				base = r.Version
			}
			otherWeight++
			if r, err := apply(tablesFor(fake), base, 1, otherWeight); err == nil {
				accepted[r.Record.Version] = otherWeight
			}
		}
		var injected fault
		fake.beforeWrite = func() error {
			if injected = nextFault(); injected == concurrentWriteBefore {
				writeConcurrently()
			}
			return map[fault]error{replyLostNotWritten: store.ErrOutcomeUnknown, concurrentWriteBefore: store.ErrOutcomeUnknown, storeUnavailable: store.ErrUnavailable}[injected]
		}
		fake.afterWrite = func() error {
			if injected == concurrentWriteAfter {
				fake.mu.Unlock()
				writeConcurrently()
				fake.mu.Lock()
			}
			return map[fault]error{replyLostWritten: store.ErrOutcomeUnknown, concurrentWriteAfter: store.ErrOutcomeUnknown}[injected]
		}

		operators := []*tablestore.Tables{tablesFor(fake), tablesFor(fake)}
		var highest uint64
		rejected := map[float64]bool{} // by weight
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			faults = rapid.SliceOfN(rapid.SampledFrom([]fault{noFault, replyLostNotWritten, replyLostWritten, storeUnavailable, concurrentWriteBefore, concurrentWriteAfter}), 0, 3).Draw(t, "faults")
			base := rapid.Uint64Range(max(highest, 1)-1, highest).Draw(t, "base")
			weight := float64(step + 2) // unique for each step
			r, err := apply(operators[rapid.IntRange(0, 1).Draw(t, "operator")], base, 1, weight)
			switch {
			case err == nil:
				if r.Record.Version <= highest {
					t.Fatalf("accepted as version %d, but the store already had version %d", r.Record.Version, highest)
				}
				accepted[r.Record.Version] = weight
			case !errors.Is(err, store.ErrOutcomeUnknown):
				rejected[weight] = true
			}
			if current, err := tablesFor(fake).Get(ctx); err == nil {
				if current.Version < highest {
					t.Fatalf("the store returned version %d after version %d", current.Version, highest)
				}
				highest = current.Version
			}
		}
		verifyHistory(t, fake, highest, accepted, rejected)
	})
}

func tablesFor(fake *fakeStore) *tablestore.Tables {
	return tablestore.New(fake, tablestore.Options{Clock: instantClock{clockwork.NewRealClock()}})
}

func verifyHistory(t *rapid.T, fake *fakeStore, highest uint64, accepted map[uint64]float64, rejected map[float64]bool) {
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
		if rejected[weight] {
			t.Fatalf("version %d has the rejected weight %v", v, weight)
		}
		delete(accepted, v)
	}
	if len(accepted) > 0 {
		t.Fatalf("accepted versions are missing: %v", accepted)
	}
}

// instantClock is a clock whose timers expire at once.
type instantClock struct{ clockwork.Clock }

// After returns a closed channel.
func (instantClock) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time)
	close(c)
	return c
}
