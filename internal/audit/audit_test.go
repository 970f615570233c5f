package audit

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"gopkg.in/tomb.v2"
	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/ownership"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/store/memory"

	_ "github.com/boragegate/boragegate/internal/seedtest" // fixed seed: the same cases in every run
)

func TestAudit(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "audit")
}

func newTrail(backing store.Store, instance string, change func(*Config)) *Trail {
	ginkgo.GinkgoHelper()
	cfg := Config{Store: backing, TrailName: "c1", Instance: instance, Incarnation: "x", ObjectBytes: minObjectBytes}
	if change != nil {
		change(&cfg)
	}
	t, err := New(cfg)
	Expect(err).NotTo(HaveOccurred())
	return t
}

func ids(entries []Entry) (list []string) {
	for _, e := range entries {
		list = append(list, e.ID)
	}
	return list
}

var _ = ginkgo.Describe("trail", func() {
	ginkgo.BeforeEach(func() {
		ignoreCurrent := goleak.IgnoreCurrent()
		ginkgo.DeferCleanup(func() { Eventually(func() error { return goleak.Find(ignoreCurrent) }).Should(Succeed()) })
	})

	ginkgo.It("writes each entry exactly once and in order despite store faults and conflicts between instances", func(ctx ginkgo.SpecContext) {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			backing := memory.New(memory.Options{})
			trails := []*Trail{newTrail(backing, "a", nil), newTrail(backing, "b", nil)}
			added := map[string][]string{}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				backing.SetFaults(memory.Faults{
					Down:        rapid.IntRange(0, 3).Draw(t, "down") == 0,
					LoseReplies: rapid.IntRange(0, 2).Draw(t, "lose") == 0,
					StaleReads:  rapid.Bool().Draw(t, "stale"),
				})
				trail := trails[rapid.IntRange(0, 1).Draw(t, "instance")]
				for range rapid.IntRange(0, 3).Draw(t, "entries") {
					trail.Add(Entry{Event: "e", Diff: strings.Repeat("d", rapid.IntRange(0, maxDiffBytes).Draw(t, "size"))})
					id := fmt.Sprintf("%s/x/%d", trail.cfg.Instance, len(added[trail.cfg.Instance])+1)
					added[trail.cfg.Instance] = append(added[trail.cfg.Instance], id)
				}
				_, _ = trail.writer.step(ctx)
			}
			backing.SetFaults(memory.Faults{})
			for _, trail := range trails {
				for i := 0; trail.writer.hasWork(); i++ {
					NewWithT(t).Expect(i).To(BeNumerically("<", 500), "steps without writing all entries")
					_, err := trail.writer.step(ctx)
					NewWithT(t).Expect(err).NotTo(HaveOccurred())
				}
			}
			found := map[string][]string{}
			objects, _, _ := backing.List(ctx, Kind)
			for i, o := range objects {
				NewWithT(t).Expect(len(o.Value)).To(BeNumerically("<=", minObjectBytes))
				for _, e := range parseEntries(o, uint64(i)) {
					found[e.Instance] = append(found[e.Instance], e.ID)
				}
			}
			for instance, want := range added {
				NewWithT(t).Expect(found[instance]).To(Equal(want))
			}
		})
	})

	ginkgo.It("limits the number of objects and continues after another instance has removed its object", func(ctx ginkgo.SpecContext) {
		backing := memory.New(memory.Options{})
		limitObjects := func(c *Config) { c.MaxObjects = 3 }
		idle, busy := newTrail(backing, "a", limitObjects), newTrail(backing, "b", limitObjects)
		idle.Add(Entry{Event: "first"})
		_, err := idle.writer.step(ctx)
		Expect(err).NotTo(HaveOccurred())
		for range 40 {
			busy.Add(Entry{Event: "e", Diff: strings.Repeat("d", maxDiffBytes)})
		}
		for busy.writer.hasWork() {
			before := backing.Counts().Writes()
			_, err := busy.writer.step(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(backing.Counts().Writes()-before).To(BeNumerically("<=", 1), "writes in one step")
			objects, _, err := backing.List(ctx, Kind)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(objects)).To(BeNumerically("<=", 4))
		}
		idle.Add(Entry{Event: "last"})
		for idle.writer.hasWork() {
			_, err = idle.writer.step(ctx)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(Read(ctx, backing, "c1", Filter{Event: "last"})).To(HaveLen(1))
	})

	ginkgo.It("reports dropped and delayed entries in the trail, so that gaps are visible", func(ctx ginkgo.SpecContext) {
		clock := clockwork.NewFakeClock()
		backing := memory.New(memory.Options{Faults: memory.Faults{Down: true}})
		trail := newTrail(backing, "a", func(c *Config) { c.MaxBuffered = 2; c.Clock = clock })
		for range 5 {
			trail.Add(Entry{Event: "e"})
		}
		trail.step()
		clock.Advance(delayedThreshold)
		trail.step()
		backing.SetFaults(memory.Faults{})
		for trail.writer.hasWork() {
			trail.step()
		}
		got, err := Read(ctx, backing, "c1", Filter{})
		Expect(err).NotTo(HaveOccurred())
		Expect(ids(got)).To(Equal([]string{"a/x/4", "a/x/3", "a/x/2", "a/x/1"}))
		Expect(got[0].Event).To(Equal(EventDelayed))
		Expect(got[0].Cause).To(ContainSubstring("unavailable"))
		Expect(got[1].Event).To(Equal(EventGap))
		Expect(got[1].Fields).To(HaveKeyWithValue("dropped", "3"))
		Expect(got[3].Written.Sub(got[3].Time)).To(Equal(delayedThreshold))
	})

	ginkgo.It("writes at most once per second and flushes the buffer on stop", func(ctx ginkgo.SpecContext) {
		clock := clockwork.NewFakeClock()
		backing := memory.New(memory.Options{})
		trail := newTrail(backing, "a", func(c *Config) { c.Clock = clock })
		var tb tomb.Tomb
		tb.Go(func() error { return trail.Run(&tb) })
		trail.Add(Entry{Event: "e"})
		Eventually(func() int64 { return backing.Counts().Writes() }).Should(BeEquivalentTo(1))
		trail.Add(Entry{Event: "e"})
		Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		Expect(backing.Counts().Writes()).To(BeEquivalentTo(1))
		clock.Advance(writeInterval)
		Eventually(func() int64 { return backing.Counts().Writes() }).Should(BeEquivalentTo(2))
		trail.Add(Entry{Event: "e"})
		Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		tb.Kill(nil)
		// Stopping ends the delay of the loop in Run, but not the delay before the last write.
		Eventually(func() bool { clock.Advance(writeInterval); return !tb.Alive() && backing.Counts().Writes() == 3 }).Should(BeTrue())
		Expect(tb.Wait()).To(Succeed())
		Expect(Read(ctx, backing, "c1", Filter{})).To(HaveLen(3))
	})

	ginkgo.It("waits longer after a large write, so that a stream of entries stays within the upload limit", func() {
		trail := newTrail(memory.New(memory.Options{}), "a", func(c *Config) { c.Clock = clockwork.NewFakeClock() })
		for range 3 {
			trail.Add(Entry{Event: "e", Diff: strings.Repeat("d", maxDiffBytes)})
		}
		trail.step()
		Expect(trail.nextDelay()).To(BeNumerically(">", 3*time.Second))
	})

	ginkgo.It("ends the flush although the store stays unavailable, so that a store failure does not block the stop", func() {
		clock := clockwork.NewFakeClock()
		trail := newTrail(memory.New(memory.Options{Faults: memory.Faults{Down: true}}), "a", func(c *Config) { c.Clock = clock })
		trail.Add(Entry{Event: "e"})
		done := make(chan struct{})
		go func() { trail.flush(); close(done) }()
		Eventually(func() bool {
			clock.Advance(writeInterval)
			select {
			case <-done:
				return true
			default:
				return false
			}
		}).Should(BeTrue())
	})
})

