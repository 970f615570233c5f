package edge

import (
	"time"

	"github.com/boragegate/boragegate/ownership/rangelease"
)

// A new leader waits for the leases of the one that it replaces before it grants their keys to
// others. The wait is short only if the replaced leader is proven to grant no more leases: it has
// said so at its end, or a later process at its address answers or connects. A refused or reset
// connection is enough to take over, but not for this, because a partition causes it too while the
// leader renews the leases of the targets on its side.

// announcedLeases are the leases that a leader has announced to leave active when it ends.
type announcedLeases struct {
	term   uint64 // of the leader
	leases rangelease.OutstandingLeases
	at     time.Duration // earliest time at which the update with them can have been made, 0 if there is none
}

// afterEnd returns what is known about a leader that has ended at an unknown time before now.
func (a announcedLeases) afterEnd(now time.Duration, options rangelease.Options) rangelease.Predecessor {
	if a.at == 0 {
		return rangelease.Predecessor{}
	}
	leases := a.leases
	if now-a.at > outstandingLeasesHorizon {
		leases.Hold = options.OutageLeaseDuration // it may have lost the store before it ended
	}
	return rangelease.Predecessor{Ended: true, Leases: leases}
}

// leaseReport is what a follower has last heard about the leases of a leader.
type leaseReport struct {
	Term   uint64                       `msgpack:"t"` // of that leader
	Leases rangelease.OutstandingLeases `msgpack:"l"`
	// Age is the longest time that may have passed since that leader sent it.
	Age time.Duration `msgpack:"a"`
}

// report returns what to tell the next leader, or nil if there is no announcement.
func (a announcedLeases) report(now time.Duration) *leaseReport {
	if a.at == 0 {
		return nil
	}
	return &leaseReport{Term: a.term, Leases: a.leases, Age: now - a.at}
}

// replacedLeader is the leader that this instance has replaced.
type replacedLeader struct {
	rangelease.InstanceInfo
	term      uint64
	announced announcedLeases
	// ended is set when it is proven to grant no more leases.
	ended bool
	// reportMissing is set if it had ended before the takeover, but this instance has not heard what
	// leases it leaves. Followers may have.
	reportMissing bool
}

// predecessor returns the leader that this instance is about to replace, and what is known about
// its leases.
func (c *controlLoop) predecessor(now time.Duration) (replacedLeader, rangelease.Predecessor) {
	p := replacedLeader{announced: c.leaderLeases, ended: c.leaderEnded}
	if c.record != nil && c.record.Leader != c.self {
		p.InstanceInfo, p.term = c.record.Leader, c.record.Term
		p.ended = p.ended || !c.isRecordOutdated() && p.isEarlierProcessOf(c.self)
	}
	if !p.ended {
		return p, rangelease.Predecessor{}
	}
	p.reportMissing = p.announced.at == 0
	return p, p.announced.afterEnd(now, grantOptions(c))
}

// isEarlierProcessOf reports whether the leader was an earlier process of the given instance. The
// instance listens at its address before it follows or leads, which it cannot do while its earlier
// process grants leases.
func (p *replacedLeader) isEarlierProcessOf(i rangelease.InstanceInfo) bool {
	return p.ID != "" && p.ID == i.ID && p.Address == i.Address && p.Incarnation < i.Incarnation
}

// resign ends the leadership of an instance whose process ends, and tells the followers. It returns
// their connections, which close when they have been told.
func (c *controlLoop) resign() []*follower {
	c.resigned = true
	if c.leadership == nil {
		return nil
	}
	l := c.leadership
	followers := l.followerList()
	l.cancel() // open calls fail, and none is sent from now on
	l.broadcast(stateUpdate{Resigned: true})
	c.stepDown("the process ends")
	return followers
}

// checkPredecessorEnded shortens the wait for the leases of the replaced leader if a follower is the
// next process of its instance, or reports the leases of one that is known to have ended.
func (l *leadership) checkPredecessorEnded(now time.Duration, f *follower) {
	p, announced := &l.predecessor, announcedLeases{}
	switch {
	case !p.ended && p.isEarlierProcessOf(f.InstanceInfo):
		p.ended, announced = true, p.announced
	case p.reportMissing && f.lastLeases != nil && f.lastLeases.Term == p.term:
		// The leader ended before the follower sent the report, so no more than the age in it lies
		// between the announcement and the end.
		p.reportMissing, announced = false, announcedLeases{leases: f.lastLeases.Leases, at: now - f.lastLeases.Age}
	default:
		return
	}
	known := announced.afterEnd(now, grantOptions(l.c))
	if known.Ended {
		l.grantor.ReportPredecessorEnded(now, known.Leases)
	}
	l.c.log.Info().Str("event", "leader.predecessor_ended").Str("instance", f.ID).Uint64("term", l.grantor.Term()).
		Bool("leases_known", known.Ended).Dur("earlier_leases_ms", l.grantor.OutstandingLeases(now, 0).Earlier).Send()
}
