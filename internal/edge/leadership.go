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
	"github.com/boragegate/boragegate/ratelimit"
	"github.com/boragegate/boragegate/routing"
	"github.com/boragegate/boragegate/store"
)

const (
	// planInterval is the interval at which the loads of targets are compared and moves of
	// keys are planned.
	planInterval = 150 * time.Millisecond
	// planIntervalPerTarget times the number of targets is the shortest time from a plan to
	// one that is requested before planInterval is over. It is about thirty times the time
	// that planning takes.
	planIntervalPerTarget = 200 * time.Microsecond
	// loadLogInterval is the interval of log lines about load while no keys move.
	loadLogInterval = time.Second
	// releaseTimeout is the time for which a target may finish its work on released keys.
	releaseTimeout = 2500 * time.Millisecond
	// defaultServiceTime is assumed for all targets until the service time of any target
	// has been measured.
	defaultServiceTime = time.Second
	// warmUpCapacityFraction is the fraction of its capacity that a target has while it
	// warms up.
	warmUpCapacityFraction = 0.5
	// initialAssignmentDelay is the time without a change of the list of targets after
	// which keys are assigned for the first time. Targets that start together register over
	// several seconds, and keys assigned to the first of them would have to be moved again.
	initialAssignmentDelay = 700 * time.Millisecond
	// suspensionThreshold is the time between two ticks from which the process is assumed
	// to have been suspended. Another instance can take over only after 1.2 s, so the
	// threshold is below that.
	suspensionThreshold = 700 * time.Millisecond
	// offeredLoadMinFollowers is the number of followers from which the offered load of
	// targets is published. With 8 instances, each sees enough of a target's load by
	// itself. The published value depends on an estimate of the target's capacity and is
	// less accurate than what such an instance sees: with 8 instances, a load test scores
	// only 0.65 with it, but 0.70 without.
	offeredLoadMinFollowers = 16
	// publishIntervalPerFollower times the number of followers is the shortest time
	// between two state updates that publish sends. It is about ten times the time that the
	// write to one follower takes.
	publishIntervalPerFollower = 500 * time.Microsecond
)

// leadership is the state of an instance while it is the leader. It is confined to the
// control loop's goroutine.
type leadership struct {
	c       *controlLoop
	ctx     context.Context
	cancel  context.CancelFunc
	grantor *rangelease.Grantor
	// permits grants the permits for targets with a rate limit; the nil follower stands for this instance.
	permits     *ratelimit.Allocator[*follower]
	permitTimer *time.Timer // fires when the next permits are available
	// namedLimits has the limits in force that targets name, as last sent to the followers.
	namedLimits   map[routing.Lifetime]float64
	recordVersion store.Version // of the ownership record
	calls         callWindow    // of the open lease requests

	rates            map[string]*keyrange.KeyRates
	serviceTimes     map[string]*keyrange.ServiceTimes // by service
	warmUpUntil      map[routing.Lifetime]time.Duration
	lastTickAt       time.Duration
	lastPlanAt       time.Duration
	planRequested    bool
	targetsChangedAt time.Duration // last change of the list of targets
	offeredLoads     []dispatch.OfferedLoad
	lastLoadLogAt    time.Duration

	encodedConfig *configUpdate // active configuration as sent to followers, nil if there is none
	followers     map[*follower]struct{}
	// joining are connected followers that haven't been sent the state yet.
	joining map[*follower]struct{}
	// links are the followers in both sets by instance; each instance has one link.
	links              map[string]*follower
	lastInitialStateAt time.Duration
	initialStateTime   time.Duration // duration of the last encoding of the initial state
	// predecessorInstances is the number of instances in the record at the takeover.
	predecessorInstances int
	// pendingTargets and pendingOfferedLoad are sent with the next state update.
	pendingTargets      *targetUpdate
	pendingOfferedLoad  *offeredLoadUpdate
	publishedCandidates []rangelease.InstanceInfo // as last published
	startedAt           time.Duration
	lostFollowers       map[string]lostFollower // by instance
	predecessor         replacedLeader
	lastNotifyAt        time.Duration
	lastHeartbeatAt     time.Duration
	lastPublishAt       time.Duration
	successorNamedAt    time.Duration

	// replacing is set while the record of a restored store is to be replaced. replaceAttempt is
	// the number of the current attempt, replaceTerm the term that was written last, and
	// replaceAgainAt the time of the next attempt, 0 while one is under way.
	replacing      bool
	replaceAttempt int
	replaceTerm    uint64
	replaceAgainAt time.Duration
}

