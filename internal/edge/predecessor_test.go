package edge

import (
	"bytes"
	"io"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/ownership/rangelease"
)

var _ = It("a leader whose process ends tells its followers before their connections close", func() {
	// Guards against a successor that takes a planned stop for a partition.
	c, record := newTakeoverLoop(8, &busyLeaseClient{})
	DeferCleanup(endLoop, c)
	c.startLeading(socket.BootTime(), record, 1)
	c.addFollower(&follower{InstanceInfo: rangelease.InstanceInfo{ID: "i1"}, out: make(chan []byte, followerQueueLength), stop: func() {}})
	var frames [][]byte
	for _, f := range c.resign() {
		for len(f.out) > 0 {
			frames = append(frames, <-f.out)
		}
	}
	Expect(len(frames)).To(BeNumerically(">", 1))
	Expect(frames[len(frames)-1]).To(BeNil(), "the mark that closes the connection")
	var last stateUpdate
	_, err := readFrame(bytes.NewReader(frames[len(frames)-2]), map[byte]any{kindStateUpdate: &last, kindCompressedStateUpdate: &compressedUpdate{&last}})
	Expect(err).NotTo(HaveOccurred())
	Expect(last.Resigned).To(BeTrue())
	Expect(c.leadership).To(BeNil())
})

var _ = It("an instance whose process ends does not lead again", func() {
	// Guards against two holders of a key: its successor does not wait for leases that it grants after it has resigned. The
	// response to a takeover, or the next term that it has written, may arrive after that.
	c, record := newTakeoverLoop(8, &busyLeaseClient{})
	DeferCleanup(endLoop, c)
	c.startLeading(socket.BootTime(), record, 1)
	c.resign()
	next := *record
	next.Term++
	c.applyRecord(socket.BootTime(), &next, 2)
	Expect(c.leadership).To(BeNil())
})

