package edge

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"runtime"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/internal/deployment"
	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/ownership/election"
	"github.com/boragegate/boragegate/ownership/rangelease"
	"github.com/boragegate/boragegate/routing"
	"github.com/boragegate/boragegate/store"
)

// testPlatform has a lease client, and the kinds of objects of the platform's store.
type testPlatform struct {
	deployment.Platform
	leaseClient deployment.LeaseClient
}

func (p testPlatform) LeaseClient() deployment.LeaseClient { return p.leaseClient }
func (testPlatform) ConfigObject() (kind, name string)     { return "config", "main" }
func (testPlatform) TargetKind() string                    { return "servers" }
func (testPlatform) EvacuationKind() string                { return "evacuations" }

// busyLeaseClient needs about a millisecond of processor time for each grant, and counts the
// grants.
type busyLeaseClient struct{ granted atomic.Int64 }

func (c *busyLeaseClient) Grant(context.Context, *rangelease.Grant) deployment.LeaseResponse {
	var block [192 << 10]byte
	for range 8 {
		_ = sha256.Sum256(block[:])
		runtime.Gosched() // as at a system call
	}
	c.granted.Add(1)
	return deployment.LeaseResponse{Outcome: rangelease.Done}
}

func (c *busyLeaseClient) Release(context.Context, *rangelease.Release) deployment.LeaseResponse {
	return deployment.LeaseResponse{Outcome: rangelease.Done}
}

// halfSilentLeaseClient gets no response from targets with an odd number, which it cannot connect
// to. It counts the grants to the others.
type halfSilentLeaseClient struct{ granted atomic.Int64 }

func (c *halfSilentLeaseClient) call(ctx context.Context, t *routing.Target) deployment.LeaseResponse {
	if (t.ID[len(t.ID)-1]-'0')%2 == 1 {
		<-ctx.Done()
		return deployment.LeaseResponse{Outcome: rangelease.Unanswered}
	}
	time.Sleep(time.Millisecond)
	c.granted.Add(1)
	return deployment.LeaseResponse{Outcome: rangelease.Done}
}

func (c *halfSilentLeaseClient) Grant(ctx context.Context, g *rangelease.Grant) deployment.LeaseResponse {
	return c.call(ctx, &g.Target)
}

func (c *halfSilentLeaseClient) Release(ctx context.Context, r *rangelease.Release) deployment.LeaseResponse {
	return c.call(ctx, &r.Target)
}

// idleStore is a store in which nothing changes but what this instance writes. It answers polls
// when their wait is over.
type idleStore struct{ silentStore }

func (idleStore) Update(_ context.Context, obj store.Object) (store.Object, error) {
	obj.Version++
	return obj, nil
}

func (idleStore) Poll(ctx context.Context, _ string, from store.Version, wait time.Duration) ([]store.Event, store.Version, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, from, nil
}

// newTakeoverLoop returns a control loop, which is not running, and a record in which the
// given number of targets, known to the loop, each hold a part of the keys of a service.
func newTakeoverLoop(holders int, client deployment.LeaseClient) (*controlLoop, *rangelease.Record) {
	const service = "s"
	c := newTestLoop()
	c.platform, c.store = testPlatform{leaseClient: client}, idleStore{}
	c.events, c.urgent = make(chan func(), 256), make(chan func(), 64)
	c.t.Go(func() error { <-c.t.Dying(); return nil }) // as the running loop, it lets the others begin
	c.shared.config.Store(&routing.Config{Services: map[string]routing.Service{service: {Name: service, Partitioned: true}}})
	c.configVersion, c.configObject = 1, store.Object{Kind: "config", Name: "main", Version: 1}
	record := &rangelease.Record{Term: 2, Leader: c.self, Services: map[string][]rangelease.Entry{}}
	update := &targetUpdate{Version: 1, Full: true, Put: map[string]routing.Target{}}
	for i := range holders {
		t := routing.Target{ID: fmt.Sprintf("t%04d", i), Incarnation: 1, Service: service, Address: fmt.Sprintf("a%d", i), Slots: 6}
		update.Put[t.ID] = t
		span := routing.Span{From: i * routing.KeyCount / holders, To: (i+1)*routing.KeyCount/holders - 1}
		record.Services[service] = append(record.Services[service], rangelease.Entry{Span: span, Holder: t.Lifetime()})
	}
	c.activateTargetChange(socket.BootTime(), c.targets.apply(socket.BootTime(), update))
	return c, record
}

// endLoop ends what a control loop has begun that is not running.
func endLoop(c *controlLoop) {
	c.stopAll()
	c.t.Kill(nil)
	Expect(c.t.Wait()).To(Succeed())
}

