package edge

import (
	"context"
	"errors"
	"time"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/internal/deployment"
	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/ownership/election"
	"github.com/boragegate/boragegate/ownership/rangelease"
	"github.com/boragegate/boragegate/store"
)

// electionView returns the state that the elector bases its decisions on.
func (c *controlLoop) electionView(now time.Duration) election.View {
	v := election.View{
		LeaderHeardAt: c.lastUpdateAt, ConfigConfirmedAt: c.leaderConfigConfirmedAt, LeaderStoreAnswerAt: c.leaderStoreAnswerAt, LeaderRefused: c.leaderRefused, LeaderPresumedEnded: c.leaderPresumedEnded, LeaderStoreUnreachable: c.leaderStoreUnreachable,
		RecordKnown: c.recordWasRead, RecordRestored: c.recordRestored, StoreReachable: c.reachesStore(now),
	}
	if c.link == nil {
		v.LeaderHeardAt = 0
	}
	if c.record != nil {
		v.Leader = c.record.Leader
	}
	return v
}

// runElection carries out the elector's decisions while there is no leader or the leader is
// suspected to have failed, and ends the watches of the store while the leader is healthy.
// If this instance is the leader, it steps down once the store has not confirmed its term
// for too long.
func (c *controlLoop) runElection(now time.Duration) {
	if c.leadership != nil {
		if c.leadership.grantor.TermConfirmationAge(now) > rangelease.DefaultOptions.TermConfirmationTimeout {
			c.stepDown("the store does not answer")
		}
		return
	}
	wasSuspected := c.elector.SuspectsLeader()
	d := c.elector.Tick(now, c.electionView(now))
	if d.LeaderHealthy {
		if wasSuspected {
			c.log.Info().Str("event", "leader.heard").Str("leader", c.leaderID()).Uint64("term", c.term).Send()
		}
		if c.storeFailedSince > 0 {
			c.endOutage(now, "leader") // watches that wait for its end go on
		}
		c.stopWatch(ownershipRecordKind)
		if d.WatchConfig { // this leader has not sent its state, or has itself no recent answer about the configuration
			c.watchConfigAndTargets()
			return
		}
		for kind := range c.watches {
			if kind != c.evacuations.kind || c.evacuations.schedule.IsKnown() {
				c.stopWatch(kind)
			}
		}
		c.watchUnknownEvacuations()
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
	for _, address := range d.QueryAddresses {
		c.t.Go(func() error { c.queryLeader(address); return nil })
	}
	if d.TakeOver && !c.takingOver && !c.stopping {
		c.takeOver()
	}
}

// ageOrUnknown returns the time since at, or -1 ms if at is 0.
func ageOrUnknown(now, at time.Duration) time.Duration {
	if at == 0 {
		return -time.Millisecond
	}
	return now - at
}

// strength returns the instance's capacity to lead, in cores: its CPU limit, 1 if that is
// not set, or less if its network bandwidth is low.
func strength(s *deployment.Settings) float64 {
	v := 1.0
	if s.Cores > 0 {
		v = s.Cores
	}
	if s.LinkMbps > 0 {
		v = min(v, s.LinkMbps/mbpsPerCore)
	}
	return v
}

func (c *controlLoop) leaderID() string {
	if c.record == nil {
		return ""
	}
	return c.record.Leader.ID
}

// takeOver writes the ownership record with the next term and this instance as leader.
func (c *controlLoop) takeOver() {
	next := c.recordForTakeover()
	value, err := next.Encode()
	if err != nil {
		c.log.Error().Str("event", "leader.encode").Err(err).Send()
		return
	}
	c.takingOver = true
	restores := c.restores
	object := store.Object{Kind: ownershipRecordKind, Name: ownershipRecordName, Version: c.recordVersion, Value: value, Writer: writerID(next)}
	c.t.Go(func() error {
		sentAt := socket.BootTime()
		write := c.store.Update
		if object.Version == 0 {
			write = c.store.Create
		}
		ctx := c.t.Context(context.Background())
		stored, err := write(ctx, object)
		c.postUrgent(func() {
			if restores != c.restores { // the write may be lost, and its term is of an earlier era
				c.takingOver = false
				c.elector.ClearSuspicion()
				return
			}
			c.handleTakeOverResult(ctx, sentAt, next, stored, err)
		})
		return nil
	})
}

func (c *controlLoop) handleTakeOverResult(ctx context.Context, sentAt time.Duration, next *rangelease.Record, stored store.Object, err error) {
	c.takingOver = false
	if err != nil {
		c.log.Info().Str("event", "leader.take_over_failed").Uint64("term", next.Term).Err(err).Send()
		c.elector.ClearSuspicion()
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrExists) {
			c.recordStoreFailure(ctx, socket.BootTime(), err)
			return
		}
		c.readRecord(c.t.Context(context.Background()), func() {}) // the record names the leader to follow
		return
	}
	c.recordStoreAnswer(socket.BootTime())
	c.startLeading(sentAt, next, stored.Version)
}

