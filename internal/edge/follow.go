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
	// pollTimeout is the longest wait of one poll. A connection that went silent is
	// noticed soon after it, well within the time in which a change must be in force.
	pollTimeout = 800 * time.Millisecond
	// followerPollTimeout is that of instances that do not lead, for configuration and
	// targets: many of them may follow these at the same time.
	followerPollTimeout = 2 * time.Second
	// pollPause is the time after a poll with changes in which others gather.
	pollPause = 30 * time.Millisecond
	// followerPollPause is that of instances that do not lead.
	followerPollPause = 150 * time.Millisecond
	// storeRetryInterval is the time between calls while the store does not answer.
	storeRetryInterval = 300 * time.Millisecond
	// probersPerRetry is the number of followers that may try the store in each
	// storeRetryInterval while it does not answer; more try less often.
	probersPerRetry = 16
)

// startWatch follows a kind of objects in the store, if it is not followed yet.
func (c *controlLoop) startWatch(kind string) {
	if c.watches[kind] != nil {
		return
	}
	ctx, cancel := context.WithCancel(c.t.Context(context.Background())) //nolint:gosec // kept in follows
	c.watches[kind] = cancel
	from := map[string]store.Version{
		ownershipRecordKind: c.recordVersion, c.configKind(): c.configVersion, c.platform.TargetKind(): c.targets.version,
	}[kind]
	c.t.Go(func() error { c.watch(ctx, kind, from); return nil })
}

// watchConfigAndTargets follows what operators and targets write.
func (c *controlLoop) watchConfigAndTargets() {
	c.startWatch(c.configKind())
	c.startWatch(c.platform.TargetKind())
}

func (c *controlLoop) stopWatch(kind string) {
	if cancel := c.watches[kind]; cancel != nil {
		cancel()
		delete(c.watches, kind)
	}
}

// watch lists and polls until the context ends. It runs on its own goroutine.
func (c *controlLoop) watch(ctx context.Context, kind string, at store.Version) {
	for ctx.Err() == nil {
		sent := socket.BootTime()
		if at == 0 {
			objects, version, err := c.store.List(ctx, kind)
			if err != nil {
				c.awaitWatchRetry(ctx, kind, err)
				continue
			}
			at = version
			c.postWatchResult(ctx, func(now time.Duration) { c.handleList(now, sent, kind, objects, version) })
			continue
		}
		waitTime, pause := pollTimeout, pollPause
		if kind != ownershipRecordKind && !c.isLeader.Load() {
			waitTime, pause = followerPollTimeout, followerPollPause
		}
		events, version, err := c.store.Poll(ctx, kind, at, waitTime)
		switch {
		case errors.Is(err, store.ErrTooOld):
			at = 0
			c.post(func() {
				c.log.Info().Str("event", "store.history_gone").Str("kind", kind).Uint64("store_version", uint64(at)).Send()
			})
		case err != nil:
			c.awaitWatchRetry(ctx, kind, err)
		default:
			at = version
			c.postWatchResult(ctx, func(now time.Duration) { c.handlePoll(now, sent, kind, events, version) })
			if len(events) > 0 {
				wait.For(pause, ctx.Done())
			}
		}
	}
}

// postWatchResult posts what an answer of the store changes, unless its kind is no longer followed.
func (c *controlLoop) postWatchResult(ctx context.Context, take func(now time.Duration)) {
	c.postUrgent(func() {
		now := socket.BootTime()
		c.recordStoreAnswer(now)
		if ctx.Err() == nil {
			take(now)
		}
	})
}

// awaitWatchRetry waits until the store may be tried again. Instances that follow the
// record of ownership try only that one; the other kinds wait for its answer.
func (c *controlLoop) awaitWatchRetry(ctx context.Context, kind string, err error) {
	if ctx.Err() != nil {
		return
	}
	back := make(chan (<-chan struct{}), 1)
	probe := kind == ownershipRecordKind
	c.postUrgent(func() {
		c.recordStoreFailure(socket.BootTime(), err)
		if c.watches[ownershipRecordKind] == nil {
			back <- nil
			return
		}
		back <- c.storeRecovered
	})
	var answered <-chan struct{}
	if !probe {
		select {
		case answered = <-back:
		case <-ctx.Done():
			return
		}
		probe = answered == nil
	}
	if probe {
		wait.For(c.storeRetryDelay(), ctx.Done())
		return
	}
	select {
	case <-answered:
	case <-ctx.Done():
	}
}

