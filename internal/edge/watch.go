package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/internal/wait"
	"github.com/boragegate/boragegate/ownership/rangelease"
	"github.com/boragegate/boragegate/routing"
	"github.com/boragegate/boragegate/store"
)

const (
	// pollTimeout is the longest wait of a poll. It is short, so that a connection that has
	// gone silent is detected well within the time in which a change must be active.
	pollTimeout = 800 * time.Millisecond
	// followerPollTimeout is the longest wait of a poll for configuration or targets by an
	// instance that isn't the leader: many of them may watch these at the same time.
	followerPollTimeout = 2 * time.Second
	// pollPause is the delay of the next poll after one that returned changes, so that the
	// changes made meanwhile are returned together.
	pollPause = 30 * time.Millisecond
	// followerPollPause is that delay for polls with followerPollTimeout.
	followerPollPause = 150 * time.Millisecond
	// confirmingPollTimeout is the wait of a poll that only confirms that there are no changes.
	confirmingPollTimeout = time.Millisecond
	// storeRetryInterval is the time between calls while the store doesn't respond.
	storeRetryInterval = 300 * time.Millisecond
	// probersPerRetry is the number of instances that may call the store in each
	// storeRetryInterval while it doesn't respond. If there are more, each follower calls
	// less often.
	probersPerRetry = 16
)

// startWatch watches a kind of objects in the store unless it is being watched already.
func (c *controlLoop) startWatch(kind string) {
	if c.watches[kind] != nil {
		return
	}
	ctx, cancel := context.WithCancel(c.t.Context(context.Background())) //nolint:gosec // kept in watches
	c.watches[kind] = cancel
	configVersion := c.configVersion
	if c.configEra != c.era {
		configVersion = 0 // versions of different eras are not comparable
	}
	from := map[string]store.Version{
		ownershipRecordKind: c.recordVersion, c.configKind(): configVersion, c.platform.TargetKind(): c.targets.version,
		c.evacuations.kind: c.evacuations.version,
	}[kind]
	c.t.Go(func() error { c.watch(ctx, kind, from); return nil })
	if kind == c.configKind() {
		c.logConfigSource("store")
	}
}

// logConfigSource logs that this instance begins to get the configuration from the store or from
// the leader.
func (c *controlLoop) logConfigSource(source string) {
	c.log.Info().Str("event", "config.source").Str("source", source).Str("leader", c.leaderID()).Uint64("term", c.term).
		Uint64("store_version", uint64(c.configVersion)).Send()
}

// watchConfigAndTargets watches the objects that operators and targets write, including evacuations if there are any.
func (c *controlLoop) watchConfigAndTargets() {
	c.startWatch(c.configKind())
	c.startWatch(c.platform.TargetKind())
	if c.evacuations.kind != "" {
		c.startWatch(c.evacuations.kind)
	}
}

func (c *controlLoop) stopWatch(kind string) {
	if cancel := c.watches[kind]; cancel != nil {
		cancel()
		delete(c.watches, kind)
		if kind == c.configKind() {
			c.logConfigSource("leader")
		}
	}
}