// readRecord reads the ownership record in a goroutine of its own. The control loop then
// applies it and calls onApplied. After a failed or cancelled read, or if another era of the store
// has begun, it does neither.
func (c *controlLoop) readRecord(ctx context.Context, onApplied func()) {
	restores := c.restores
	c.t.Go(func() error {
		sentAt := socket.BootTime()
		object, err := c.store.Get(ctx, ownershipRecordKind, ownershipRecordName)
		c.postUrgent(func() {
			if err != nil {
				c.recordStoreFailure(ctx, socket.BootTime(), err)
				return
			}
			if restores != c.restores {
				return // the response may be of an earlier era
			}
			c.applyOwnershipObjects(sentAt, []store.Object{object})
			onApplied()
		})
		return nil
	})
}

// readStaleRecord learns the leader and the candidates from a read that may be stale. It
// neither permits a takeover nor provides the holders of keys.
func (c *controlLoop) readStaleRecord() {
	ctx := c.t.Context(context.Background())
	c.t.Go(func() error {
		object, err := c.store.GetStale(ctx, ownershipRecordKind, ownershipRecordName)
		if errors.Is(err, store.ErrNotFound) {
			return nil // first start of the deployment
		}
		var r *rangelease.Record
		if err == nil {
			r, err = rangelease.DecodeRecord(object.Value)
		}
		c.post(func() {
			if err != nil {
				c.log.Warn().Str("event", "ownership.not_read").Err(err).Send()
				return
			}
			c.adoptCandidates(r)
			// A stale record is no sign of life from a leader that is already known.
			if r.Leader.ID != c.self.ID && (c.record == nil || r.Term > c.term) {
				c.adoptLeader(r.Term, r.Leader)
			}
		})
		return nil
	})
}

// adoptCandidates takes the candidates and the number of instances from a record until a
// leader provides them.
func (c *controlLoop) adoptCandidates(r *rangelease.Record) {
	if c.lastUpdateAt > 0 || c.leadership != nil || r.Term < c.term {
		return
	}
	c.elector.SetCandidates(r.Candidates)
	c.shared.update(func(b *dispatch.Balancer) { b.AdoptProfiles(socket.BootTime(), r.Profiles) })
	if r.InstanceCount > 0 {
		c.setInstanceCount(r.InstanceCount)
	}
}

