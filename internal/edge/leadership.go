package edge

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/internal/deployment"
	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/ownership/rangelease"
	"github.com/boragegate/boragegate/placement/keyrange"
	"github.com/boragegate/boragegate/routing"
	"github.com/boragegate/boragegate/store"
)

const (
	// planInterval is the pace at which load is compared.
	planInterval = 150 * time.Millisecond
	// planIntervalPerTarget times the number of targets is the shortest time between two plans:
	// one takes a thirtieth of it.
	planIntervalPerTarget = 200 * time.Microsecond
	// loadLogInterval is the pace of log lines on load while nothing moves.
	loadLogInterval = time.Second
	// releaseTimeout is the time for which a target may finish its work on released keys.
	releaseTimeout = 2500 * time.Millisecond
	// defaultServiceTime is the service time of targets while nothing is known of any.
	defaultServiceTime = time.Second
	// warmUpCapacityFraction is the part of its capacity that a target has while it warms up.
	warmUpCapacityFraction = 0.5
	// initialAssignmentDelay is the time without a new target after which keys are given out for
	// the first time. Targets that start together enter themselves over seconds, and
	// keys that are given to the first of them have to be moved again.
	initialAssignmentDelay = 700 * time.Millisecond
	// suspensionThreshold is the time between two ticks from which the process is taken to
	// have been suspended. Another may lead by then: it takes over after 1.2 s at least.
	suspensionThreshold = 700 * time.Millisecond
	// offeredLoadMinFollowers is the number of followers from which the pressure on targets is
	// told. With 8 instances, each sees enough of a target's load by itself, and the
	// estimate of the capacity is worse than that: koszoru-kapu scale-2 has a worth of
	// 0.65 with it and 0.70 without.
	offeredLoadMinFollowers = 16
	// publishIntervalPerFollower times the number of followers is the shortest time between
	// two news of owners: a write to one takes about a tenth of it.
	publishIntervalPerFollower = 500 * time.Microsecond
)

// leadership is what an instance has and does while it leads. It belongs to the
// control goroutine.
type leadership struct {
	c             *controlLoop
	ctx           context.Context
	cancel        context.CancelFunc
	granter       *rangelease.Granter
	recordVersion store.Version // of the record

	rates            map[string]*keyrange.KeyRates
	serviceTimes     map[string]*keyrange.ServiceTimes // by service
	warmUpUntil      map[routing.Lifetime]time.Duration
	lastTickAt       time.Duration
	lastPlanAt       time.Duration
	planRequested    bool
	targetsChangedAt time.Duration // last change of the list of targets
	offeredLoads     []dispatch.OfferedLoad
	lastLoadLogAt    time.Duration

	config    *configUpdate // the configuration in force, nil if there is none
	followers map[*follower]struct{}
	// joining are linked and have not been told anything yet.
	joining         map[*follower]struct{}
	lastAdmissionAt time.Duration
	// pendingTargets and offeredLoadUpdate are told with the next news.
	pendingTargets      *targetUpdate
	pendingOfferedLoad  *offeredLoadUpdate
	publishedCandidates []rangelease.Leader // as they were told last
	startedAt           time.Duration
	lostFollowers       map[string]lostFollower // by instance
	lastNotifyAt        time.Duration
	lastHeartbeatAt     time.Duration
	lastPublishAt       time.Duration
	lastResignAt        time.Duration
}

func newLeadership(c *controlLoop, sent time.Duration, r *rangelease.Record, version store.Version, before rangelease.Predecessor) *leadership {
	ctx, cancel := context.WithCancel(c.t.Context(context.Background()))
	l := &leadership{
		c: c, ctx: ctx, cancel: cancel, recordVersion: version,
		granter: rangelease.New(grantOptions(c), sent, socket.BootTime(), r, before),
		rates:   map[string]*keyrange.KeyRates{}, serviceTimes: map[string]*keyrange.ServiceTimes{},
		warmUpUntil: map[routing.Lifetime]time.Duration{}, followers: map[*follower]struct{}{}, joining: map[*follower]struct{}{},
		lostFollowers: map[string]lostFollower{}, startedAt: socket.BootTime(),
	}
	l.granter.OnMove(func(service string, s routing.Span, from, to routing.Lifetime, why string) {
		c.metrics.moves.Inc(1)
		c.metrics.movedKeys.Inc(int64(s.Len()))
		c.log.Info().Str("event", "keys.moved").Str("service", service).Int("from_key", s.From).Int("to_key", s.To).
			Str("from", from.ID).Str("to", to.ID).Str("reason", why).Uint64("term", r.Term).Send()
	})
	if config := c.shared.config.Load(); config != nil {
		l.applyConfig(config)
	}
	if c.targets.version > 0 {
		l.granter.SetTargets(c.leaving.withDraining(c.targets.list()))
	}
	return l
}