var _ = ginkgo.Describe("entries", func() {
	ginkgo.It("store known values of log entries in typed fields, and return all values as text", func() {
		e := FromLogEntry(ownership.LogEntry{Event: "partition.moved", Fields: []any{
			"target", "route/r1", "partition", 7, "epoch", uint64(4294967299), "cause", "weight", "from", "r2",
		}})
		partition := 7
		Expect(e).To(Equal(Entry{
			Event: "partition.moved", Service: "route", Partition: &partition, Epoch: 4294967299, Cause: "weight",
			Fields: map[string]string{"target": "route/r1", "from": "r2"},
		}))
		Expect(e.AllFields()).To(HaveLen(6))
		Expect(FromFields("anna", "table.accepted", map[string]string{"version": "12"}).TableVersion).To(BeEquivalentTo(12))
	})

	ginkgo.It("always fit into an object, regardless of the length and content of their texts", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			text := func() string { return strings.Repeat(rapid.StringN(0, 4, -1).Draw(t, "text"), 10_000) }
			e := Entry{Event: text(), Cause: text(), Key: text(), Diff: text(), Fields: map[string]string{text(): text()}}
			e.enforceLimits()
			NewWithT(t).Expect(len(e.marshalLine())).To(BeNumerically("<=", minObjectBytes))
		})
	})

	ginkgo.It("can be read by service, key, event and time, newest first and page by page", func(ctx ginkgo.SpecContext) {
		backing := memory.New(memory.Options{})
		trail := newTrail(backing, "a", nil)
		start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		for i := range 4 {
			trail.Add(Entry{
				Time: start.Add(time.Duration(i) * time.Hour), Event: []string{"moved", "accepted"}[i%2],
				Service: []string{"route", "map"}[i/2], Key: fmt.Sprint("k", i),
			})
		}
		trail.step()
		_, err := backing.Create(ctx, store.Object{Kind: Kind, Name: objectName("c1", 9), Value: []byte("{\n")})
		Expect(err).NotTo(HaveOccurred())
		_, err = backing.Create(ctx, store.Object{Kind: Kind, Name: "c1.note"})
		Expect(err).NotTo(HaveOccurred())
		read := func(f Filter) []Entry {
			ginkgo.GinkgoHelper()
			got, err := Read(context.Background(), backing, "c1", f)
			Expect(err).NotTo(HaveOccurred())
			return got
		}
		Expect(ids(read(Filter{Service: "map"}))).To(Equal([]string{"a/x/4", "a/x/3"}))
		Expect(ids(read(Filter{Event: "moved", Since: start.Add(time.Hour)}))).To(Equal([]string{"a/x/3"}))
		Expect(ids(read(Filter{Key: "k0"}))).To(Equal([]string{"a/x/1"}))
		newest := read(Filter{Limit: 2})
		Expect(newest[0].Event).To(Equal(EventUnreadable))
		Expect(ids(read(Filter{Before: newest[1].Sequence, Limit: 2}))).To(Equal([]string{"a/x/3", "a/x/2"}))
	})
})
