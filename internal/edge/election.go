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

// electionView is what the elector has to know.
func (c *controlLoop) electionView(now time.Duration) election.View {
	v := election.View{
		LeaderHeardAt: c.lastUpdateAt, LeaderStoreAt: c.leaderStoreAnswerAt, LeaderRefused: c.leaderRefused, LeaderEnded: c.leaderExited, LeaderLostStore: c.leaderStoreUnreachable,
		RecordKnown: c.recordWasRead, StoreReachable: c.reachesStore(now),
	}
	if c.link == nil {
		v.LeaderHeardAt = 0
	}
	if c.record != nil {
		v.Leader = c.record.Leader
	}
	return v
}

// runElection does what is due while there is no leader, or one in doubt.
func (c *controlLoop) runElection(now time.Duration) {
	if c.leadership != nil {
		if c.leadership.granter.TermConfirmationAge(now) > rangelease.DefaultOptions.TermConfirmationTimeout {
			c.stepDown("the store does not answer")
		}
		return
	}
	doubted := c.elector.SuspectsLeader()
	d := c.elector.Tick(now, c.electionView(now))
	if d.LeaderHealthy {
		if doubted {
			c.log.Info().Str("event", "leader.heard").Str("leader", c.leaderID()).Uint64("term", c.term).Send()
		}
		for kind := range c.watches {
			c.stopWatch(kind)
		}
		return
	}
	if d.SuspicionStarted && c.record != nil {
		c.log.Warn().Str("event", "leader.doubted").Str("leader", c.leaderID()).Uint64("term", c.term).
			Bool("refused", c.leaderRefused).Bool("store_lost", c.leaderStoreUnreachable).
			Dur("news_age_ms", ageOrUnknown(now, c.lastUpdateAt)).Dur("leader_store_age_ms", ageOrUnknown(now, c.leaderStoreAnswerAt)).Send()
	}
	if d.ReadRecord {
		c.readStaleRecord()
	}
	if d.WatchRecord {
		c.startWatch(ownershipRecordKind)
	}
	if d.WatchConfig {
		c.watchConfigAndTargets()
	}
	for _, address := range d.Query {
		c.t.Go(func() error { c.queryLeader(address); return nil })
	}
	if d.TakeOver && !c.takingOver && !c.stopping {
		c.takeOver()
	}
}

// reachesStore reports whether the store has answered this instance lately.
func (c *controlLoop) reachesStore(now time.Duration) bool {
	return c.storeFailedSince == 0 && c.lastStoreAnswerAt > 0 && now-c.lastStoreAnswerAt < storeReachableWindow
}

// ageOrUnknown is the time since then, or -1 ms if there was no such time.
func ageOrUnknown(now, at time.Duration) time.Duration {
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
		v = min(v, s.LinkMbps/linkMbpsPerCore)
	}
	return v
}

func (c *controlLoop) leaderID() string {
	if c.record == nil {
		return ""
	}
	return c.record.Leader.ID
}

// takeOver stores the record with a higher term and this instance as leader.
func (c *controlLoop) takeOver() {
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
	c.takingOver = true
	object := store.Object{Kind: ownershipRecordKind, Name: ownershipRecordName, Version: c.recordVersion, Value: value, Writer: writerID(next)}
	c.t.Go(func() error {
		sent := socket.BootTime()
		write := c.store.Update
		if object.Version == 0 {
			write = c.store.Create
		}
		got, err := write(c.t.Context(context.Background()), object)
		c.postUrgent(func() { c.handleTakeOverResult(sent, next, got, err) })
		return nil
	})
}

func (c *controlLoop) handleTakeOverResult(sent time.Duration, next *rangelease.Record, got store.Object, err error) {
	c.takingOver = false
	if err != nil {
		c.log.Info().Str("event", "leader.take_over_failed").Uint64("term", next.Term).Err(err).Send()
		c.elector.ClearSuspicion()
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrExists) {
			c.recordStoreFailure(socket.BootTime(), err)
			return
		}
		c.readRecord(c.t.Context(context.Background()), func() {}) // it names the leader to follow
		return
	}
	c.recordStoreAnswer(socket.BootTime())
	c.startLeading(sent, next, got.Version)
}

