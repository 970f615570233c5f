package edge

import (
	"context"
	"errors"
	"time"

	"github.com/boragegate/boragegate/internal/deployment"
	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/ownership/election"
	"github.com/boragegate/boragegate/ownership/rangelease"
	"github.com/boragegate/boragegate/store"
)

// view is what the elector has to know.
func (c *control) view(now time.Duration) election.View {
	v := election.View{
		LeaderHeardAt: c.newsAt, LeaderStoreAt: c.leaderAt, LeaderRefused: c.refused, LeaderEnded: c.leaderEnded, LeaderLostStore: c.leaderLost,
		RecordKnown: c.recordKnown, StoreReachable: c.reachesStore(now),
	}
	if c.link == nil {
		v.LeaderHeardAt = 0
	}
	if c.record != nil {
		v.Leader = c.record.Leader
	}
	return v
}

// elect does what is due while there is no leader, or one in doubt.
func (c *control) elect(now time.Duration) {
	if c.lead != nil {
		if c.lead.granter.TermConfirmationAge(now) > rangelease.DefaultOptions.TermConfirmationTimeout {
			c.stepDown("the store does not answer")
		}
		return
	}
	doubted := c.elector.SuspectsLeader()
	d := c.elector.Tick(now, c.view(now))
	if d.LeaderHealthy {
		if doubted {
			c.log.Info().Str("event", "leader.heard").Str("leader", c.leaderID()).Uint64("term", c.term).Send()
		}
		for kind := range c.follows {
			c.stopFollow(kind)
		}
		return
	}
	if d.SuspicionStarted && c.record != nil {
		c.log.Warn().Str("event", "leader.doubted").Str("leader", c.leaderID()).Uint64("term", c.term).
			Bool("refused", c.refused).Bool("store_lost", c.leaderLost).
			Dur("news_age_ms", age(now, c.newsAt)).Dur("leader_store_age_ms", age(now, c.leaderAt)).Send()
	}
	if d.ReadRecord {
		c.lookAtRecord()
	}
	if d.WatchRecord {
		c.startFollow(ownershipKind)
	}
	if d.WatchConfig {
		c.followChanges()
	}
	for _, address := range d.Query {
		c.t.Go(func() error { c.askWho(address); return nil })
	}
	if d.TakeOver && !c.taking && !c.stopping {
		c.takeOver()
	}
}

// reachesStore reports whether the store has answered this instance lately.
func (c *control) reachesStore(now time.Duration) bool {
	return c.storeFailed == 0 && c.storeAt > 0 && now-c.storeAt < storeFresh
}

// age is the time since then, or -1 ms if there was no such time.
func age(now, at time.Duration) time.Duration {
	if at == 0 {
		return -time.Millisecond
	}
	return now - at
}

// strength is the instance's processor time in cores, or less if its link is slow.
func strength(s *deployment.Settings) float64 {
	v := 1.0
	if s.Cores > 0 {
		v = s.Cores
	}
	if s.LinkMbps > 0 {
		v = min(v, s.LinkMbps/linkPerCore)
	}
	return v
}

func (c *control) leaderID() string {
	if c.record == nil {
		return ""
	}
	return c.record.Leader.ID
}

// takeOver stores the record with a higher term and this instance as leader.
func (c *control) takeOver() {
	next := &rangelease.Record{Term: 1, Services: map[string][]rangelease.Entry{}}
	if c.record != nil {
		copied := *c.record
		next = &copied
		next.Term++
	}
	next.Leader = c.self
	value, err := next.Encode()
	if err != nil {
		c.log.Error().Str("event", "leader.encode").Err(err).Send()
		return
	}
	c.taking = true
	object := store.Object{Kind: ownershipKind, Name: ownershipName, Version: c.recordVersion, Value: value, Writer: writerMark(next)}
	c.t.Go(func() error {
		sent := socket.BootTime()
		write := c.store.Update
		if object.Version == 0 {
			write = c.store.Create
		}
		got, err := write(c.t.Context(context.Background()), object)
		c.postUrgent(func() { c.takeOverDone(sent, next, got, err) })
		return nil
	})
}

func (c *control) takeOverDone(sent time.Duration, next *rangelease.Record, got store.Object, err error) {
	c.taking = false
	if err != nil {
		c.log.Info().Str("event", "leader.take_over_failed").Uint64("term", next.Term).Err(err).Send()
		c.elector.ClearSuspicion()
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrExists) {
			c.storeLost(socket.BootTime(), err)
			return
		}
		c.readRecord(c.t.Context(context.Background()), func() {}) // it names the leader to follow
		return
	}
	c.storeAnswered(socket.BootTime())
	c.startLeading(sent, next, got.Version)
}