var _ = Describe("an instance that takes over the leadership", func() {
	It("keeps its control loop responsive while it renews the leases of hundreds of targets", func() {
		// Guards against a new leader whose control loop stands for seconds, because hundreds of lease requests compete with
		// it for one processor: it activated no change of the configuration meanwhile, and its followers took it for silent.
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
		client := &busyLeaseClient{}
		c, record := newTakeoverLoop(820, client)
		c.t.Go(func() error {
			c.startLeading(socket.BootTime(), record, 1)
			return c.run()
		})
		Eventually(client.granted.Load).WithTimeout(30 * time.Second).Should(BeNumerically(">=", 820))
		time.Sleep(2 * tickInterval) // for the tick that was late
		c.t.Kill(nil)
		Expect(c.t.Wait()).To(Succeed())
		Expect(time.Duration(c.metrics.controlLag.Max())).To(BeNumerically("<", heartbeatInterval))
	})

	It("sends a few lease requests at a time until it knows that its control loop keeps up with them", func() {
		// Guards against the same, without a clock: a new leader sent 820 lease requests in its first tick.
		c, record := newTakeoverLoop(820, &halfSilentLeaseClient{})
		c.startLeading(socket.BootTime(), record, 1)
		DeferCleanup(endLoop, c)
		l, now := c.leadership, socket.BootTime()
		l.tick(now)
		Expect(l.calls.open).To(Equal(initialCallWindow))
		Expect(c.metrics.grants.Count()).To(BeEquivalentTo(initialCallWindow))
		for l.calls.open > 0 { // half of the calls are answered, the others become silent
			(<-c.events)()
		}
		Expect(l.calls.size).To(BeNumerically(">", initialCallWindow))
		for range 20 {
			l.calls.recordTick(maxTickDelay + time.Millisecond)
		}
		Expect(l.calls.free()).To(Equal(minCallWindow))
		l.calls.recordTick(maxTickDelay)
		Expect(l.calls.free()).To(Equal(minCallWindow))
	})

	It("renews all other leases in time while half of the targets do not respond", func() {
		// Guards against leases that end because calls to silent targets take the place of renewals: of 1,065 targets, 221 were
		// dark and others were replaced, and most requests were refused by holders whose leases had ended.
		client := &halfSilentLeaseClient{}
		c, record := newTakeoverLoop(2000, client)
		c.t.Go(func() error {
			c.startLeading(socket.BootTime(), record, 1)
			return c.run()
		})
		DeferCleanup(func() {
			c.t.Kill(nil)
			Expect(c.t.Wait()).To(Succeed())
		})
		Eventually(client.granted.Load).WithTimeout(time.Second).Should(BeNumerically(">=", 1000))
		// Half of the leases have to be renewed at least each 1.4 s; leases last 3 s.
		time.Sleep(3 * time.Second)
		Expect(client.granted.Load()).To(BeNumerically(">=", 2*1000))
	})

	It("tells the leader that it replaces until that one follows", func() {
		// Guards against a replaced leader that goes on alone: the only attempt to tell it timed out, the store refused it, and
		// it kept an old configuration for six seconds.
		replaced := rangelease.InstanceInfo{ID: "replaced", Address: "127.0.0.1:1"}
		c, record := newTakeoverLoop(1, &busyLeaseClient{})
		c.record = &rangelease.Record{Term: 1, Leader: replaced}
		c.startLeading(socket.BootTime(), record, 1)
		DeferCleanup(endLoop, c)
		Expect(c.leadership.lostFollowers).To(HaveKey("replaced"))
		c.addFollower(&follower{InstanceInfo: replaced, out: make(chan []byte, followerQueueLength), stop: func() {}})
		Expect(c.leadership.lostFollowers).To(BeEmpty())
	})

	It("goes on leading under the next term when the fencing tokens of one are used up", func() {
		// Guards against a leader that takes its own next term for that of another leader and steps down, and against
		// followers that are not told the term.
		tokensPerTerm := rangelease.DefaultOptions.TokensPerTerm
		rangelease.DefaultOptions.TokensPerTerm = 3
		DeferCleanup(func() { rangelease.DefaultOptions.TokensPerTerm = tokensPerTerm })
		c, record := newTakeoverLoop(8, &busyLeaseClient{})
		c.startLeading(socket.BootTime(), record, 1)
		DeferCleanup(endLoop, c)
		f := &follower{InstanceInfo: rangelease.InstanceInfo{ID: "i1"}, out: make(chan []byte, followerQueueLength), stop: func() {}}
		c.addFollower(f)
		l, firstTerm := c.leadership, record.Term
		for deadline := time.Now().Add(5 * time.Second); l.grantor.Term() == firstTerm && time.Now().Before(deadline); {
			now := socket.BootTime()
			l.tick(now)
			// The watch of the record sees the next term before the response to the write arrives.
			next := *c.record
			next.Term, next.Leader = firstTerm+1, c.self
			c.applyRecord(now, &next, c.recordVersion+1)
			for len(c.events)+len(c.urgent) > 0 {
				select {
				case f := <-c.urgent:
					f()
				case f := <-c.events:
					f()
				}
			}
			time.Sleep(time.Millisecond)
		}
		Expect(c.leadership).To(BeIdenticalTo(l))
		Expect([]uint64{l.grantor.Term(), c.term, c.record.Term}).To(HaveEach(firstTerm + 1))
		var told uint64
		for len(f.out) > 0 {
			var update stateUpdate
			_, err := readFrame(bytes.NewReader(<-f.out), map[byte]any{kindStateUpdate: &update, kindCompressedStateUpdate: &compressedUpdate{&update}})
			Expect(err).NotTo(HaveOccurred())
			told = max(told, update.Term)
		}
		Expect(told).To(Equal(firstTerm + 1))
	})

	It("gives up a lease request in time, however late its goroutine runs", func() {
		// Guards against two holders of a key: a grant that arrives later than the grantor assumes extends a lease beyond the
		// time at which the key is given to another target.
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
		c, record := newTakeoverLoop(1, &busyLeaseClient{})
		c.startLeading(socket.BootTime(), record, 1)
		DeferCleanup(endLoop, c)
		const timeout, delay = time.Second, 5 * time.Millisecond
		deadlines := make(chan time.Time, 1)
		c.leadership.startCall(&leaseCall{}, timeout, func(ctx context.Context) deployment.LeaseResponse {
			deadline, _ := ctx.Deadline()
			deadlines <- deadline
			return deployment.LeaseResponse{}
		})
		latest := time.Now().Add(timeout)
		for time.Now().Before(latest.Add(delay - timeout)) { // keeps the goroutine from running on the only processor
		}
		Expect(<-deadlines).To(BeTemporally("<=", latest))
	})

	Context("that others join", func() {
		var c *controlLoop
		// join lets an instance connect, as servePeer does.
		join := func(id string) *follower {
			f := &follower{InstanceInfo: rangelease.InstanceInfo{ID: id, Address: id}, joinedAt: socket.BootTime(), out: make(chan []byte, followerQueueLength), stop: func() {}}
			c.addFollower(f)
			return f
		}
		// nextFrame returns the type and the state update of the next frame that was queued for a follower.
		nextFrame := func(f *follower) (kind byte, update stateUpdate) {
			frame := <-f.out
			kind, err := readFrame(bytes.NewReader(frame), map[byte]any{kindStateUpdate: &update, kindCompressedStateUpdate: &compressedUpdate{&update}})
			Expect(err).NotTo(HaveOccurred())
			return kind, update
		}
		BeforeEach(func() {
			var record *rangelease.Record
			c, record = newTakeoverLoop(8, &busyLeaseClient{})
			record.InstanceCount = 295
			c.startLeading(socket.BootTime(), record, 1)
			DeferCleanup(endLoop, c)
		})

		It("sends each a heartbeat at once, and encodes the state a few times for hundreds", func() {
			// Guards against a leader that encodes 200 KB for each of hundreds of followers, one by one, while those that wait
			// hear nothing, take it for silent and connect again.
			var followers []*follower
			for i := range 294 {
				followers = append(followers, join(fmt.Sprintf("i%d", i)))
			}
			for _, f := range followers[1:] { // the first has been sent the state too
				Expect(f.out).To(HaveLen(1))
			}
			now := socket.BootTime()
			for range 6 {
				now += time.Second
				c.leadership.sendInitialState(now)
			}
			Expect(c.leadership.joining).To(BeEmpty())
			Expect(c.activity.initialStates).To(BeNumerically("<=", 6))
			for _, f := range followers {
				_, heartbeat := nextFrame(f)
				Expect(heartbeat.Leader).To(BeNil())
				_, state := nextFrame(f)
				Expect(state.Leader).NotTo(BeNil())
			}
		})

		It("counts an instance once that connects again, and closes its earlier connection", func() {
			// Guards against links that their followers have given up: a leader of 295 instances counted 584 followers, sent
			// each update to all of them, and told the others that 585 instances share the limits of targets.
			first := join("i1")
			second := join("i1")
			c.leadership.sendInitialState(socket.BootTime() + time.Second)
			Expect(c.leadership.followers).To(HaveLen(1))
			Expect(c.leadership.followers).To(HaveKey(second))
			for len(first.out) > 1 {
				<-first.out
			}
			Expect(<-first.out).To(BeNil(), "the mark that closes the connection")
			c.leadership.removeFollower(socket.BootTime(), first) // its end is noticed later
			Expect(c.leadership.links).To(HaveKeyWithValue("i1", second))
		})

		It("sends no state to a connection that has ended", func() {
			// Guards against the cost of initial states for followers that have given up before their turn.
			join("i1") // is sent the state at once
			ended := join("i2")
			ended.closed.Store(true)
			c.leadership.sendInitialState(socket.BootTime() + time.Second)
			Expect(c.leadership.followers).NotTo(HaveKey(ended))
		})

		It("tells them the predecessor's number of instances until its followers had time to connect", func() {
			// Guards against limits that all instances share and that the first followers of a new leader divide by a handful.
			f := join("i1")
			_, heartbeat := nextFrame(f)
			Expect(heartbeat.Instances).To(Equal(295))
			Expect(c.leadership.instanceCount(c.leadership.startedAt + predecessorRetention)).To(Equal(2))
		})
	})
})