func newLeadership(c *controlLoop, sentAt time.Duration, r *rangelease.Record, recordVersion store.Version, predecessor rangelease.Predecessor) *leadership {
	ctx, cancel := context.WithCancel(c.t.Context(context.Background()))
	l := &leadership{
		c: c, ctx: ctx, cancel: cancel, recordVersion: recordVersion,
		grantor: rangelease.New(grantOptions(c), sentAt, socket.BootTime(), r, predecessor),
		rates:   map[string]*keyrange.KeyRates{}, serviceTimes: map[string]*keyrange.ServiceTimes{},
		warmUpUntil: map[routing.Lifetime]time.Duration{}, followers: map[*follower]struct{}{}, joining: map[*follower]struct{}{},
		links: map[string]*follower{}, predecessorInstances: r.InstanceCount, lostFollowers: map[string]lostFollower{}, startedAt: socket.BootTime(), calls: newCallWindow(), permits: ratelimit.NewAllocator[*follower](), namedLimits: map[routing.Lifetime]float64{},
	}
	l.permitTimer = time.AfterFunc(tickInterval, c.shared.signalRateLimits)
	for _, n := range c.shared.rateLimitNotices(l.startedAt) {
		l.namedLimits[n.Lifetime] = n.PerSecond
	}
	for id, perSecond := range c.shared.permitRates(l.startedAt) {
		l.permits.SetLimit(l.startedAt, id, perSecond)
	}
	l.grantor.OnMove(func(service string, s routing.Span, from, to routing.Lifetime, reason string) {
		c.metrics.moves.Inc(1)
		c.metrics.movedKeys.Inc(int64(s.Len()))
		c.log.Info().Str("event", "keys.moved").Str("service", service).Int("from_key", s.From).Int("to_key", s.To).
			Str("from", from.ID).Str("to", to.ID).Str("reason", reason).Uint64("term", l.grantor.Term()).Send()
	})
	if config := c.shared.config.Load(); config != nil {
		l.applyConfig(config)
	}
	if c.targets.isKnown() {
		l.grantor.SetTargets(c.targetsForKeys(c.targets.liveTargets()))
	}
	return l
}

// grantOptions returns the defaults, limited to the platform's maximum lease duration.
func grantOptions(c *controlLoop) rangelease.Options {
	o := rangelease.DefaultOptions
	if c.maxLeaseDuration > 0 {
		o.Lease.Duration = min(o.Lease.Duration, c.maxLeaseDuration)
		o.OutageLeaseDuration = min(o.OutageLeaseDuration, c.maxLeaseDuration)
	}
	return o
}

func (l *leadership) close() {
	l.cancel()
	l.permitTimer.Stop()
	for _, f := range append(l.followerList(), l.joiningFollowers()...) {
		f.close()
	}
}

func (l *leadership) applyConfig(config *routing.Config) {
	l.grantor.SetServices(config.PartitionedServices())
	update, err := encodeConfig(l.c.configObject, l.c.configEra)
	if err != nil {
		l.c.log.Error().Str("event", "config.encode").Err(err).Send()
		return
	}
	l.encodedConfig = update
	l.broadcast(stateUpdate{Config: update})
}

func (l *leadership) applyTargetChange(now time.Duration, changed []routing.Target, ended []routing.Lifetime) {
	l.grantor.UpdateTargets(l.c.targetsForKeys(changed), ended)
	for _, id := range ended {
		delete(l.warmUpUntil, id)
		l.permits.RemoveLimit(id)
		delete(l.namedLimits, id)
		for _, s := range l.serviceTimes {
			s.Remove(id)
		}
	}
	for i := range changed {
		l.warmUpUntil[changed[i].Lifetime()] = now + changed[i].WarmUp
	}
	l.planRequested, l.targetsChangedAt = true, now
}

// publishTargets sends an update of the list of targets to the followers, together with others
// that follow closely.
func (l *leadership) publishTargets(now time.Duration, update *targetUpdate) {
	l.pendingTargets = l.pendingTargets.merge(update)
	l.publish(now)
}

