package edge

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/rs/zerolog"

	"github.com/boragegate/boragegate/finding"
	"github.com/boragegate/boragegate/internal/deployment"
	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/ownership/rangelease"
	"github.com/boragegate/boragegate/routing"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/store/memory"
)

// restorableStore is a store in memory that can be restored from a copy. afterWrite is called when
// a write has taken effect, before its response.
type restorableStore struct {
	*memory.Store
	afterWrite atomic.Pointer[func()]
}

func (s *restorableStore) GetStale(ctx context.Context, kind, name string) (store.Object, error) {
	return s.Get(ctx, kind, name)
}

func (s *restorableStore) Update(ctx context.Context, obj store.Object) (store.Object, error) {
	written, err := s.Store.Update(ctx, obj)
	if f := s.afterWrite.Swap(nil); f != nil {
		(*f)()
	}
	return written, err
}

func (s *restorableStore) Poll(ctx context.Context, kind string, from store.Version, wait time.Duration) ([]store.Event, store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	events, err := s.Watch(ctx, kind, from)
	if err != nil {
		return nil, 0, err
	}
	if e, ok := <-events; ok {
		return []store.Event{e}, e.Object.Version, nil
	}
	return nil, from, nil
}

// restorePlatform decodes configurations whose value is the operator's version, and targets in JSON.
type restorePlatform struct{ testPlatform }

func (restorePlatform) DecodeConfig(o store.Object) (*routing.Config, finding.List) {
	version, _ := strconv.ParseUint(string(o.Value), 10, 64)
	return &routing.Config{Version: version, Services: map[string]routing.Service{"s": {Name: "s", Partitioned: true}}}, nil
}

func (restorePlatform) DecodeTarget(o store.Object) (t routing.Target, err error) {
	return t, json.Unmarshal(o.Value, &t)
}

// tokenClient carries out all lease requests and records the highest fencing token.
type tokenClient struct{ highest atomic.Uint64 }

func (c *tokenClient) Grant(_ context.Context, g *rangelease.Grant) deployment.LeaseResponse {
	for old := c.highest.Load(); g.FencingToken > old && !c.highest.CompareAndSwap(old, g.FencingToken); old = c.highest.Load() {
	}
	return deployment.LeaseResponse{Outcome: rangelease.Done}
}

func (*tokenClient) Release(context.Context, *rangelease.Release) deployment.LeaseResponse {
	return deployment.LeaseResponse{Outcome: rangelease.Done}
}

