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
	return tablestore.New(s, tablestore.Options{Clock: clockwork.NewRealClock(), RetainedVersions: 3})
}

func apply(t *tablestore.Tables, base uint64, w ...float64) (*tablestore.Result, error) {
	return t.Apply(ctx, tablestore.Request{Table: tableWithWeights(w...), Base: base, Operator: "anna"})
}

// TestConflictText guards against a conflict text that omits the changes of one of
// the two operators.
func TestConflictText(t *testing.T) {
	RegisterTestingT(t)
	tables := newTables(newFakeStore())
	_, err := apply(tables, 0, 1, 1)
	Expect(err).NotTo(HaveOccurred())
	_, err = apply(tables, 1, 1, 2)
	Expect(err).NotTo(HaveOccurred())
	_, sameRowErr := apply(tables, 1, 1, 3)
	_, otherRowErr := apply(tables, 1, 3, 1)
	Expect(sameRowErr).To(MatchError(store.ErrConflict))
	goldie.New(t).Assert(t, "conflict", []byte(fmt.Sprintf("%v\n\n%v\n", sameRowErr, otherRowErr)))
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

	It("increments the version, keeps the history within the retention and writes nothing for an empty change", func() {
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

	It("stores a value that can be decoded into a plain table.Table", func() {
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
		r, err := tables.Apply(ctx, tablestore.Request{Table: tableWithWeights(3, 1), Base: 1, AllowMerge: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(table.Diff(r.Record.Table, tableWithWeights(3, 2)).Empty()).To(BeTrue())
		Expect(r.Record.Action).To(Equal(tablestore.ActionMerge))
	})

	It("accepts one of several concurrent changes and reports a conflict to the other operators", func() {
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

	It("rejects a table with findings, such as a changed number of partitions", func() {
		bad := tableWithWeights(1, 1)
		bad.Services[0].Partitions = 16
		_, err := tables.Apply(ctx, tablestore.Request{Table: bad, Base: 1})
		var list finding.List
		Expect(errors.As(err, &list)).To(BeTrue())
		Expect(current().Version).To(Equal(uint64(1)))
	})

	It("reports a stale read of an older version or a missing table after a newer version", func() {
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

	It("continues with a version above those in the history if the current object is missing", func() {
		delete(fake.objects, "table/current")
		r, err := apply(newTables(fake), 0, 1, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Record.Version).To(Equal(uint64(2)))
	})

	Describe("with a lost reply", func() {
		// failOnce returns a hook that on its first call calls then, if set, and returns
		// store.ErrOutcomeUnknown. Later calls return nil.
		failOnce := func(then func()) func() error {
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

		It("recognises its own write when it reads the version again", func() {
			fake.afterWrite = failOnce(nil)
			r, err := apply(tables, 1, 1, 2)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Record.Version).To(Equal(uint64(2)))
			Expect(current().Writer).To(Equal(r.Record.Writer))
		})

		It("retries a write that did not take effect", func() {
			fake.beforeWrite = failOnce(nil)
			r, err := apply(tables, 1, 1, 2)
			Expect(err).NotTo(HaveOccurred())
			Expect(current().Version).To(Equal(r.Record.Version))
		})

		It("recognises its own write in the history after another operator made a later version", func() {
			loseReply := failOnce(nil)
			fake.afterWrite = func() error {
				if err := loseReply(); err == nil {
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
			fake.beforeWrite = failOnce(func() {
				fake.beforeWrite = nil
				_, err := apply(newTables(fake), 1, 1, 9)
				Expect(err).NotTo(HaveOccurred())
			})
			_, err := apply(tables, 1, 1, 2)
			Expect(err).To(MatchError(store.ErrConflict))
		})

		It("reports an unknown outcome if the store cannot be read", func() {
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

	It("announces a version before the write, and writes nothing if the announcement fails", func() {
		recorder := &recordingAnnouncer{}
		tables = tablestore.New(fake, tablestore.Options{Announcer: recorder})
		recorder.onAnnounce = func() { Expect(current().Version).To(Equal(uint64(1))) }
		_, err := apply(tables, 1, 1, 2)
		Expect(err).NotTo(HaveOccurred())
		recorder.onAnnounce, recorder.announceErr = nil, errors.New("no majority")
		_, err = apply(tables, 2, 1, 3)
		Expect(err).To(MatchError(recorder.announceErr))
		Expect(recorder.calls).To(Equal([]string{"announce 2", "accepted 2", "announce 3", "abandoned 3"}))
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
