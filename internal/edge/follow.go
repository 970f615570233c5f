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
	// pollWait is the longest wait of one poll. A connection that went silent is
	// noticed soon after it, well within the time in which a change must be in force.
	pollWait = 800 * time.Millisecond
	// changesPollWait is that of instances that do not lead, for configuration and
	// targets: many of them may follow these at the same time.
	changesPollWait = 2 * time.Second
	// pollPause is the time after a poll with changes in which others gather.
	pollPause = 30 * time.Millisecond
	// changesPollPause is that of instances that do not lead.
	changesPollPause = 150 * time.Millisecond
	// storeRetry is the time between calls while the store does not answer.
	storeRetry = 300 * time.Millisecond
	// probersPerRetry is the number of followers that may try the store in each
	// storeRetry while it does not answer; more try less often.
	probersPerRetry = 16
)

// startFollow follows a kind of objects in the store, if it is not followed yet.
func (c *control) startFollow(kind string) {
	if c.follows[kind] != nil {
		return
	}
	ctx, cancel := context.WithCancel(c.t.Context(context.Background())) //nolint:gosec // kept in follows
	c.follows[kind] = cancel
	from := map[string]store.Version{
		ownershipKind: c.recordVersion, c.configKind(): c.configVersion, c.platform.TargetKind(): c.targets.version,
	}[kind]
	c.t.Go(func() error { c.follow(ctx, kind, from); return nil })
}

// followChanges follows what operators and targets write.
func (c *control) followChanges() {
	c.startFollow(c.configKind())
	c.startFollow(c.platform.TargetKind())
}

func (c *control) stopFollow(kind string) {
	if cancel := c.follows[kind]; cancel != nil {
		cancel()
		delete(c.follows, kind)
	}
}

// follow lists and polls until the context ends. It runs on its own goroutine.
func (c *control) follow(ctx context.Context, kind string, at store.Version) {
	for ctx.Err() == nil {
		sent := socket.BootTime()
		if at == 0 {
			objects, version, err := c.store.List(ctx, kind)
			if err != nil {
				c.followFailed(ctx, kind, err)
				continue
			}
			at = version
			c.followed(ctx, func(now time.Duration) { c.listed(now, sent, kind, objects, version) })
			continue
		}
		waitTime, pause := pollWait, pollPause
		if kind != ownershipKind && !c.leading.Load() {
			waitTime, pause = changesPollWait, changesPollPause
		}
		events, version, err := c.store.Poll(ctx, kind, at, waitTime)
		switch {
		case errors.Is(err, store.ErrTooOld):
			at = 0
			c.post(func() {
				c.log.Info().Str("event", "store.history_gone").Str("kind", kind).Uint64("store_version", uint64(at)).Send()
			})
		case err != nil:
			c.followFailed(ctx, kind, err)
		default:
			at = version
			c.followed(ctx, func(now time.Duration) { c.polled(now, sent, kind, events, version) })
			if len(events) > 0 {
				wait.For(pause, ctx.Done())
			}
		}
	}
}

// followed posts what an answer of the store changes, unless its kind is no longer followed.
func (c *control) followed(ctx context.Context, take func(now time.Duration)) {
	c.postUrgent(func() {
		now := socket.BootTime()
		c.storeAnswered(now)
		if ctx.Err() == nil {
			take(now)
		}
	})
}

// followFailed waits until the store may be tried again. Instances that follow the
// record of ownership try only that one; the other kinds wait for its answer.
func (c *control) followFailed(ctx context.Context, kind string, err error) {
	if ctx.Err() != nil {
		return
	}
	back := make(chan (<-chan struct{}), 1)
	probe := kind == ownershipKind
	c.postUrgent(func() {
		c.storeLost(socket.BootTime(), err)
		if c.follows[ownershipKind] == nil {
			back <- nil
			return
		}
		back <- c.storeBack
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
		wait.For(c.retryPause(), ctx.Done())
		return
	}
	select {
	case <-answered:
	case <-ctx.Done():
	}
}

// retryPause is the time until the store is tried again. It may be called on any goroutine.
func (c *control) retryPause() time.Duration {
	n := c.shared.instances.Load()
	if c.leading.Load() || n <= probersPerRetry {
		return storeRetry
	}
	pause := storeRetry * time.Duration(n) / probersPerRetry
	return pause/2 + rand.N(pause) //nolint:gosec // not a secret
}

// listed takes all objects of a kind.
func (c *control) listed(now, sent time.Duration, kind string, objects []store.Object, version store.Version) {
	switch kind {
	case ownershipKind:
		c.ownershipSeen(sent, objects)
		c.elect(now) // the record allows a take-over
	case c.configKind():
		for _, o := range objects {
			c.configSeen(o)
		}
	default:
		c.targetsListed(now, objects, version)
	}
}

// ownershipSeen looks for the record among the objects.
func (c *control) ownershipSeen(sent time.Duration, objects []store.Object) {
	for _, o := range objects {
		if o.Name != ownershipName {
			continue
		}
		r, err := rangelease.DecodeRecord(o.Value)
		if err != nil {
			c.log.Error().Str("event", "ownership.unreadable").Err(err).Send()
			continue
		}
		c.recordSeen(sent, r, o.Version)
		return
	}
	c.recordKnown = true
}

// polled takes the changes of a kind.
func (c *control) polled(now, sent time.Duration, kind string, events []store.Event, version store.Version) {
	switch kind {
	case ownershipKind:
		if len(events) == 0 {
			if c.lead != nil {
				c.lead.granter.ReportTermConfirmed(sent)
			}
			return
		}
		// Each event has the whole record; only the newest counts.
		if e := events[len(events)-1]; e.Type == store.Put {
			c.ownershipSeen(sent, []store.Object{e.Object})
		}
	case c.configKind():
		for _, e := range events {
			if e.Type == store.Put {
				c.configSeen(e.Object)
			}
		}
	default:
		c.targetsPolled(now, events, version)
	}
}

func (c *control) targetsListed(now time.Duration, objects []store.Object, version store.Version) {
	if version < c.targets.version {
		return
	}
	list := &targetNews{Version: version, Whole: true, Put: map[string]routing.Target{}}
	for _, o := range objects {
		if t, ok := c.decodeTarget(o); ok {
			list.Put[o.Name] = t
		}
	}
	c.targetsChanged(now, c.targets.apply(now, list))
}

func (c *control) targetsPolled(now time.Duration, events []store.Event, version store.Version) {
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
	changes := &targetNews{Version: version, Put: map[string]routing.Target{}}
	for name, t := range last {
		if t == nil {
			changes.Deleted = append(changes.Deleted, name)
		} else {
			changes.Put[name] = *t
		}
	}
	c.targetsChanged(now, c.targets.apply(now, changes))
}

func (c *control) decodeTarget(o store.Object) (routing.Target, bool) {
	t, err := c.platform.DecodeTarget(o)
	if err != nil {
		c.log.Warn().Str("event", "target.unreadable").Str("target", o.Name).Uint64("store_version", uint64(o.Version)).Err(err).Send()
		return t, false
	}
	return t, true
}

// writerMark names one write of the record.
func writerMark(r *rangelease.Record) string {
	return r.Leader.ID + "." + strconv.FormatInt(r.Leader.Incarnation, 36) + "." + strconv.FormatUint(r.Term, 10)
}