// storeRetryDelay is the time until the store is tried again. It may be called on any goroutine.
func (c *controlLoop) storeRetryDelay() time.Duration {
	n := c.shared.instances.Load()
	if c.isLeader.Load() || n <= probersPerRetry {
		return storeRetryInterval
	}
	pause := storeRetryInterval * time.Duration(n) / probersPerRetry
	return pause/2 + rand.N(pause) //nolint:gosec // not a secret
}

// handleList takes all objects of a kind.
func (c *controlLoop) handleList(now, sent time.Duration, kind string, objects []store.Object, version store.Version) {
	switch kind {
	case ownershipRecordKind:
		c.applyOwnershipObjects(sent, objects)
		c.runElection(now) // the record allows a take-over
	case c.configKind():
		for _, o := range objects {
			c.applyConfig(o)
		}
	default:
		c.handleTargetList(now, objects, version)
	}
}

// applyOwnershipObjects looks for the record among the objects.
func (c *controlLoop) applyOwnershipObjects(sent time.Duration, objects []store.Object) {
	for _, o := range objects {
		if o.Name != ownershipRecordName {
			continue
		}
		r, err := rangelease.DecodeRecord(o.Value)
		if err != nil {
			c.log.Error().Str("event", "ownership.unreadable").Err(err).Send()
			continue
		}
		c.applyRecord(sent, r, o.Version)
		return
	}
	c.recordWasRead = true
}

// handlePoll takes the changes of a kind.
func (c *controlLoop) handlePoll(now, sent time.Duration, kind string, events []store.Event, version store.Version) {
	switch kind {
	case ownershipRecordKind:
		if len(events) == 0 {
			if c.leadership != nil {
				c.leadership.granter.ReportTermConfirmed(sent)
			}
			return
		}
		// Each event has the whole record; only the newest counts.
		if e := events[len(events)-1]; e.Type == store.Put {
			c.applyOwnershipObjects(sent, []store.Object{e.Object})
		}
	case c.configKind():
		for _, e := range events {
			if e.Type == store.Put {
				c.applyConfig(e.Object)
			}
		}
	default:
		c.handleTargetEvents(now, events, version)
	}
}

func (c *controlLoop) handleTargetList(now time.Duration, objects []store.Object, version store.Version) {
	if version < c.targets.version {
		return
	}
	list := &targetUpdate{Version: version, Full: true, Put: map[string]routing.Target{}}
	for _, o := range objects {
		if t, ok := c.decodeTarget(o); ok {
			list.Put[o.Name] = t
		}
	}
	c.applyTargetChange(now, c.targets.apply(now, list))
}

func (c *controlLoop) handleTargetEvents(now time.Duration, events []store.Event, version store.Version) {
	if version < c.targets.version {
		return
	}
	last := map[string]*routing.Target{} // by name; nil where the entry is gone
	for _, e := range events {
		last[e.Object.Name] = nil
		if e.Type != store.Put {
			continue
		}
		if t, ok := c.decodeTarget(e.Object); ok {
			last[e.Object.Name] = &t
		}
	}
	changes := &targetUpdate{Version: version, Put: map[string]routing.Target{}}
	for name, t := range last {
		if t == nil {
			changes.Deleted = append(changes.Deleted, name)
		} else {
			changes.Put[name] = *t
		}
	}
	c.applyTargetChange(now, c.targets.apply(now, changes))
}

func (c *controlLoop) decodeTarget(o store.Object) (routing.Target, bool) {
	t, err := c.platform.DecodeTarget(o)
	if err != nil {
		c.log.Warn().Str("event", "target.unreadable").Str("target", o.Name).Uint64("store_version", uint64(o.Version)).Err(err).Send()
		return t, false
	}
	return t, true
}

// writerID names one write of the record.
func writerID(r *rangelease.Record) string {
	return r.Leader.ID + "." + strconv.FormatInt(r.Leader.Incarnation, 36) + "." + strconv.FormatUint(r.Term, 10)
}
