package edge

import (
	"maps"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/routing"
	"github.com/boragegate/boragegate/store"
)

var _ = Describe("targetList", func() {
	var l *targetList
	fullList := func(version store.Version, names ...string) *targetUpdate {
		update := &targetUpdate{Version: version, Full: true, Put: map[string]routing.Target{}}
		for _, name := range names {
			update.Put[name] = routing.Target{ID: name, Address: name, Incarnation: 1}
		}
		return update
	}
	BeforeEach(func() {
		l = newTargetList()
		l.apply(0, fullList(1, "a", "b"))
	})

	It("keeps entries that are missing right after a store outage until their targets have had time to register again", func() {
		// Guards against dropping live targets because their entries expired while the store
		// was down.
		l.recordOutageEnd(time.Second)
		l.apply(time.Second, fullList(2, "a"))
		Expect(l.liveTargets()).To(HaveLen(2))
		Expect(l.dropExpired(time.Second + reregistrationTime)).To(ConsistOf("b"))
		Expect(l.liveTargets()).To(HaveLen(1))
	})

	It("uses no entry for a service that the configuration does not name instead of the target at its address", func() {
		// Guards against a target that gets no requests and loses its keys: an entry of another writer had its address and a
		// later start.
		l.setServices(map[string]routing.Service{"": {}})
		l.takeChanges()
		foreign := routing.Target{ID: "copy", Address: "a", Incarnation: 2, Service: "no-such-service"}
		l.apply(0, &targetUpdate{Version: 2, Put: map[string]routing.Target{"copy": foreign}})
		changed, ended := l.takeChanges()
		Expect(changed).To(BeEmpty())
		Expect(ended).To(BeEmpty())

		Expect(l.setServices(map[string]routing.Service{"": {}, "no-such-service": {}})).To(BeTrue())
		changed, ended = l.takeChanges()
		Expect(changed).To(ConsistOf(foreign))
		Expect(ended).To(ConsistOf(routing.Lifetime{ID: "a", Incarnation: 1}))

		Expect(l.setServices(map[string]routing.Service{"": {}})).To(BeTrue())
		changed, ended = l.takeChanges()
		Expect(changed).To(ConsistOf(HaveField("ID", "a")))
		Expect(ended).To(ConsistOf(foreign.Lifetime()))
	})

	It("reports an entry that is written again with the same time of warm-up as changed", func() {
		// Guards against a target that turns cold again for as long as the last time and gets its full load, and against
		// a list that is only read again and limits targets that are warm by now.
		cold := &targetUpdate{Version: 2, Put: map[string]routing.Target{"a": {ID: "a", Address: "a", Incarnation: 1, WarmUp: time.Second}}}
		l.apply(0, cold)
		l.takeChanges()
		Expect(l.apply(0, cold).Put).To(HaveLen(1))
		changed, _ := l.takeChanges()
		Expect(changed).To(HaveLen(1))
		cold.Full = true
		l.apply(0, cold)
		changed, _ = l.takeChanges()
		Expect(changed).To(BeEmpty())
	})

	It("drops missing entries at once if the list of the leader, which was not cut off, lacks them too", func() {
		// Guards against requests to targets that left while only this instance was cut off
		// from the store: they reached targets that had left 12 s before. The leader's list
		// is older than the one that this instance has just read.
		l.recordOutageEnd(time.Second)
		l.apply(time.Second, fullList(9, "a"))
		Expect(l.dropUnlisted(time.Second, fullList(5, "a"))).To(ConsistOf("b"))
		Expect(l.liveTargets()).To(HaveLen(1))
		Expect(l.dropExpired(time.Hour)).To(BeEmpty())
	})

	DescribeTable("drops entries that the leader keeps after an outage when their time is over, also without that leader",
		// Guards against requests to a target that has left: the instance that led next did not know that its predecessor had
		// only kept the entry, read on from a later version of the store, and never dropped it.
		func(tell func(leader *targetList, update *targetUpdate) *targetUpdate) {
			follower := newTargetList()
			follower.apply(0, fullList(1, "a", "b"))
			l.recordOutageEnd(time.Second)
			update := &targetUpdate{Version: 2, Put: map[string]routing.Target{}, Deleted: []string{"a", "b"}}
			l.apply(time.Second, update)
			Expect(follower.applyLeaderUpdate(time.Second, tell(l, update)).isEmpty()).To(BeTrue())
			Expect(follower.liveTargets()).To(HaveLen(2))

			again := &targetUpdate{Version: 3, Put: map[string]routing.Target{"a": l.byName["a"]}} // registered again, unchanged
			l.apply(time.Second, again)
			follower.applyLeaderUpdate(time.Second, l.followerUpdate(time.Second, again))
			Expect(follower.dropExpired(time.Second + reregistrationTime)).To(ConsistOf("b"))
			Expect(follower.liveTargets()).To(ConsistOf(HaveField("ID", "a")))
		},
		Entry("told as a change", func(leader *targetList, update *targetUpdate) *targetUpdate {
			return leader.followerUpdate(time.Second, update)
		}),
		Entry("told with the full list", func(leader *targetList, _ *targetUpdate) *targetUpdate { return leader.full(time.Second) }),
		Entry("told as a change that waits for a later one", func(leader *targetList, update *targetUpdate) *targetUpdate {
			return leader.followerUpdate(time.Second, update).merge(&targetUpdate{Version: 2})
		}),
	)

	It("is the store's list at every follower after the leader has read it, whatever either had before", func() {
		// Guards against requests to a target that has left: a leader that had restarted read the list after a follower had
		// joined, and sent it the difference from its own empty list, which deletes nothing.
		type entry struct {
			name   string
			target routing.Target
			exists bool
		}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			history := []entry{{}} // by version; the store's first version is 1
			for range rapid.IntRange(1, 12).Draw(t, "changes") {
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				history = append(history, entry{name, routing.Target{
					ID: name, Address: name, Incarnation: 1, Draining: rapid.Bool().Draw(t, "draining"),
				}, rapid.Bool().Draw(t, "exists")})
			}
			newest := len(history) - 1
			listAt := func(version int) *targetUpdate {
				update := fullList(store.Version(version))
				for _, e := range history[1 : version+1] {
					delete(update.Put, e.name)
					if e.exists {
						update.Put[e.name] = e.target
					}
				}
				return update
			}
			changesBetween := func(from, to int) *targetUpdate {
				update := &targetUpdate{Version: store.Version(to), Put: map[string]routing.Target{}}
				deleted := map[string]bool{}
				for _, e := range history[from+1 : to+1] {
					delete(update.Put, e.name)
					if deleted[e.name] = !e.exists; e.exists {
						update.Put[e.name] = e.target
					}
				}
				for name, isDeleted := range deleted {
					if isDeleted {
						update.Deleted = append(update.Deleted, name)
					}
				}
				return update
			}
			newList := func(version int) *targetList {
				l := newTargetList()
				if version > 0 {
					l.apply(0, listAt(version))
				}
				return l
			}
			leaderVersion := rapid.IntRange(0, newest).Draw(t, "leader's version")
			leader := newList(leaderVersion)
			follower := newList(rapid.IntRange(0, newest).Draw(t, "follower's version"))
			if leaderVersion > 0 { // the state that a follower gets when it joins
				follower.applyLeaderUpdate(0, leader.full(0))
			}
			for leaderVersion < newest {
				next := rapid.IntRange(leaderVersion+1, newest).Draw(t, "version read")
				update := listAt(next)
				if leaderVersion > 0 && rapid.Bool().Draw(t, "history is known") {
					update = changesBetween(leaderVersion, next)
				}
				leader.apply(0, update)
				follower.applyLeaderUpdate(0, leader.followerUpdate(0, update))
				leaderVersion = next
			}
			for name, l := range map[string]*targetList{"leader": leader, "follower": follower} {
				if !maps.Equal(l.byName, listAt(newest).Put) {
					t.Fatalf("the %s has %v, the store %v", name, l.byName, listAt(newest).Put)
				}
			}
		})
	})

	It("lists only the target with the highest incarnation at an address", func() {
		// Guards against requests to an earlier target whose address another one has taken.
		update := fullList(2, "a", "b")
		update.Put["c"] = routing.Target{ID: "c", Address: "a", Incarnation: 2}
		l.apply(0, update)
		Expect(l.liveTargets()).To(ConsistOf(HaveField("ID", "b"), HaveField("ID", "c")))
	})
})