var _ = Describe("an instance with a leader", func() {
	var c *controlLoop
	// hear makes the loop hear the leader, and decide what to watch.
	hear := func(update stateUpdate) {
		c.applyStateUpdate(c.link, &update)
		c.runElection(socket.BootTime())
	}
	BeforeEach(func() {
		c, _ = newTakeoverLoop(1, nil)
		options := election.DefaultOptions
		options.WatchDelay = 0 // so that any time without a confirmation is too long
		options.Jitter = 0
		c.elector = election.New(options, socket.BootTime(), c.self, func() float64 { return 0.5 })
		c.link = &leaderLink{leader: rangelease.InstanceInfo{ID: "leader"}, cancel: func() {}}
		c.record = &rangelease.Record{Leader: c.link.leader}
		DeferCleanup(endLoop, c)
		c.watchConfigAndTargets()
	})

	It("watches the configuration itself until the leader has sent its state", func() {
		// Guards against changes of the configuration that nobody passes on: the first heartbeat of a new leader ended the watch
		// of its follower, which had the next configuration 3.7 s after others.
		const recent = -time.Hour // a confirmation that no delay of this spec makes old
		hear(stateUpdate{ConfigAge: recent})
		Expect(c.watches).To(HaveKey("config"))
		Expect(c.watches).To(HaveKey("servers"))
		hear(stateUpdate{Leader: &c.link.leader, ConfigAge: recent})
		Expect(c.watches).To(BeEmpty())
	})

	It("takes an update that arrives late for as old as it is", func() {
		// Guards against an old configuration that counts as the newest, because the heartbeats of a leader queue for seconds
		// behind the states that it sends to hundreds of followers.
		now := socket.BootTime()
		c.link.stateReceived, c.link.requestedAt = true, now-10*time.Second
		c.applyStateUpdate(c.link, &stateUpdate{SentAt: time.Hour})
		Expect(c.leaderConfigConfirmedAt).To(Equal(now - 10*time.Second))
		c.applyStateUpdate(c.link, &stateUpdate{SentAt: time.Hour + 7*time.Second, ConfigAge: time.Second})
		Expect(c.leaderConfigConfirmedAt).To(Equal(now-4*time.Second), "sent 3 s ago at the earliest, and 1 s old then")
		c.applyStateUpdate(c.link, &stateUpdate{SentAt: 2 * time.Hour})
		Expect(c.leaderConfigConfirmedAt).To(BeNumerically("<=", socket.BootTime()), "a clock that jumps")
	})

	It("goes on with that watch if it waits for the end of an outage of the store", func() {
		// Guards against a watch that waits for the watch of the ownership record, which has ended, to find that the store
		// responds again. The model of the configuration in package election found this.
		c.recordStoreFailure(context.Background(), socket.BootTime(), store.ErrUnavailable)
		hear(stateUpdate{})
		Expect(c.watches).To(HaveKey("config"))
		Expect(c.watches).NotTo(HaveKey(ownershipRecordKind))
		Expect(c.storeRecovered).To(BeClosed())
	})

	It("watches the configuration itself while the leader has no recent answer of the store about it", func() {
		// Guards against a leader that sends heartbeats while its own watch of the configuration stands still.
		hear(stateUpdate{Leader: &c.link.leader, ConfigAge: time.Second})
		Expect(c.watches).To(HaveKey("config"))
	})
})