// grantOptions are the defaults within the platform's longest hold time.
func grantOptions(c *controlLoop) rangelease.Options {
	o := rangelease.DefaultOptions
	if c.maxLeaseDuration > 0 {
		o.LeaseTerms.Duration = min(o.LeaseTerms.Duration, c.maxLeaseDuration)
		o.OutageLeaseDuration = min(o.OutageLeaseDuration, c.maxLeaseDuration)
	}
	return o
}

func (l *leadership) close() {
	l.cancel()
	for _, f := range append(l.followerList(), l.joiningFollowers()...) {
		f.close()
	}
}

func (l *leadership) applyConfig(config *routing.Config) {
	l.granter.SetServices(config.PartitionedServices())
	n, err := encodeConfig(l.c.configObject)
	if err != nil {
		l.c.log.Error().Str("event", "config.encode").Err(err).Send()
		return
	}
	l.config = n
	l.broadcast(stateUpdate{Config: n})
}

func (l *leadership) applyTargetChange(now time.Duration, put []routing.Target, gone []routing.Lifetime, change *targetUpdate) {
	l.granter.UpdateTargets(l.c.leaving.withDraining(put), gone)
	for _, id := range gone {
		delete(l.warmUpUntil, id)
		for _, s := range l.serviceTimes {
			s.Remove(id)
		}
	}
	for i := range put {
		l.warmUpUntil[put[i].Lifetime()] = now + put[i].WarmUp
	}
	l.planRequested, l.targetsChangedAt = true, now
	l.pendingTargets = l.pendingTargets.merge(change)
	l.publish(now)
}

// markTargetsLeaving lets the keys of targets that leave be moved, and tells the followers.
func (l *leadership) markTargetsLeaving(ids []routing.Lifetime) {
	var put []routing.Target
	for _, t := range l.c.targets.live {
		if slices.Contains(ids, t.Lifetime()) {
			put = append(put, t)
		}
	}
	l.granter.UpdateTargets(l.c.leaving.withDraining(put), nil)
	l.planRequested = true
	l.broadcast(stateUpdate{Leaving: ids})
}

// checkSuspended makes sure that nothing is sent after the process was suspended
// until the store has confirmed the term.
func (l *leadership) checkSuspended(now time.Duration) {
	if l.lastTickAt > 0 && now-l.lastTickAt > suspensionThreshold {
		l.c.log.Warn().Str("event", "leader.suspended").Dur("for_ms", now-l.lastTickAt).Send()
		l.granter.RequireConfirmation(now)
		l.rereadRecord()
		l.lastTickAt = now
	}
}

// tick plans, sends what is due and tells the followers.
func (l *leadership) tick(now time.Duration) {
	l.checkSuspended(now)
	l.lastTickAt = now
	if l.granter.TakeFenced() {
		l.c.log.Warn().Str("event", "leader.fenced").Uint64("term", l.granter.Term()).Send()
		l.rereadRecord()
	}
	if now-l.lastPlanAt >= planInterval || l.planRequested && now-l.lastPlanAt >= time.Duration(len(l.c.targets.live))*planIntervalPerTarget {
		l.plan(now)
	}
	l.advance(now)
	l.admitJoining(now)
	if now-l.lastHeartbeatAt >= heartbeatInterval {
		l.lastHeartbeatAt = now
		l.broadcast(stateUpdate{Candidates: l.updateCandidates(now)})
		l.c.setInstances(len(l.followers) + 1)
		l.granter.SetCandidates(now, l.publishedCandidates, len(l.followers)+1)
		l.yieldToStronger(now)
		l.notifyLostFollowers(now)
	}
}

// advance does what is due for the leases and publishes what changed.
func (l *leadership) advance(now time.Duration) {
	for _, a := range l.granter.Tick(now) {
		l.execute(a)
	}
	l.publish(now)
}

// execute carries out an action on a goroutine of its own and posts the result.
func (l *leadership) execute(a rangelease.Action) {
	c := l.c
	switch a := a.(type) {
	case *rangelease.WriteRecord:
		l.writeRecord(a.Record)
	case *rangelease.Grant:
		c.metrics.grants.Inc(1)
		c.t.Go(func() error {
			ctx, cancel := context.WithTimeout(l.ctx, rangelease.DefaultOptions.CallTimeout)
			defer cancel()
			answer := c.platform.Orders().Grant(ctx, a)
			c.post(func() { l.handleLeaseResult(a.Target.Lifetime(), "grant", a.Call, a.Span, a.FencingToken, answer) })
			return nil
		})
	case *rangelease.Release:
		c.metrics.releases.Inc(1)
		c.t.Go(func() error {
			ctx, cancel := context.WithTimeout(l.ctx, releaseTimeout)
			defer cancel()
			answer := c.platform.Orders().Release(ctx, a)
			c.post(func() { l.handleLeaseResult(a.Target.Lifetime(), "release", a.Call, a.Span, a.FencingToken, answer) })
			return nil
		})
	}
}

