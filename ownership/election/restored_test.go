package election_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/ownership/election"
	"github.com/boragegate/boragegate/ownership/rangelease"
)

var _ = It("leaves a leader that may still lead more time to replace the record of a restored store", func() {
	// Guards against a successor that does not know who holds the keys, and so grants none for 20 s, although the leader would
	// have reached the store a moment later.
	self := rangelease.InstanceInfo{ID: "self", Strength: 1}
	leader := rangelease.InstanceInfo{ID: "leader", Strength: 1}
	takeoverAfter := func(restored, ended bool) time.Duration {
		e := election.New(election.DefaultOptions, 0, self, func() float64 { return 0.5 })
		e.SetCandidates([]rangelease.InstanceInfo{leader, self})
		v := election.View{Leader: leader, LeaderStoreUnreachable: true, LeaderPresumedEnded: ended, RecordKnown: true, StoreReachable: true, RecordRestored: restored}
		for now := 10 * time.Millisecond; ; now += 10 * time.Millisecond {
			if e.Tick(now, v).TakeOver {
				return now
			}
		}
	}
	Expect(takeoverAfter(true, false) - takeoverAfter(false, false)).To(Equal(election.DefaultOptions.RestoredRecordDelay))
	Expect(takeoverAfter(true, true)).To(Equal(takeoverAfter(false, true)))
})