var _ = Describe("an instance whose store is restored from an older copy", func() {
	var (
		c       *controlLoop
		s       *restorableStore
		client  *tokenClient
		record  *rangelease.Record
		version store.Version
		runLoop func(begin func()) // runs the control loop after begin
	)
	ctx := context.Background()
	stored := func() *rangelease.Record {
		o, err := s.Get(ctx, ownershipRecordKind, ownershipRecordName)
		Expect(err).NotTo(HaveOccurred())
		r, err := rangelease.DecodeRecord(o.Value)
		Expect(err).NotTo(HaveOccurred())
		return r
	}
	write := func(r *rangelease.Record) store.Object {
		value, err := r.Encode()
		Expect(err).NotTo(HaveOccurred())
		o, err := s.Create(ctx, store.Object{Kind: ownershipRecordKind, Name: ownershipRecordName, Value: value})
		Expect(err).NotTo(HaveOccurred())
		return o
	}
	// onLoop calls f on the running control loop.
	onLoop := func(f func()) {
		done := make(chan struct{})
		c.post(func() { f(); close(done) })
		Eventually(done).Should(BeClosed())
	}
	BeforeEach(func() {
		client = &tokenClient{}
		c, record = newTakeoverLoop(4, client)
		s = &restorableStore{Store: memory.New(memory.Options{})}
		c.platform, c.store = restorePlatform{testPlatform{leaseClient: client}}, s
		c.observeEra()
		version = write(record).Version
		running := false
		runLoop = func(begin func()) {
			running = true
			c.t.Go(func() error { begin(); return c.run() })
		}
		DeferCleanup(func() {
			if !running {
				endLoop(c)
				return
			}
			c.t.Kill(nil)
			Expect(c.t.Wait()).To(Succeed())
		})
	})

	It("replaces the record by its own under a term of the new era if it leads, also when the store is restored again meanwhile", func() {
		// Guards against a leader that goes on under a term that the store has lost, that takes the holders from the copy, or
		// that is stopped by a second restore.
		logs := gbytes.NewBuffer()
		c.log = zerolog.New(io.MultiWriter(GinkgoWriter, logs))
		older := *record
		older.Leader = rangelease.InstanceInfo{ID: "earlier leader"}
		copied := s.Copy()
		runLoop(func() {
			c.recordStoreAnswer(socket.BootTime()) // as after a takeover
			c.startLeading(socket.BootTime(), record, version)
		})
		Eventually(client.highest.Load).Should(BeNumerically(">", 0))
		again := func() { s.Restore(copied) }
		s.afterWrite.Store(&again)
		s.Restore(copied)
		Eventually(func() uint64 { return stored().Term }).Should(BeNumerically(">=", rangelease.FirstTerm(2)))
		Expect(stored().Leader).To(Equal(c.self))
		Expect(stored().Services).To(Equal(record.Services))
		Eventually(client.highest.Load).WithTimeout(3 * time.Second).Should(BeNumerically(">", rangelease.FirstTerm(2)<<24))
		onLoop(func() { Expect(c.leadership.replacing).To(BeFalse()) })
		Expect(string(logs.Contents())).NotTo(MatchRegexp(`record_replaced","term":%d,`, rangelease.FirstTerm(1)), "written in the era that was lost")
		// A write of an earlier era that is carried out now replaces the record once more.
		o, err := s.Get(ctx, ownershipRecordKind, ownershipRecordName)
		Expect(err).NotTo(HaveOccurred())
		o.Value, err = older.Encode()
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Update(ctx, o)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() uint64 { return stored().Term }).Should(BeNumerically(">", rangelease.FirstTerm(2)))
		onLoop(func() { Expect(c.leadership).NotTo(BeNil()) })
	})

	It("steps down if it was suspended before the restore", func() {
		// Guards against two holders of a key: another instance took over meanwhile and moved keys, the restore has lost its
		// record, and the suspended leader replaced the restored record by its own.
		runLoop(func() { c.startLeading(socket.BootTime(), record, version) })
		Eventually(client.highest.Load).Should(BeNumerically(">", 0))
		copied := s.Copy()
		onLoop(func() {
			c.leadership.grantor.RequireConfirmation(socket.BootTime() + time.Hour) // nothing confirms it before the restore
			s.Restore(copied)
		})
		Eventually(func() (leads bool) { onLoop(func() { leads = c.leadership != nil }); return leads }).WithTimeout(5 * time.Second).Should(BeFalse())
		Expect(stored().Term).To(BeNumerically("<", rangelease.FirstTerm(1)))
	})

	It("does not lead by a takeover that the store may have lost", func() {
		// Guards against two leaders of one term: the write was acknowledged, but another instance took over by the copy.
		copied := s.Copy()
		c.recordStoreAnswer(socket.BootTime())
		followed := *record
		followed.Leader = rangelease.InstanceInfo{ID: "leader", Address: "127.0.0.1:1"}
		c.applyRecord(0, &followed, version)
		restore := func() { s.Restore(copied) }
		s.afterWrite.Store(&restore)
		c.takeOver()
		(<-c.urgent)() // the era, which is known before the result
		(<-c.urgent)() // the result
		Expect(c.takingOver).To(BeFalse())
		Expect(c.leadership).To(BeNil())
		runLoop(func() {})
		Eventually(func() uint64 { return stored().Term }).WithTimeout(5 * time.Second).Should(BeNumerically(">=", rangelease.FirstTerm(1)))
	})

	It("takes over from a restored record without believing its holders", func() {
		// Guards against two holders of keys that were moved after the copy was made.
		c.eraKnown, c.term, c.record = true, 7, &rangelease.Record{Term: 7, Leader: rangelease.InstanceInfo{ID: "leader"}}
		lastHolder := routing.Lifetime{ID: "t0003", Incarnation: 1}
		c.owners["s"] = []routing.Owner{{Span: routing.Span{To: routing.KeyCount - 1}, Holder: lastHolder, Ready: true}}
		s.Restore(s.Copy())
		(<-c.urgent)()
		c.applyRecord(0, record, version)
		Expect(c.leaderID()).To(Equal("leader"), "the record names an earlier leader")
		next := c.recordForTakeover()
		Expect(next.Term).To(BeNumerically(">=", rangelease.FirstTerm(1)))
		Expect(next.Services["s"]).To(HaveLen(1))
		Expect(next.Services["s"][0].Holder).To(Equal(lastHolder))
		Expect(next.Services["s"][0].Previous).NotTo(BeNil())
		g := rangelease.New(rangelease.DefaultOptions, 0, 0, next, rangelease.Predecessor{Ended: true, Leases: rangelease.OutstandingLeases{Hold: 3 * time.Second}})
		g.SetTargets(c.targets.liveTargets())
		Expect(g.Tick(3*time.Second, 100)).To(BeEmpty())
		Expect(g.Tick(4*time.Second, 100)).To(ContainElement(BeAssignableToTypeOf(&rangelease.Grant{})))
		Expect(c.record.Services["s"][0].Previous).To(BeNil(), "the record as read is not changed")
	})

	DescribeTable("takes over without a record",
		// Guards against two holders of keys that were assigned in a record which the restored store lacks, and against a first
		// start that waits for leases which nobody can have.
		func(era store.Era, leader *rangelease.Record, unknown bool) {
			c.record, c.recordVersion, c.era, c.eraKnown = leader, 0, era, true
			c.applyOwnershipObjects(0, nil)
			Expect(c.recordForTakeover().HoldersUnknown).To(Equal(unknown))
		},
		Entry("in a store that was never restored", store.Era(0), nil, false),
		Entry("in a store that was restored before this instance started", store.Era(1), nil, true),
		Entry("in a restored store, with a leader that others have named", store.Era(1), &rangelease.Record{Term: 3}, true),
	)

	DescribeTable("keeps the newest version of the operator's configuration in force",
		// Guards against an older configuration from the copy, and against one that is ignored because its store version is
		// lower than before the restore.
		func(value string, era store.Era, version store.Version, inForce int) {
			c.configVersion, c.configEra = 0, 0
			c.applyConfig(store.Object{Kind: "config", Name: "main", Version: 90, Value: []byte("7")}, 1)
			c.applyConfig(store.Object{Kind: "config", Name: "main", Version: version, Value: []byte(value)}, era)
			Expect(c.shared.config.Load().Version).To(BeEquivalentTo(inForce))
		},
		Entry("older, from the copy", "6", store.Era(2), store.Version(50), 7),
		Entry("written again", "7", store.Era(2), store.Version(60), 7),
		Entry("newer, at a lower store version", "8", store.Era(2), store.Version(60), 8),
		Entry("newer, from a leader that does not know the era", "8", store.Era(0), store.Version(60), 8),
		Entry("older, written later in the same era", "6", store.Era(1), store.Version(91), 6),
		Entry("newer, but at a lower version of the same era", "8", store.Era(1), store.Version(89), 7),
	)

	It("accepts later changes of the operator at any version once the configuration was written again", func() {
		// Guards against an instance that refuses a configuration that the operator has deliberately put back.
		c.configVersion = 0
		c.applyConfig(store.Object{Kind: "config", Name: "main", Version: 90, Value: []byte("7")}, 0)
		c.applyConfig(store.Object{Kind: "config", Name: "main", Version: 50, Value: []byte("7")}, 1)
		c.applyConfig(store.Object{Kind: "config", Name: "main", Version: 51, Value: []byte("6")}, 1)
		Expect(c.shared.config.Load().Version).To(BeEquivalentTo(6))
	})

	It("does not use targets again that were draining or gone, until they are written again", func() {
		// Guards against requests to targets that come back with an old entry, and against targets that stay unused.
		now := socket.BootTime()
		c.eraKnown = true
		entry := func(name string, version store.Version, incarnation int64, draining bool) store.Object {
			t := routing.Target{ID: name, Address: name, Service: "s", Incarnation: incarnation, Draining: draining}
			b, err := json.Marshal(t)
			Expect(err).NotTo(HaveOccurred())
			return store.Object{Kind: "servers", Name: name, Version: version, Value: b}
		}
		live := func() map[string]int64 {
			incarnations := map[string]int64{}
			for _, t := range c.targets.liveTargets() {
				if !t.Draining {
					incarnations[t.ID] = t.Incarnation
				}
			}
			return incarnations
		}
		c.handleTargetList(now, []store.Object{entry("a", 5, 1, false), entry("b", 6, 1, false), entry("c", 7, 1, false), entry("d", 8, 1, false)}, 10)
		copied := []store.Object{entry("a", 5, 1, false), entry("b", 6, 1, false), entry("c", 7, 1, false)} // without d
		c.handleTargetEvents(now, []store.Event{
			{Type: store.EventPut, Object: entry("a", 11, 1, true)},
			{Type: store.EventDeleted, Object: store.Object{Name: "b", Version: 12}},
			{Type: store.EventPut, Object: entry("c", 13, 2, false)},
		}, 13)
		for era := store.Era(1); era <= 2; era++ {
			c.beginEra(now, era)
			c.handleTargetList(now, copied, 8)
			Expect(live()).To(Equal(map[string]int64{"c": 2, "d": 1}), "in era %d", era)
		}
		c.handleTargetEvents(now, []store.Event{
			{Type: store.EventPut, Object: entry("a", 9, 1, false)},
			{Type: store.EventPut, Object: entry("b", 10, 1, false)},
			{Type: store.EventPut, Object: entry("c", 11, 2, false)},
		}, 11)
		Expect(live()).To(Equal(map[string]int64{"a": 1, "b": 1, "c": 2, "d": 1}))
		c.targets.dropExpired(now + reregistrationTime)
		Expect(live()).NotTo(HaveKey("d"))
	})

	It("keeps its connection to a leader that replaces the restored record", func() {
		// Guards against all followers that watch the record asking for the complete state at the same time.
		leader := rangelease.InstanceInfo{ID: "leader", Incarnation: 1}
		c.eraKnown, c.term, c.record = true, 7, &rangelease.Record{Term: 7, Leader: leader}
		link := &leaderLink{cancel: func() {}}
		c.link, c.lastUpdateAt = link, 1
		c.beginEra(socket.BootTime(), 1)
		c.applyRecord(0, &rangelease.Record{Term: 5, Leader: rangelease.InstanceInfo{ID: "earlier leader"}}, 3)
		c.applyRecord(0, &rangelease.Record{Term: rangelease.FirstTerm(1), Leader: leader}, 4)
		Expect(c.link).To(BeIdenticalTo(link))
		Expect(c.lastUpdateAt).NotTo(BeZero())
		Expect(c.term).To(BeEquivalentTo(7), "state updates of the term that are still on their way are applied")
	})

	It("does not compare versions of different eras in what its leader sends", func() {
		// Guards against a follower that ignores the leader's changes after a restore because their versions are lower, or
		// that applies what was sent before it.
		hear := func(era store.Era, update *targetUpdate) {
			c.link = &leaderLink{cancel: func() {}}
			c.applyStateUpdate(c.link, &stateUpdate{Era: &era, Targets: update})
		}
		target := func(id string) map[string]routing.Target {
			return map[string]routing.Target{id: {ID: id, Address: id, Incarnation: 1}}
		}
		hear(0, &targetUpdate{Version: 90, Put: target("x")})
		hear(1, &targetUpdate{Version: 50, Era: 1, Put: target("y")})
		hear(1, &targetUpdate{Version: 91, Put: target("z")})
		Expect(c.targets.byName).To(And(HaveKey("x"), HaveKey("y"), Not(HaveKey("z"))))
		Expect(c.targets.version).To(BeEquivalentTo(50))
		Expect(c.metrics.storeRestores.Count()).To(BeEquivalentTo(1))
	})
})
