package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/boragegate/boragegate/idempotency"
	"github.com/boragegate/boragegate/internal/route"
)

// tenurePollInterval is the interval in which authority and records are looked for.
const tenurePollInterval = 20 * time.Millisecond

// exportWindow is the time after its last request within which an instance hands
// over the records of a partition. A tenure that could not take over records
// runs nothing for the longer TakeoverTimeout. So between the end of one tenure and
// the hand-over of its records no third instance can have run requests that the
// records do not contain, even if nobody noticed its tenure.
func (c Config) exportWindow() time.Duration { return c.TakeoverTimeout * 3 / 5 }

// targetPartition names a partition at a target.
type targetPartition struct {
	target    string
	partition int
}

// tenureState is what is known of a partition that this instance is in front of.
type tenureState struct {
	tenure     idempotency.Tenure
	observedAt time.Time
	// exclusiveSince is the time since which no other instance can have run requests.
	exclusiveSince time.Time
	previousOwner  *previousOwner // nil if there are no records to take over
	ready          bool           // the log can judge requests
}

// previousOwner is where the records of a partition were before.
type previousOwner struct {
	target *route.Target
	tenure idempotency.Tenure
}

// tenures follows which partitions this instance answers for. The goroutine of
// Run makes all changes; requests read under the mutex.
type tenures struct {
	gateway      *Gateway
	lastSnapshot *route.Snapshot // used by Run only

	mu     sync.Mutex
	states map[targetPartition]*tenureState
}

// isReady reports whether requests that must not be repeated can be judged
// under the tenure.
func (t *tenures) isReady(target string, partition int, tenure idempotency.Tenure) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[targetPartition{target, partition}]
	return s != nil && s.tenure == tenure && s.ready
}

// Run follows the route snapshots until the context ends. Without it, requests
// that must not be repeated are refused.
func (g *Gateway) Run(ctx context.Context) error {
	for {
		snapshot, changed := g.cfg.Routes.Watch()
		g.tenures.update(snapshot)
		open := g.tenures.advance(ctx)
		var poll <-chan time.Time
		if open {
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

// update starts the tenures of a new snapshot and drops those that have ended.
func (t *tenures) update(snapshot *route.Snapshot) {
	if snapshot == t.lastSnapshot {
		return
	}
	next := make(map[targetPartition]*tenureState)
	for name, s := range snapshot.Services {
		if len(s.NotRepeatable) == 0 || s.Assignment == nil {
			continue
		}
		var before *route.Service
		if t.lastSnapshot != nil {
			before = t.lastSnapshot.Services[name]
		}
		for p := range s.Assignment.Owner {
			t.updatePartition(next, s, before, p)
		}
	}
	t.lastSnapshot = snapshot
	t.mu.Lock()
	t.states = next
	t.mu.Unlock()
}

func (t *tenures) updatePartition(next map[targetPartition]*tenureState, s, before *route.Service, p int) {
	d := ownerOfPartition(s, p)
	if d.target == nil || !d.target.Local {
		return
	}
	at := targetPartition{d.target.Row.ID(), p}
	if old := t.states[at]; old != nil && old.tenure == d.tenure() {
		next[at] = old
		return
	}
	now := t.gateway.clock.Now()
	state := &tenureState{tenure: d.tenure(), observedAt: now, exclusiveSince: now}
	if before != nil {
		if was := ownerOfPartition(before, p); was.target != nil {
			state.previousOwner = &previousOwner{was.target, was.tenure()}
		}
	}
	t.gateway.targets.ensure(d.target)
	next[at] = state
}

// advance takes over records and looks for the authority to run. It reports
// whether there is more to do later.
func (t *tenures) advance(ctx context.Context) bool {
	open := false
	imports := make(map[targetPartition]*tenureState)
	for at, s := range t.states {
		if s.ready {
			continue
		}
		open = true
		now := t.gateway.clock.Now()
		mayRun := t.gateway.cfg.Authority.MayRun(at.target, s.tenure.Term, at.partition, s.tenure.Epoch)
		if !mayRun {
			s.exclusiveSince = now // another instance may still run requests
		}
		switch waited := now.Sub(s.observedAt) >= t.gateway.cfg.TakeoverTimeout; {
		case !waited && s.previousOwner != nil:
			imports[at] = s
		case waited && mayRun:
			t.openLog(at, s, func(l *idempotency.Log) { l.StartTenure(at.partition, s.tenure, s.exclusiveSince) })
		}
	}
	t.importRecords(ctx, imports)
	return open
}

// openLog lets the log of a partition be used once it is filled.
func (t *tenures) openLog(at targetPartition, s *tenureState, fill func(*idempotency.Log)) {
	v, ok := t.gateway.targets.m.Load(at.target)
	if !ok {
		return
	}
	fill(v.(*target).log)
	t.mu.Lock()
	s.ready = true
	t.mu.Unlock()
}
