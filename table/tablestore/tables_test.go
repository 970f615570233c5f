package tablestore_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/boragegate/boragegate/finding"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table"
	"github.com/boragegate/boragegate/table/tablestore"
)

func TestTablestore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tablestore")
}

var ctx = context.Background()

// tableWithWeights returns a table with one service and one row per weight.
func tableWithWeights(w ...float64) *table.Table {
	t := &table.Table{Services: []table.Service{{
		Name: "a", Partitions: 8, Prefer: table.Availability,
		MaxRequestTime: table.DefaultMaxRequestTime, DrainAfter: table.DefaultDrainAfter,
	}}}
	for i, v := range w {
		t.Rows = append(t.Rows, table.Row{
			Service: "a", Target: fmt.Sprint("t", i), Address: fmt.Sprintf("10.0.0.%d:80", i+1),
			Zone: "z1", Weight: v, Slots: 3, Connections: 3,
		})
	}
	return t
}

func newTables(s store.Store) *tablestore.Tables {
	return tablestore.New(s, tablestore.Options{Clock: clockwork.NewRealClock(), Retention: 3})
}

func apply(t *tablestore.Tables, base uint64, w ...float64) (*tablestore.Result, error) {
	return t.Apply(ctx, tablestore.Request{Table: tableWithWeights(w...), Base: base, Operator: "anna"})
}

// TestConflictText guards against a conflict that does not show both changes.
func TestConflictText(t *testing.T) {
	RegisterTestingT(t)
	tables := newTables(newFakeStore())
	_, err := apply(tables, 0, 1, 1)
	Expect(err).NotTo(HaveOccurred())
	_, err = apply(tables, 1, 1, 2)
	Expect(err).NotTo(HaveOccurred())
	_, same := apply(tables, 1, 1, 3)
	_, other := apply(tables, 1, 3, 1)
	Expect(same).To(MatchError(store.ErrConflict))
	goldie.New(t).Assert(t, "conflict", []byte(fmt.Sprintf("%v\n\n%v\n", same, other)))
}