// markTargetsLeaving marks the targets as draining, so that the next plan moves their keys,
// and tells the followers.
func (l *leadership) markTargetsLeaving(ids []routing.Lifetime) {
	var leaving []routing.Target
	for _, t := range l.c.targets.live {
		if slices.Contains(ids, t.Lifetime()) {
			leaving = append(leaving, t)
		}
	}
	l.grantor.UpdateTargets(l.c.targetsForKeys(leaving), nil)
	l.planRequested = true
	l.broadcast(stateUpdate{Leaving: ids})
}

// checkSuspended detects that the process was suspended, and then makes sure that no
// grants or releases are sent until the store has confirmed the term.
func (l *leadership) checkSuspended(now time.Duration) {
	if l.lastTickAt > 0 && now-l.lastTickAt > suspensionThreshold {
		l.c.log.Warn().Str("event", "leader.suspended").Dur("for_ms", now-l.lastTickAt).Send()
		l.grantor.RequireConfirmation(now)
		l.rereadRecord()
		l.lastTickAt = now
	}
}

// tick plans moves, sends due grants and releases, and sends state updates to the
// followers.
func (l *leadership) tick(now time.Duration) {
	if l.lastTickAt > 0 {
		l.calls.recordTick(now - l.lastTickAt - tickInterval)
	}
	l.checkSuspended(now)
	l.lastTickAt = now
	l.retryReplaceRecord(now)
	if l.grantor.TakeLaterTermSeen() {
		l.c.log.Warn().Str("event", "leader.fenced").Uint64("term", l.grantor.Term()).Send()
		l.rereadRecord()
	}
	if now-l.lastPlanAt >= planInterval || l.planRequested && now-l.lastPlanAt >= time.Duration(len(l.c.targets.live))*planIntervalPerTarget {
		l.plan(now)
	}
	l.advance(now)
	l.grantPermits(now)
	l.sendInitialState(now)
	if now-l.lastHeartbeatAt >= heartbeatInterval {
		l.lastHeartbeatAt = now
		l.send(stateUpdate{Candidates: l.updateCandidates(now)}, append(l.followerList(), l.joiningFollowers()...)...)
		l.c.setInstanceCount(l.instanceCount(now))
		l.grantor.SetProfiles(l.c.shared.profiles())
		l.grantor.SetCandidates(now, l.publishedCandidates, l.instanceCount(now))
		l.yieldToStronger(now)
		l.notifyLostFollowers(now)
	}
}

// advance performs the due actions of the grantor and publishes changes.
func (l *leadership) advance(now time.Duration) {
	for _, a := range l.grantor.Tick(now, l.calls.free()) {
		l.execute(a)
	}
	l.publish(now)
}

// execute performs an action in its own goroutine and posts the result.
func (l *leadership) execute(a rangelease.Action) {
	switch a := a.(type) {
	case *rangelease.WriteRecord:
		l.writeRecord(a.Record)
	case *rangelease.Grant:
		l.c.metrics.grants.Inc(1)
		call := &leaseCall{request: "grant", target: a.Target.Lifetime(), number: a.Call, span: a.Span, fencingToken: a.FencingToken}
		l.startCall(call, rangelease.DefaultOptions.CallTimeout, func(ctx context.Context) deployment.LeaseResponse {
			return l.c.platform.LeaseClient().Grant(ctx, a)
		})
	case *rangelease.Release:
		l.c.metrics.releases.Inc(1)
		call := &leaseCall{request: "release", target: a.Target.Lifetime(), number: a.Call, span: a.Span, fencingToken: a.FencingToken, probe: a.Probe}
		l.startCall(call, releaseTimeout, func(ctx context.Context) deployment.LeaseResponse {
			return l.c.platform.LeaseClient().Release(ctx, a)
		})
	}
}