// startLeading makes this instance the leader under a record that a call to the store, sent
// at sentAt, has written or returned.
func (c *controlLoop) startLeading(sentAt time.Duration, r *rangelease.Record, version store.Version) {
	if version <= c.recordVersion || c.leadership != nil || c.resigned {
		return
	}
	replaced, known := c.predecessor(socket.BootTime())
	if replaced.ID != "" && replaced.ID != c.self.ID {
		c.t.Go(func() error {
			c.sendLeaderInfo(replaced.Address, leaderInfo{Term: r.Term, Leader: r.Leader})
			return nil
		})
	}
	fromRestored := c.isRecordOutdated()
	c.record, c.recordVersion, c.recordRestored, c.term = r, version, false, r.Term
	if c.link != nil {
		c.link.cancel()
		c.link = nil
	}
	c.elector.ClearSuspicion()
	c.isLeader.Store(true)
	c.leadership = newLeadership(c, sentAt, r, version, known)
	c.leadership.predecessor = replaced
	c.log.Info().Str("event", "leader.became").Uint64("term", r.Term).Bool("holders_unknown", r.HoldersUnknown).Str("predecessor", replaced.ID).
		Bool("predecessor_ended", known.Ended).Dur("earlier_leases_ms", c.leadership.grantor.OutstandingLeases(socket.BootTime(), 0).Earlier).Send()
	if replaced.Address != "" && replaced.ID != c.self.ID { // it is told again until it follows, because it may be too busy to accept a connection now
		c.leadership.lostFollowers[replaced.ID] = lostFollower{address: replaced.Address, notifyUntil: socket.BootTime() + lostFollowerRetention}
	}
	if fromRestored {
		c.leadership.notifyCandidates()
	}
	c.startWatch(ownershipRecordKind)
	c.stopWatch(c.configKind()) // a poll of a follower waits longer than a leader may take to confirm the configuration
	c.watchConfigAndTargets()
}

// stepDown ends the leadership of this instance.
func (c *controlLoop) stepDown(reason string) {
	if c.leadership == nil {
		return
	}
	c.log.Warn().Str("event", "leader.stepped_down").Uint64("term", c.term).Str("reason", reason).Send()
	c.leadership.close()
	c.leadership = nil
	c.isLeader.Store(false)
	c.elector.ReportReplaced(socket.BootTime())
}

// applyRecord applies the ownership record as read from the store by a call that was sent at
// sentAt or later.
func (c *controlLoop) applyRecord(sentAt time.Duration, r *rangelease.Record, version store.Version) {
	c.recordWasRead = true
	if r == nil || version < c.recordVersion {
		return
	}
	if r.Term < rangelease.FirstTerm(c.era) {
		c.applyRestoredRecord(r, version)
		return
	}
	if c.leadership != nil && r.Leader == c.self && (c.leadership.replacing || r.Term > c.leadership.grantor.Term()) {
		return // a write that begins a term of this leader, whose result is handled when it arrives
	}
	c.recordRestored = false
	if c.leadership != nil && r.Term == c.leadership.grantor.Term() && r.Leader == c.self {
		c.leadership.grantor.ReportTermConfirmed(sentAt)
		c.record, c.recordVersion = r, max(c.recordVersion, version)
		return
	}
	if version == c.recordVersion {
		return
	}
	if r.Leader == c.self && r.Term > c.term && c.leadership == nil {
		// The response to the takeover was lost or hasn't arrived yet.
		c.startLeading(sentAt, r, version)
		return
	}
	sameLeader := c.record != nil && c.record.Leader == r.Leader && (c.record.Term == r.Term || c.record.Term < rangelease.FirstTerm(c.era))
	c.record, c.recordVersion = r, version
	c.adoptCandidates(r)
	if sameLeader {
		return // if it has replaced a restored record, its next state update has the new term
	}
	c.followLeader(r)
}

// followLeader follows a leader other than the current one.
func (c *controlLoop) followLeader(r *rangelease.Record) {
	c.record, c.term = r, max(c.term, r.Term)
	if c.leadership != nil {
		c.leadership.announceLeader(leaderInfo{Term: r.Term, Leader: r.Leader})
		c.stepDown("another instance leads")
	}
	c.elector.ReportLeaderChange(socket.BootTime())
	c.lastUpdateAt, c.leaderStoreAnswerAt, c.leaderRefused, c.leaderStoreUnreachable = 0, 0, false, false
	if c.leaderLeases.at > 0 {
		c.previousLeases = c.leaderLeases
	}
	c.leaderPresumedEnded, c.leaderEnded, c.leaderLeases = false, false, announcedLeases{}
	c.log.Info().Str("event", "leader.seen").Str("leader", r.Leader.ID).Uint64("term", r.Term).Send()
	c.connectToLeader()
}