// watch lists the objects of a kind and polls for changes until the context ends. It runs
// in its own goroutine.
func (c *controlLoop) watch(ctx context.Context, kind string, since store.Version) {
	// unconfirmed is set if it is not known whether the state read last is the newest.
	unconfirmed := since > 0
	for ctx.Err() == nil {
		sentAt := socket.BootTime()
		if since == 0 {
			objects, version, err := c.store.List(ctx, kind)
			if err != nil {
				c.awaitWatchRetry(ctx, kind, err)
				continue
			}
			since, unconfirmed = version, false
			c.postWatchResult(ctx, func(now time.Duration) {
				c.handleList(now, sentAt, kind, objects, version)
				c.confirmRead(kind, sentAt)
			})
			continue
		}
		waitTime, pause := pollTimeout, pollPause
		if kind != ownershipRecordKind && !c.isLeader.Load() {
			waitTime, pause = followerPollTimeout, followerPollPause
		} else if unconfirmed && kind == c.configKind() {
			waitTime = confirmingPollTimeout // the followers rely on the leader's confirmation
		}
		events, version, err := c.store.Poll(ctx, kind, since, waitTime)
		switch {
		case errors.Is(err, store.ErrTooOld):
			since = 0
			c.post(func() {
				c.log.Info().Str("event", "store.history_gone").Str("kind", kind).Uint64("store_version", uint64(since)).Send()
			})
		case err != nil:
			c.awaitWatchRetry(ctx, kind, err)
		default:
			since, unconfirmed = version, len(events) > 0
			asOf := sentAt
			if len(events) == 0 && socket.BootTime()-sentAt >= waitTime {
				asOf += waitTime // the store answered when the wait was over
			}
			c.postWatchResult(ctx, func(now time.Duration) {
				c.handlePoll(now, sentAt, kind, events, version)
				c.confirmRead(kind, asOf)
			})
			if len(events) > 0 {
				wait.For(pause, ctx.Done())
			}
		}
	}
}

// confirmRead records that the configuration or the evacuations, if the kind of objects is one of
// them, were the newest at the given time.
func (c *controlLoop) confirmRead(kind string, asOf time.Duration) {
	switch kind {
	case c.configKind():
		c.configConfirmedAt = max(c.configConfirmedAt, asOf)
	case c.evacuations.kind:
		c.evacuations.schedule.Confirm(asOf)
	}
}

// postWatchResult posts a response of the store. The control loop records that the store
// has responded and, if the kind is still being watched, applies the changes.
func (c *controlLoop) postWatchResult(ctx context.Context, apply func(now time.Duration)) {
	c.postUrgent(func() {
		now := socket.BootTime()
		c.recordStoreAnswer(now)
		if ctx.Err() == nil {
			apply(now)
		}
	})
}

// awaitWatchRetry waits until the store may be called again. While the ownership record is
// being watched, only that watch probes the store, and the watches of other kinds wait
// until it has succeeded.
func (c *controlLoop) awaitWatchRetry(ctx context.Context, kind string, err error) {
	if ctx.Err() != nil {
		return
	}
	// Receives storeRecovered, or nil if the ownership record isn't being watched.
	recoveredResult := make(chan (<-chan struct{}), 1)
	shouldProbe := kind == ownershipRecordKind
	c.postUrgent(func() {
		c.recordStoreFailure(ctx, socket.BootTime(), err)
		if c.watches[ownershipRecordKind] == nil {
			recoveredResult <- nil
			return
		}
		recoveredResult <- c.storeRecovered
	})
	var recovered <-chan struct{}
	if !shouldProbe {
		select {
		case recovered = <-recoveredResult:
		case <-ctx.Done():
			return
		}
		shouldProbe = recovered == nil
	}
	if shouldProbe {
		wait.For(c.storeRetryDelay(), ctx.Done())
		return
	}
	select {
	case <-recovered:
	case <-ctx.Done():
	}
}

// storeRetryDelay returns the delay until the next call to a store that doesn't respond.
// It may be called from any goroutine.
func (c *controlLoop) storeRetryDelay() time.Duration {
	n := c.shared.instances.Load()
	if c.isLeader.Load() || n <= probersPerRetry {
		return storeRetryInterval
	}
	delay := storeRetryInterval * time.Duration(n) / probersPerRetry
	return delay/2 + rand.N(delay) //nolint:gosec // not a secret
}

// handleList applies a list of all objects of a kind.
func (c *controlLoop) handleList(now, sentAt time.Duration, kind string, objects []store.Object, version store.Version) {
	switch kind {
	case ownershipRecordKind:
		c.applyOwnershipObjects(sentAt, objects)
		c.runElection(now) // a takeover is possible now that the record is known
	case c.configKind():
		for _, o := range objects {
			c.applyConfig(o, c.era)
		}
	case c.evacuations.kind:
		c.handleEvacuationList(now, objects, version)
	default:
		c.handleTargetList(now, objects, version)
	}
}