func (l *leadership) handleLeaseResult(target routing.Lifetime, order string, call uint64, s routing.Span, fence uint64, answer deployment.Answer) {
	if l.ctx.Err() != nil {
		return
	}
	outcome := answer.Outcome
	if outcome != rangelease.Done {
		l.c.metrics.leaseRequestsFailed.Inc(1)
		l.c.log.Warn().Str("event", "order.failed").Str("order", order).Str("target", target.ID).Str("outcome", outcome.String()).
			Int("from_key", s.From).Int("to_key", s.To).Uint64("fence", fence).Send()
	}
	now := socket.BootTime()
	for _, a := range l.granter.ReportCallResult(now, target, call, outcome, answer.Handover) {
		l.execute(a)
	}
	if answer.Leaving {
		l.c.markTargetsLeaving(now, []routing.Lifetime{target})
	}
	if outcome == rangelease.Done {
		l.publish(now)
	}
}

// writeRecord stores the record on condition that nobody else changed it.
func (l *leadership) writeRecord(r *rangelease.Record) {
	c := l.c
	value, err := r.Encode()
	if err != nil {
		c.log.Error().Str("event", "ownership.encode").Err(err).Send()
		return
	}
	object := store.Object{Kind: ownershipRecordKind, Name: ownershipRecordName, Version: l.recordVersion, Value: value, Writer: writerID(r)}
	c.t.Go(func() error {
		sent := socket.BootTime()
		got, err := c.store.Update(l.ctx, object)
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
			got, err = l.resolveWrite(object, err)
		}
		c.postUrgent(func() { l.handleRecordWrite(sent, got, err) })
		return nil
	})
}

// resolveWrite finds out whether a write took effect that was answered by a conflict
// or not at all. It runs on the goroutine of the write.
func (l *leadership) resolveWrite(want store.Object, cause error) (store.Object, error) {
	got, err := l.c.store.Get(l.ctx, ownershipRecordKind, ownershipRecordName)
	switch {
	case err != nil:
		return got, errors.Join(cause, err)
	case got.Writer == want.Writer && slices.Equal(got.Value, want.Value):
		return got, nil
	case got.Writer == want.Writer:
		return got, store.ErrUnavailable // an earlier state of this term: the write is repeated
	default:
		return got, cause
	}
}

func (l *leadership) handleRecordWrite(sent time.Duration, got store.Object, err error) {
	now := socket.BootTime()
	if l.ctx.Err() != nil {
		return
	}
	if err != nil {
		l.c.log.Warn().Str("event", "ownership.not_stored").Uint64("term", l.granter.Term()).Err(err).Send()
		if errors.Is(err, store.ErrConflict) && got.Version > 0 {
			if r, decodeErr := rangelease.DecodeRecord(got.Value); decodeErr == nil {
				l.c.applyRecord(sent, r, got.Version)
				return
			}
		}
		if got.Version > l.recordVersion {
			l.recordVersion = got.Version
		}
		l.granter.ReportWriteResult(now, false)
		return
	}
	l.c.recordStoreAnswer(now)
	l.recordVersion = max(l.recordVersion, got.Version)
	l.granter.ReportTermConfirmed(sent)
	l.granter.ReportWriteResult(now, true)
	l.publishNow(now) // before the holders refuse requests for the keys that they release
	l.advance(now)
}

// rereadRecord reads the record, because a target has seen a later term.
func (l *leadership) rereadRecord() { l.c.readRecord(l.ctx, func() {}) }

// publish puts changed owners into force here, and tells the followers what has
// changed. Changes that come close together are told together.
func (l *leadership) publish(now lease.Instant) {
	if now-l.lastPublishAt >= time.Duration(len(l.followers))*publishIntervalPerFollower {
		l.publishNow(now)
	}
}

func (l *leadership) publishNow(now lease.Instant) {
	config := l.c.shared.config.Load()
	if config == nil {
		return
	}
	l.lastPublishAt = now
	n := stateUpdate{Targets: l.pendingTargets, OfferedLoad: l.pendingOfferedLoad}
	l.pendingTargets, l.pendingOfferedLoad = nil, nil
	changed, out := map[string][]routing.Owner{}, map[string]*ownersUpdate{}
	for _, service := range config.PartitionedServices() {
		owners, before := l.granter.Owners(now, service), l.c.owners[service]
		if news := changedOwners(before, owners); len(news) > 0 {
			changed[service] = owners
			out[service] = encodeOwners(news, false)
		}
	}
	if len(changed) > 0 {
		l.c.applyOwners(changed)
		n.Owners = out
	}
	if len(changed) > 0 || n.Targets != nil || n.OfferedLoad != nil {
		l.broadcast(n)
	}
}