// writeRecord writes the ownership record on condition that no other instance has changed
// it.
func (l *leadership) writeRecord(r *rangelease.Record) {
	c := l.c
	value, err := r.Encode()
	if err != nil {
		c.log.Error().Str("event", "ownership.encode").Err(err).Send()
		return
	}
	object := store.Object{Kind: ownershipRecordKind, Name: ownershipRecordName, Version: l.recordVersion, Value: value, Writer: writerID(r)}
	restores := c.restores
	c.t.Go(func() error {
		sentAt := socket.BootTime()
		stored, err := c.store.Update(l.ctx, object)
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
			stored, err = l.resolveWrite(object, err)
		}
		c.postUrgent(func() {
			if restores == c.restores { // otherwise the write may be lost
				l.handleRecordWrite(sentAt, stored, err)
			}
		})
		return nil
	})
}

// resolveWrite determines whether a write took effect although the store reported a
// conflict or its outcome is unknown. It runs in the goroutine of the write.
func (l *leadership) resolveWrite(want store.Object, cause error) (store.Object, error) {
	got, err := l.c.store.Get(l.ctx, ownershipRecordKind, ownershipRecordName)
	switch {
	case err != nil:
		return got, errors.Join(cause, err)
	case got.Writer == want.Writer && slices.Equal(got.Value, want.Value):
		return got, nil
	case got.Writer == want.Writer:
		return got, store.ErrUnavailable // an earlier state of this term, so the write is repeated
	default:
		return got, cause
	}
}

func (l *leadership) handleRecordWrite(sentAt time.Duration, got store.Object, err error) {
	now := socket.BootTime()
	if l.ctx.Err() != nil {
		return
	}
	if err != nil {
		l.c.log.Warn().Str("event", "ownership.not_stored").Uint64("term", l.grantor.Term()).Err(err).Send()
		if errors.Is(err, store.ErrConflict) && got.Version > 0 {
			if r, decodeErr := rangelease.DecodeRecord(got.Value); decodeErr == nil {
				l.c.applyRecord(sentAt, r, got.Version)
				return
			}
		}
		if got.Version > l.recordVersion {
			l.recordVersion = got.Version
		}
		l.grantor.ReportWriteResult(now, false)
		return
	}
	l.c.recordStoreAnswer(now)
	l.recordVersion = max(l.recordVersion, got.Version)
	l.grantor.ReportTermConfirmed(sentAt)
	l.grantor.ReportWriteResult(now, true)
	l.adoptTerm()
	l.publishNow(now) // before the previous holders refuse requests for the keys that they release
	l.advance(now)
}

// adoptTerm makes the grantor's term that of this instance, after the grantor has begun the next one
// because the fencing tokens of the last are used up.
func (l *leadership) adoptTerm() {
	c, term := l.c, l.grantor.Term()
	if term <= c.term {
		return
	}
	c.log.Info().Str("event", "leader.term_renewed").Uint64("term", term).Uint64("old_term", c.term).Send()
	next := *c.record
	next.Term = term
	c.record, c.term = &next, term
	l.broadcast(stateUpdate{})
}

// rereadRecord reads the record because another instance may have become leader.
func (l *leadership) rereadRecord() { l.c.readRecord(l.ctx, func() {}) }

// publish activates changed holders of keys. It sends them to the followers, together with
// the pending changes of targets and offered loads. Changes that follow each other closely
// are sent together.
func (l *leadership) publish(now lease.Instant) {
	if now-l.lastPublishAt >= time.Duration(l.instanceCount(now))*publishIntervalPerFollower {
		l.publishNow(now)
	}
}

// publishNow does the work of publish, without its limit of the rate.
func (l *leadership) publishNow(now lease.Instant) {
	config := l.c.shared.config.Load()
	if config == nil {
		return
	}
	l.lastPublishAt = now
	update := stateUpdate{Targets: l.pendingTargets, OfferedLoad: l.pendingOfferedLoad}
	l.pendingTargets, l.pendingOfferedLoad = nil, nil
	changed, ownersUpdates := map[string][]routing.Owner{}, map[string]*ownersUpdate{}
	for _, service := range config.PartitionedServices() {
		owners, before := l.grantor.Owners(now, service), l.c.owners[service]
		if changes := changedOwners(before, owners); len(changes) > 0 {
			changed[service] = owners
			ownersUpdates[service] = encodeOwners(changes, false)
		}
	}
	if len(changed) > 0 {
		l.c.applyOwners(changed)
		update.Owners = ownersUpdates
	}
	if len(changed) > 0 || update.Targets != nil || update.OfferedLoad != nil {
		l.broadcast(update)
	}
}