// applyOwnershipObjects applies the ownership record if it is among the objects.
func (c *controlLoop) applyOwnershipObjects(sentAt time.Duration, objects []store.Object) {
	for _, o := range objects {
		if o.Name != ownershipRecordName {
			continue
		}
		r, err := rangelease.DecodeRecord(o.Value)
		if err != nil {
			c.log.Error().Str("event", "ownership.unreadable").Err(err).Send()
			continue
		}
		c.applyRecord(sentAt, r, o.Version)
		return
	}
	c.recordWasRead = true
}

// handlePoll applies the changes of a kind. A poll of the ownership record without changes
// confirms the term of this instance if it is the leader.
func (c *controlLoop) handlePoll(now, sentAt time.Duration, kind string, events []store.Event, version store.Version) {
	switch kind {
	case ownershipRecordKind:
		if len(events) == 0 {
			if c.leadership != nil && !c.leadership.replacing {
				c.leadership.grantor.ReportTermConfirmed(sentAt)
			}
			return
		}
		// Each event has the whole record, so only the newest matters.
		if e := events[len(events)-1]; e.Type == store.EventPut {
			c.applyOwnershipObjects(sentAt, []store.Object{e.Object})
		}
	case c.configKind():
		for _, e := range events {
			if e.Type == store.EventPut {
				c.applyConfig(e.Object, c.era)
			}
		}
	case c.evacuations.kind:
		c.handleEvacuationEvents(now, events, version)
	default:
		c.handleTargetEvents(now, events, version)
	}
}

func (c *controlLoop) handleTargetList(now time.Duration, objects []store.Object, version store.Version) {
	if version < c.targets.version {
		return
	}
	c.targets.beginList(version)
	update := &targetUpdate{Version: version, Era: c.era, Full: true, Put: map[string]routing.Target{}}
	for _, o := range objects {
		if t, ok := c.decodeListedTarget(o); ok {
			update.Put[o.Name] = t
		}
	}
	c.applyStoreTargets(now, update)
}

func (c *controlLoop) handleTargetEvents(now time.Duration, events []store.Event, version store.Version) {
	if version < c.targets.version {
		return
	}
	latest := map[string]*routing.Target{} // by name; nil if the entry was deleted or cannot be decoded
	for _, e := range events {
		latest[e.Object.Name] = nil
		if e.Type != store.EventPut {
			continue
		}
		if t, ok := c.decodeListedTarget(e.Object); ok {
			latest[e.Object.Name] = &t
		}
	}
	update := &targetUpdate{Version: version, Era: c.era, Put: map[string]routing.Target{}}
	for name, t := range latest {
		if t == nil {
			update.Deleted = append(update.Deleted, name)
		} else {
			update.Put[name] = *t
		}
	}
	c.applyStoreTargets(now, update)
}

// applyStoreTargets applies a full list of targets or changes of it, as read from the store.
// The leader passes them on to its followers.
func (c *controlLoop) applyStoreTargets(now time.Duration, update *targetUpdate) {
	c.activateTargetChange(now, c.targets.apply(now, update))
	c.publishTargets(now, c.targets.followerUpdate(now, update))
}

func (c *controlLoop) decodeTarget(o store.Object) (routing.Target, bool) {
	t, err := c.platform.DecodeTarget(o)
	if err != nil {
		c.log.Warn().Str("event", "target.unreadable").Str("target", o.Name).Uint64("store_version", uint64(o.Version)).Err(err).Send()
		return t, false
	}
	return t, true
}

// writerID identifies the writer of the record: its leader, the leader's incarnation and
// the term.
func writerID(r *rangelease.Record) string {
	return r.Leader.ID + "." + strconv.FormatInt(r.Leader.Incarnation, 36) + "." + strconv.FormatUint(r.Term, 10)
}