// readRecord reads the record of ownership, takes it and then calls the function.
func (c *controlLoop) readRecord(ctx context.Context, then func()) {
	c.t.Go(func() error {
		sent := socket.BootTime()
		got, err := c.store.Get(ctx, ownershipRecordKind, ownershipRecordName)
		c.postUrgent(func() {
			if err != nil {
				c.recordStoreFailure(socket.BootTime(), err)
				return
			}
			c.applyOwnershipObjects(sent, []store.Object{got})
			then()
		})
		return nil
	})
}

// readStaleRecord learns the leader and the candidates from a record that may be old. It
// neither allows a take-over nor names the owners of keys.
func (c *controlLoop) readStaleRecord() {
	ctx := c.t.Context(context.Background())
	c.t.Go(func() error {
		got, err := c.store.GetStale(ctx, ownershipRecordKind, ownershipRecordName)
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
func (c *controlLoop) adoptCandidates(r *rangelease.Record) {
	if c.lastUpdateAt > 0 || c.leadership != nil || r.Term < c.term {
		return
	}
	c.elector.SetCandidates(r.Candidates)
	if r.Instances > 0 {
		c.setInstances(r.Instances)
	}
}

// startLeading starts to lead under a record that the store has.
func (c *controlLoop) startLeading(sent time.Duration, r *rangelease.Record, version store.Version) {
	if version <= c.recordVersion || c.leadership != nil {
		return
	}
	before := c.predecessor()
	if c.record != nil && c.record.Leader.ID != c.self.ID {
		address := c.record.Leader.Address
		c.t.Go(func() error { c.sendLeaderInfo(address, leaderInfo{Term: r.Term, Leader: r.Leader}); return nil })
	}
	c.record, c.recordVersion, c.term = r, version, r.Term
	if c.link != nil {
		c.link.cancel()
		c.link = nil
	}
	c.elector.ClearSuspicion()
	c.log.Info().Str("event", "leader.became").Uint64("term", r.Term).Send()
	c.isLeader.Store(true)
	c.leadership = newLeadership(c, sent, r, version, before)
	c.startWatch(ownershipRecordKind)
	c.watchConfigAndTargets()
}

// predecessor is what is known of the leader that this instance replaces.
func (c *controlLoop) predecessor() rangelease.Predecessor {
	heard := socket.BootTime() - c.leaderOutstandingAt
	if !c.leaderExited || heard > outstandingHorizon {
		return rangelease.Predecessor{}
	}
	return rangelease.Predecessor{Ended: true, Leases: c.leaderOutstanding}
}

// stepDown ends the lead of this instance.
func (c *controlLoop) stepDown(why string) {
	if c.leadership == nil {
		return
	}
	c.log.Warn().Str("event", "leader.stepped_down").Uint64("term", c.term).Str("reason", why).Send()
	c.leadership.close()
	c.leadership = nil
	c.isLeader.Store(false)
	c.elector.ReportDeposed(socket.BootTime())
}

// applyRecord takes the record as the store has it.
func (c *controlLoop) applyRecord(sent time.Duration, r *rangelease.Record, version store.Version) {
	c.recordWasRead = true
	if r == nil || version < c.recordVersion {
		return
	}
	if c.leadership != nil && r.Term == c.leadership.granter.Term() && r.Leader == c.self {
		c.leadership.granter.ReportTermConfirmed(sent)
		c.record, c.recordVersion = r, max(c.recordVersion, version)
		return
	}
	if version == c.recordVersion {
		return
	}
	if r.Leader == c.self && r.Term > c.term && c.leadership == nil {
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
	c.followLeader(r)
}

// followLeader follows another leader than the one so far.
func (c *controlLoop) followLeader(r *rangelease.Record) {
	c.record, c.term = r, max(c.term, r.Term)
	if c.leadership != nil {
		c.leadership.announceLeader(leaderInfo{Term: r.Term, Leader: r.Leader})
		c.stepDown("another instance leads")
	}
	c.elector.ReportLeaderChange(socket.BootTime())
	c.lastUpdateAt, c.leaderStoreAnswerAt, c.leaderRefused, c.leaderStoreUnreachable = 0, 0, false, false
	c.leaderExited, c.leaderOutstandingAt = false, 0
	c.log.Info().Str("event", "leader.seen").Str("leader", r.Leader.ID).Uint64("term", r.Term).Send()
	c.connectToLeader()
}