var _ = Describe("a takeover from a leader that cannot be reached", func() {
	var (
		c      *controlLoop
		record *rangelease.Record
		leader rangelease.InstanceInfo
	)
	const leaseDuration = 3 * time.Second
	// longestRenewal is the time for which a leader without the store may renew leases after its successor has taken over.
	longestRenewal := rangelease.DefaultOptions.TermConfirmationTimeout
	// announce makes the loop receive an update in which the leader announces its leases.
	announce := func(leases rangelease.OutstandingLeases) {
		c.applyStateUpdate(c.link, &stateUpdate{Term: 1, Leader: &leader, OutstandingLeases: leases})
	}
	earlierLeases := func() time.Duration {
		return c.leadership.grantor.OutstandingLeases(socket.BootTime(), 0).Earlier
	}
	// takeOver makes the instance the leader and returns the time for which it waits for the leases of others.
	takeOver := func() time.Duration {
		c.startLeading(socket.BootTime(), record, 1)
		return earlierLeases()
	}
	// connect makes an instance follow.
	connect := func(instance rangelease.InstanceInfo) {
		c.addFollower(&follower{InstanceInfo: instance, joinedAt: socket.BootTime(), out: make(chan []byte, followerQueueLength), stop: func() {}})
	}
	BeforeEach(func() {
		c, record = newTakeoverLoop(8, &busyLeaseClient{})
		DeferCleanup(endLoop, c)
		leader = rangelease.InstanceInfo{ID: "leader", Incarnation: 5, Address: "127.0.0.1:1"}
		c.term, c.record = 1, &rangelease.Record{Term: 1, Leader: leader}
		c.link = &leaderLink{leader: leader, cancel: func() {}}
		announce(rangelease.OutstandingLeases{Hold: leaseDuration})
	})

	It("waits for all leases that the leader may still renew if its address refuses connections", func() {
		// Guards against two holders of a key: a partition that resets connections was taken for the end of the leader's
		// process, which went on renewing leases in its zone while the next leader granted the same keys after 3.5 s.
		c.handleLinkLost(c.link, syscall.ECONNREFUSED)
		Expect(takeOver()).To(BeNumerically(">", longestRenewal))
	})

	It("waits for the announced leases only if a later process answers at the address of the leader", func() {
		// Guards against keys that nobody serves for 20 s after a crash of a leader that has restarted since.
		c.handleLinkLost(c.link, syscall.ECONNREFUSED)
		c.handleLinkLost(c.link, errLeaderRestarted)
		Expect(takeOver()).To(BeNumerically("<", leaseDuration+time.Second))
	})

	It("waits for the announced leases only if the leader has resigned", func() {
		// Guards against keys that nobody serves for 20 s after a planned stop of the leader while the store is down.
		c.applyStateUpdate(c.link, &stateUpdate{Term: 1, Resigned: true, OutstandingLeases: rangelease.OutstandingLeases{Hold: leaseDuration}})
		c.handleLinkLost(c.link, io.EOF)
		Expect(takeOver()).To(BeNumerically("<", leaseDuration+time.Second))
	})

	It("waits for the announced leases only once the leader's next process has connected", func() {
		// Guards against the same if the leader restarts after the takeover.
		c.handleLinkLost(c.link, syscall.ECONNREFUSED)
		Expect(takeOver()).To(BeNumerically(">", longestRenewal))
		restarted := leader
		restarted.Incarnation++
		connect(restarted)
		Expect(earlierLeases()).To(BeNumerically("<", leaseDuration+time.Second))
	})

	DescribeTable("goes on waiting for all leases when an instance connects that proves nothing",
		// Guards against two holders of a key: the leader that was replaced may still run.
		func(change func(*rangelease.InstanceInfo)) {
			c.handleLinkLost(c.link, syscall.ECONNREFUSED)
			takeOver()
			instance := leader
			change(&instance)
			connect(instance)
			Expect(earlierLeases()).To(BeNumerically(">", longestRenewal))
		},
		Entry("the leader itself", func(*rangelease.InstanceInfo) {}),
		Entry("a later process at another address", func(i *rangelease.InstanceInfo) { i.Incarnation, i.Address = 6, "127.0.0.1:2" }),
		Entry("another instance at its address", func(i *rangelease.InstanceInfo) { i.Incarnation, i.ID = 6, "other" }),
		Entry("an earlier process", func(i *rangelease.InstanceInfo) { i.Incarnation = 4 }),
	)

	Context("by the next process of that leader", func() {
		// report makes a follower connect that has heard an announcement of the leader.
		report := func(term uint64, age time.Duration) {
			c.previousLeases = announcedLeases{term: term, leases: rangelease.OutstandingLeases{Hold: leaseDuration}, at: socket.BootTime() - age}
			c.leaderLeases = announcedLeases{}
			request := c.newFollowRequest(socket.BootTime())
			c.addFollower(&follower{InstanceInfo: rangelease.InstanceInfo{ID: "i1"}, lastLeases: request.LastLeases, out: make(chan []byte, followerQueueLength), stop: func() {}})
		}
		BeforeEach(func() {
			c.self = leader
			c.self.Incarnation++
			c.link, c.leaderLeases = nil, announcedLeases{}
		})

		It("waits for the announced leases only once a follower has reported them", func() {
			// Guards against keys that nobody serves for 20 s when a crashed leader restarts and leads again before others do.
			Expect(takeOver()).To(BeNumerically(">", longestRenewal))
			report(1, 500*time.Millisecond)
			Expect(earlierLeases()).To(BeNumerically("<", leaseDuration+time.Second))
		})

		It("waits for longer leases if the report may be too old to include them", func() {
			// Guards against two holders of a key: the leader may have lost the store and granted leases of 8 s after it.
			takeOver()
			report(1, outstandingLeasesHorizon+time.Millisecond)
			Expect(earlierLeases()).To(BeNumerically(">", rangelease.DefaultOptions.OutageLeaseDuration))
		})

		It("goes on waiting for all leases after a report about another leader", func() {
			// Guards against two holders of a key: another leader may have granted later leases.
			c.record.Term = 2
			takeOver()
			report(1, 500*time.Millisecond)
			Expect(earlierLeases()).To(BeNumerically(">", longestRenewal))
		})

		It("goes on waiting for all leases if the record is from an older copy of the store", func() {
			// Guards against two holders of a key: the record of a later leader may be lost.
			c.recordRestored = true
			takeOver()
			report(1, 500*time.Millisecond)
			Expect(earlierLeases()).To(BeNumerically(">", longestRenewal))
		})
	})

	It("goes on waiting for all leases after a report, if the leader may still run", func() {
		// Guards against two holders of a key: what a leader announced says nothing about what it grants later.
		c.handleLinkLost(c.link, syscall.ECONNREFUSED)
		takeOver()
		c.addFollower(&follower{InstanceInfo: rangelease.InstanceInfo{ID: "i1"}, lastLeases: &leaseReport{Term: 1}, out: make(chan []byte, followerQueueLength), stop: func() {}})
		Expect(earlierLeases()).To(BeNumerically(">", longestRenewal))
	})

	It("waits for longer leases if the last announcement may be too old to include them", func() {
		// Guards against two holders of a key: an update that waited for seconds in a queue announced leases of 3 s, after
		// which the leader lost the store and granted leases of 8 s.
		c.link.requestedAt = socket.BootTime() - 10*time.Second
		c.applyStateUpdate(c.link, &stateUpdate{Term: 1, SentAt: time.Hour, OutstandingLeases: rangelease.OutstandingLeases{Hold: leaseDuration}})
		c.handleLinkLost(c.link, errLeaderRestarted)
		Expect(takeOver()).To(BeNumerically(">", rangelease.DefaultOptions.OutageLeaseDuration))
	})

	It("waits for leases that were announced of the leaders before it", func() {
		// Guards against two holders of a key if the leader that ended had itself replaced one that may still run.
		announce(rangelease.OutstandingLeases{Hold: leaseDuration, Earlier: 15 * time.Second})
		c.handleLinkLost(c.link, errLeaderRestarted)
		Expect(takeOver()).To(BeNumerically(">", 14*time.Second))
	})
})