// readRecord reads the record of ownership, takes it and then calls the function.
func (c *control) readRecord(ctx context.Context, then func()) {
	c.t.Go(func() error {
		sent := socket.BootTime()
		got, err := c.store.Get(ctx, ownershipKind, ownershipName)
		c.postUrgent(func() {
			if err != nil {
				c.storeLost(socket.BootTime(), err)
				return
			}
			c.ownershipSeen(sent, []store.Object{got})
			then()
		})
		return nil
	})
}

// lookAtRecord learns the leader and the candidates from a record that may be old. It
// neither allows a take-over nor names the owners of keys.
func (c *control) lookAtRecord() {
	ctx := c.t.Context(context.Background())
	c.t.Go(func() error {
		got, err := c.store.GetStale(ctx, ownershipKind, ownershipName)
		if errors.Is(err, store.ErrNotFound) {
			return nil // the deployment starts for the first time
		}
		var r *rangelease.Record
		if err == nil {
			r, err = rangelease.DecodeRecord(got.Value)
		}
		c.post(func() {
			if err != nil {
				c.log.Warn().Str("event", "ownership.not_read").Err(err).Send()
				return
			}
			c.adoptCandidates(r)
			// An old record is no sign of life of a leader that is known already.
			if r.Leader.ID != c.self.ID && (c.record == nil || r.Term > c.term) {
				c.adoptLeader(r.Term, r.Leader)
			}
		})
		return nil
	})
}

// adoptCandidates takes what a record says of the instances until a leader says more.
func (c *control) adoptCandidates(r *rangelease.Record) {
	if c.newsAt > 0 || c.lead != nil || r.Term < c.term {
		return
	}
	c.elector.SetCandidates(r.Candidates)
	if r.Instances > 0 {
		c.setInstances(r.Instances)
	}
}

// startLeading starts to lead under a record that the store has.
func (c *control) startLeading(sent time.Duration, r *rangelease.Record, version store.Version) {
	if version <= c.recordVersion || c.lead != nil {
		return
	}
	before := c.predecessor()
	if c.record != nil && c.record.Leader.ID != c.self.ID {
		address := c.record.Leader.Address
		c.t.Go(func() error { c.tellLeader(address, leads{Term: r.Term, Leader: r.Leader}); return nil })
	}
	c.record, c.recordVersion, c.term = r, version, r.Term
	if c.link != nil {
		c.link.cancel()
		c.link = nil
	}
	c.elector.ClearSuspicion()
	c.log.Info().Str("event", "leader.became").Uint64("term", r.Term).Send()
	c.leading.Store(true)
	c.lead = newLeadership(c, sent, r, version, before)
	c.startFollow(ownershipKind)
	c.followChanges()
}

// predecessor is what is known of the leader that this instance replaces.
func (c *control) predecessor() rangelease.Predecessor {
	heard := socket.BootTime() - c.leaderLeftAt
	if !c.leaderEnded || heard > newsAhead {
		return rangelease.Predecessor{}
	}
	return rangelease.Predecessor{Ended: true, Leases: c.leaderLeft}
}

// stepDown ends the lead of this instance.
func (c *control) stepDown(why string) {
	if c.lead == nil {
		return
	}
	c.log.Warn().Str("event", "leader.stepped_down").Uint64("term", c.term).Str("reason", why).Send()
	c.lead.close()
	c.lead = nil
	c.leading.Store(false)
	c.elector.ReportDeposed(socket.BootTime())
}

// recordSeen takes the record as the store has it.
func (c *control) recordSeen(sent time.Duration, r *rangelease.Record, version store.Version) {
	c.recordKnown = true
	if r == nil || version < c.recordVersion {
		return
	}
	if c.lead != nil && r.Term == c.lead.granter.Term() && r.Leader == c.self {
		c.lead.granter.ReportTermConfirmed(sent)
		c.record, c.recordVersion = r, max(c.recordVersion, version)
		return
	}
	if version == c.recordVersion {
		return
	}
	if r.Leader == c.self && r.Term > c.term && c.lead == nil {
		// The answer to the take-over was lost, or is still on its way.
		c.startLeading(sent, r, version)
		return
	}
	known := c.record != nil && c.record.Leader == r.Leader && c.record.Term == r.Term
	c.record, c.recordVersion = r, version
	c.adoptCandidates(r)
	if known {
		return
	}
	c.newLeader(r)
}

// newLeader follows another leader than the one so far.
func (c *control) newLeader(r *rangelease.Record) {
	c.record, c.term = r, max(c.term, r.Term)
	if c.lead != nil {
		c.lead.announce(leads{Term: r.Term, Leader: r.Leader})
		c.stepDown("another instance leads")
	}
	c.elector.ReportLeaderChange(socket.BootTime())
	c.newsAt, c.leaderAt, c.refused, c.leaderLost = 0, 0, false, false
	c.leaderEnded, c.leaderLeftAt = false, 0
	c.log.Info().Str("event", "leader.seen").Str("leader", r.Leader.ID).Uint64("term", r.Term).Send()
	c.dialLeader()
}
