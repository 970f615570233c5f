package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/boragegate/boragegate/idempotency"
	"github.com/boragegate/boragegate/internal/route"
)

// tenurePollInterval is the interval at which Run checks, for tenures that are not
// ready, whether this instance has the authority and whether the idempotency
// records can be taken over.
const tenurePollInterval = 20 * time.Millisecond

// exportWindow returns how long after the last request of a partition its
// records can be exported. Within this time, no third instance can have run
// requests that are missing from the records, not even under a tenure that no
// snapshot has shown: a tenure that could not take over records runs no requests
// for TakeoverTimeout, which is longer.
func (c Config) exportWindow() time.Duration { return c.TakeoverTimeout * 3 / 5 }

// targetPartition identifies a partition at a target.
type targetPartition struct {
	target    string
	partition int
}

// tenureState is the state of a partition at a target that this instance
// controls, under the current tenure.
type tenureState struct {
	tenure     idempotency.Tenure
	observedAt time.Time // when a snapshot first showed the tenure
	// exclusiveSince is the time since which no other instance can have run
	// requests.
	exclusiveSince time.Time
	previousOwner  *previousOwner // nil if there are no records to take over
	ready          bool           // the idempotency log can tell which requests were run
}

// previousOwner identifies the target and tenure that had the records of a
// partition before.
type previousOwner struct {
	target *route.Target
	tenure idempotency.Tenure
}

// tenures tracks the partitions whose idempotency records this instance keeps.
// Only the goroutine of Run changes it; requests read it under the mutex.
type tenures struct {
	gateway      *Gateway
	lastSnapshot *route.Snapshot // used by Run only

	mu     sync.Mutex
	states map[targetPartition]*tenureState
}

// isReady reports whether the records of the partition are complete under the
// tenure, so that requests with an idempotency key can be served.
func (t *tenures) isReady(target string, partition int, tenure idempotency.Tenure) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[targetPartition{target, partition}]
	return s != nil && s.tenure == tenure && s.ready
}

// Run watches the route snapshots and takes over idempotency records until the
// context ends, and returns the context's error. Unless Run is running, requests
// with an idempotency key are rejected.
func (g *Gateway) Run(ctx context.Context) error {
	for {
		snapshot, changed := g.cfg.Routes.Watch()
		g.tenures.update(snapshot)
		pending := g.tenures.advance(ctx)
		var poll <-chan time.Time
		if pending {
			poll = g.clock.After(tenurePollInterval)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-poll:
		}
	}
}

// update applies a new snapshot: it adds the tenures that have begun and removes
// those that have ended.
func (t *tenures) update(snapshot *route.Snapshot) {
	if snapshot == t.lastSnapshot {
		return
	}
	next := make(map[targetPartition]*tenureState)
	for name, s := range snapshot.Services {
		if len(s.NotRepeatable) == 0 || s.Assignment == nil {
			continue
		}
		var previous *route.Service
		if t.lastSnapshot != nil {
			previous = t.lastSnapshot.Services[name]
		}
		for p := range s.Assignment.Owner {
			t.updatePartition(next, s, previous, p)
		}
	}
	t.lastSnapshot = snapshot
	t.mu.Lock()
	t.states = next
	t.mu.Unlock()
}

func (t *tenures) updatePartition(next map[targetPartition]*tenureState, s, previous *route.Service, p int) {
	d := ownerOfPartition(s, p)
	if d.target == nil || !d.target.Local {
		return
	}
	tp := targetPartition{d.target.Row.ID(), p}
	if old := t.states[tp]; old != nil && old.tenure == d.tenure() {
		next[tp] = old
		return
	}
	now := t.gateway.clock.Now()
	state := &tenureState{tenure: d.tenure(), observedAt: now, exclusiveSince: now}
	if previous != nil {
		if previousDestination := ownerOfPartition(previous, p); previousDestination.target != nil {
			state.previousOwner = &previousOwner{previousDestination.target, previousDestination.tenure()}
		}
	}
	t.gateway.targets.ensure(d.target)
	next[tp] = state
}

// advance takes over records for the tenures that are not ready. Those for which
// TakeoverTimeout has passed start without records as soon as this instance has
// the authority. advance reports whether some were not ready when it began, in
// which case it has to be called again.
func (t *tenures) advance(ctx context.Context) bool {
	pending := false
	imports := make(map[targetPartition]*tenureState)
	for tp, s := range t.states {
		if s.ready {
			continue
		}
		pending = true
		now := t.gateway.clock.Now()
		mayRun := t.gateway.cfg.Authority.MayRun(tp.target, s.tenure.Term, tp.partition, s.tenure.Epoch)
		if !mayRun {
			s.exclusiveSince = now // another instance may still run requests
		}
		switch timedOut := now.Sub(s.observedAt) >= t.gateway.cfg.TakeoverTimeout; {
		case !timedOut && s.previousOwner != nil:
			imports[tp] = s
		case timedOut && mayRun:
			t.makeReady(tp, s, func(l *idempotency.Log) { l.StartTenure(tp.partition, s.tenure, s.exclusiveSince) })
		}
	}
	t.importRecords(ctx, imports)
	return pending
}

// makeReady calls fill, which sets up the partition in the idempotency log of the
// target, and marks the tenure as ready.
func (t *tenures) makeReady(tp targetPartition, s *tenureState, fill func(*idempotency.Log)) {
	v, ok := t.gateway.targets.m.Load(tp.target)
	if !ok {
		return
	}
	fill(v.(*target).idempotencyLog)
	t.mu.Lock()
	s.ready = true
	t.mu.Unlock()
}