var _ = Describe("Tables", func() {
	var fake *fakeStore
	var tables *tablestore.Tables
	BeforeEach(func() {
		fake = newFakeStore()
		tables = newTables(fake)
		_, err := apply(tables, 0, 1, 1)
		Expect(err).NotTo(HaveOccurred())
	})
	current := func() *tablestore.Record {
		r, err := newTables(fake).Get(ctx)
		Expect(err).NotTo(HaveOccurred())
		return r
	}

	It("raises the version by one, keeps history within the retention and writes nothing for no change", func() {
		for v := 2.0; v < 7; v++ {
			r, err := apply(tables, uint64(v)-1, 1, v)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Record.Version).To(Equal(uint64(v)))
		}
		r, err := apply(tables, 6, 1, 6)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Changes.Empty()).To(BeTrue())
		list, err := tables.History(ctx, 0, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(list).To(HaveLen(3))
		Expect(list[2].Version).To(Equal(uint64(4)))
		Expect(tables.History(ctx, 6, 1)).To(HaveExactElements(HaveField("Version", uint64(5))))
	})

	It("stores a value that plain readers of the table can decode", func() {
		var plain table.Table
		Expect(json.Unmarshal(fake.objects["table/current"].Value, &plain)).To(Succeed())
		Expect(plain.Version).To(Equal(uint64(1)))
		Expect(table.Diff(&plain, tableWithWeights(1, 1)).Empty()).To(BeTrue())
	})

	It("rolls back as a new, higher version", func() {
		_, err := apply(tables, 1, 5, 5)
		Expect(err).NotTo(HaveOccurred())
		r, err := tables.Rollback(ctx, 1, 2, "bea", "undo")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Record.Version).To(Equal(uint64(3)))
		Expect(table.Diff(current().Table, tableWithWeights(1, 1)).Empty()).To(BeTrue())
		Expect(current()).To(And(HaveField("Action", tablestore.ActionRollback), HaveField("From", uint64(1)), HaveField("Operator", "bea")))
	})

	It("merges changes to different rows on request", func() {
		_, err := apply(tables, 1, 1, 2)
		Expect(err).NotTo(HaveOccurred())
		r, err := tables.Apply(ctx, tablestore.Request{Table: tableWithWeights(3, 1), Base: 1, Merge: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(table.Diff(r.Record.Table, tableWithWeights(3, 2)).Empty()).To(BeTrue())
		Expect(r.Record.Action).To(Equal(tablestore.ActionMerge))
	})

	It("accepts one of many racing operators and shows the others a conflict", func() {
		errs := make([]error, 8)
		var wg sync.WaitGroup
		for i := range errs {
			wg.Go(func() { _, errs[i] = apply(newTables(fake), 1, 1, float64(i+2)) })
		}
		wg.Wait()
		accepted := 0
		for _, err := range errs {
			var c *tablestore.ConflictError
			if err == nil {
				accepted++
			} else {
				Expect(errors.As(err, &c)).To(BeTrue(), "%v", err)
				Expect(c.Conflicts).To(HaveLen(1))
			}
		}
		Expect(accepted).To(Equal(1))
		Expect(current().Version).To(Equal(uint64(2)))
	})

	It("refuses findings, among them partitions that change in the store", func() {
		bad := tableWithWeights(1, 1)
		bad.Services[0].Partitions = 16
		_, err := tables.Apply(ctx, tablestore.Request{Table: bad, Base: 1})
		var list finding.List
		Expect(errors.As(err, &list)).To(BeTrue())
		Expect(current().Version).To(Equal(uint64(1)))
	})

	It("never returns an older version or a missing table after a newer one", func() {
		old := fake.objects["table/current"]
		_, err := apply(tables, 1, 1, 2)
		Expect(err).NotTo(HaveOccurred())
		fake.getHook = func() (store.Object, error) { return old, nil }
		_, err = tables.Get(ctx)
		Expect(err).To(MatchError(tablestore.ErrStaleRead))
		fake.getHook = func() (store.Object, error) { return old, store.ErrNotFound }
		_, err = tables.Get(ctx)
		Expect(err).To(MatchError(tablestore.ErrStaleRead))
	})

	It("continues above the history when the current object is lost", func() {
		delete(fake.objects, "table/current")
		r, err := apply(newTables(fake), 0, 1, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Record.Version).To(Equal(uint64(2)))
	})

	Describe("with a lost reply", func() {
		// once returns a hook that fails the first time only.
		once := func(then func()) func() error {
			done := false
			return func() error {
				if done {
					return nil
				}
				done = true
				if then != nil {
					then()
				}
				return store.ErrOutcomeUnknown
			}
		}

		It("recognises its own write after re-reading", func() {
			fake.afterWrite = once(nil)
			r, err := apply(tables, 1, 1, 2)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Record.Version).To(Equal(uint64(2)))
			Expect(current().Writer).To(Equal(r.Record.Writer))
		})

		It("writes again when the first write did not take effect", func() {
			fake.beforeWrite = once(nil)
			r, err := apply(tables, 1, 1, 2)
			Expect(err).NotTo(HaveOccurred())
			Expect(current().Version).To(Equal(r.Record.Version))
		})

		It("recognises its own write below a later version of another operator", func() {
			lost := once(nil)
			fake.afterWrite = func() error {
				if err := lost(); err == nil {
					return nil
				}
				fake.afterWrite = nil
				fake.mu.Unlock()
				defer fake.mu.Lock()
				_, err := apply(newTables(fake), 2, 1, 9)
				Expect(err).NotTo(HaveOccurred())
				return store.ErrOutcomeUnknown
			}
			r, err := apply(tables, 1, 1, 2)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Record.Version).To(Equal(uint64(2)))
			Expect(current().Version).To(Equal(uint64(3)))
		})

		It("reports a conflict when another operator's write came first", func() {
			fake.beforeWrite = once(func() {
				fake.beforeWrite = nil
				_, err := apply(newTables(fake), 1, 1, 9)
				Expect(err).NotTo(HaveOccurred())
			})
			_, err := apply(tables, 1, 1, 2)
			Expect(err).To(MatchError(store.ErrConflict))
		})

		It("reports an unknown outcome when the fake cannot be asked", func() {
			short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
			defer cancel()
			fake.afterWrite = func() error {
				fake.getHook = func() (store.Object, error) { return store.Object{}, store.ErrUnavailable }
				return store.ErrOutcomeUnknown
			}
			_, err := tables.Apply(short, tablestore.Request{Table: tableWithWeights(1, 2), Base: 1})
			Expect(err).To(MatchError(store.ErrOutcomeUnknown))
		})
	})

	It("announces before it writes, and writes nothing if that fails", func() {
		a := &recordingAnnouncer{}
		tables = tablestore.New(fake, tablestore.Options{Announcer: a})
		a.onAnnounce = func() { Expect(current().Version).To(Equal(uint64(1))) }
		_, err := apply(tables, 1, 1, 2)
		Expect(err).NotTo(HaveOccurred())
		a.onAnnounce, a.announceErr = nil, errors.New("no majority")
		_, err = apply(tables, 2, 1, 3)
		Expect(err).To(MatchError(a.announceErr))
		Expect(a.calls).To(Equal([]string{"announce 2", "accepted 2", "announce 3", "abandoned 3"}))
		Expect(current().Version).To(Equal(uint64(2)))
	})
})

type recordingAnnouncer struct {
	calls       []string
	onAnnounce  func()
	announceErr error
}

func (a *recordingAnnouncer) Announce(_ context.Context, v uint64) error {
	a.calls = append(a.calls, fmt.Sprint("announce ", v))
	if a.onAnnounce != nil {
		a.onAnnounce()
	}
	return a.announceErr
}

func (a *recordingAnnouncer) OnAccepted(r *tablestore.Record) {
	a.calls = append(a.calls, fmt.Sprint("accepted ", r.Version))
}

func (a *recordingAnnouncer) OnAbandoned(v uint64) {
	a.calls = append(a.calls, fmt.Sprint("abandoned ", v))
}
