package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/internal/deployment"
	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/internal/upstream"
	"github.com/boragegate/boragegate/ownership/election"
	"github.com/boragegate/boragegate/ownership/rangelease"
	"github.com/boragegate/boragegate/routing"
	"github.com/boragegate/boragegate/store"
)

const (
	// ownershipRecordKind and ownershipRecordName identify the ownership record in the
	// store.
	ownershipRecordKind = "boragegate-ownership"
	ownershipRecordName = "current"

	// tickInterval is the interval of periodic work in the control loop.
	tickInterval = 50 * time.Millisecond
	// heartbeatInterval is the interval of the leader's heartbeats to its followers.
	heartbeatInterval = 300 * time.Millisecond
	// storeReachableWindow is the age of the last response from the store up to which the
	// store counts as reachable.
	storeReachableWindow = time.Second
	// outstandingLeasesHorizon is the time after a state update up to which its outstanding
	// leases are complete: they include all leases that the leader grants until then. It is
	// longer than the restart of a leader's process and a takeover take, even by an instance
	// with little capacity. It is shorter than the time without the store after which the leader
	// grants longer leases (see package rangelease).
	outstandingLeasesHorizon = 1500 * time.Millisecond
	// sweepInterval is the interval at which expired idle connections to targets are closed.
	sweepInterval = 500 * time.Millisecond
	// configFreshWindow is the time for which the configuration counts as current after
	// isCurrent was last true. After that it is stale.
	configFreshWindow = 2 * time.Second
	// lagLogThreshold is the delay of a tick from which it is logged. Such a delay means
	// that the control loop received more events than it could handle.
	lagLogThreshold = 100 * time.Millisecond
	// maxTargetLogLines is the number of changed targets from which a single summary line
	// is logged.
	maxTargetLogLines = 64
	// yieldInterval is the minimum time between two attempts to hand leadership to a
	// stronger instance, and the minimum time for which that instance must have been
	// connected.
	yieldInterval = 3 * time.Second
	// mbpsPerCore is the network bandwidth in Mbit/s that counts as much as one core in the
	// strength of a leader. It is the ratio of the resources that leading takes: with 58
	// instances, state updates, grants and releases take about 5 Mbit/s and 0.05 cores.
	mbpsPerCore = 100
)

// controlLoop is the event loop that owns the instance's view of configuration, targets,
// ownership and leader. Its methods run on the loop's goroutine unless stated otherwise.
type controlLoop struct {
	t        tomb.Tomb
	platform deployment.Platform
	store    deployment.Store
	shared   *sharedState
	client   *upstream.Client
	log      zerolog.Logger
	metrics  *instanceMetrics
	self     rangelease.InstanceInfo
	// minRetries is the number of retries per window that a service is allowed without
	// traffic, for all instances together.
	minRetries       float64
	maxLeaseDuration time.Duration // set by the platform, 0 if unlimited

	events chan func()
	// urgent has events that must not queue behind others: responses from the store, by
	// which followers judge the health of their leader.
	urgent         chan func()
	elector        *election.Elector
	pendingQueries []*pendingQuery
	lastSweepAt    time.Duration
	lastTickAt     time.Duration
	activity       loopActivity
	spilloverLog   spilloverLog
	lastActiveAt   time.Duration // last event or tick

	configVersion store.Version // of configObject
	configEra     store.Era     // of configVersion
	configObject  store.Object  // active configuration, as stored
	// configConfirmedAt is the latest time as of which the active configuration is known to have
	// been the newest, and leaderConfigConfirmedAt the same through the leader.
	configConfirmedAt, leaderConfigConfirmedAt time.Duration

	targets *targetList
	leaving *leavingTargets
	// evacuations are the evacuated zones as far as this instance knows.
	evacuations *zoneEvacuations
	owners      map[string][]routing.Owner

	// era is the latest known era of the store, and restores the number of eras that have begun
	// since the start of this instance. eraKnown is set when the era was first reported, or by a
	// first answer or state update without an era.
	era      store.Era
	restores int
	eraKnown bool

	record        *rangelease.Record
	recordVersion store.Version
	// recordRestored is set if the stored record is of an earlier era, or was lost in a restore.
	recordRestored bool
	recordWasRead  bool   // the ownership record was read, or is known not to exist
	term           uint64 // newest known term

	watches map[string]context.CancelFunc // by kind of object

	lastStoreAnswerAt time.Duration // last response from the store
	// storeFailedSince is the start of the current outage as this instance sees it, 0 if there
	// is none. An answer of the store ends it, or a leader that reaches the store, because an
	// instance with such a leader does not call the store. Time for which the process was
	// suspended does not count.
	storeFailedSince time.Duration
	storeRecovered   chan struct{} // closed at the end of the current outage

	isLeader atomic.Bool // whether leadership is not nil, for other goroutines

	link                *leaderLink
	lastUpdateAt        time.Duration // last state update from the current leader, 0 if there was none
	leaderStoreAnswerAt time.Duration // last response from the store to the leader, as far as known
	// leaderRefused is set if the leader's address refuses connections, or if the instance
	// there says that it is not the leader.
	leaderRefused bool
	// leaderStoreUnreachable is set if the leader cannot reach the store.
	leaderStoreUnreachable bool
	takingOver             bool

	// leaderPresumedEnded is set if the leader's process has probably ended: its address refuses
	// connections, or a later process answers there.
	leaderPresumedEnded bool
	// leaderEnded is set if the leader is proven to grant no more leases: it has resigned because its
	// process ends, or a later process answers at its address.
	leaderEnded  bool
	leaderLeases announcedLeases
	// previousLeases are those of the last leader before the current one that had announced any.
	previousLeases announcedLeases

	lastReportAt time.Duration // last load report to the leader

	leadership *leadership

	stopping bool
	// resigned is set when the process ends; the instance does not lead from then on.
	resigned bool
}

// post queues a function to run on the control loop. It may be called from any goroutine.
func (c *controlLoop) post(f func()) { c.enqueue(c.events, f) }

// postUrgent is like post, but the function runs before all that post has queued.
func (c *controlLoop) postUrgent(f func()) { c.enqueue(c.urgent, f) }

func (c *controlLoop) enqueue(queue chan<- func(), f func()) {
	select {
	case queue <- f:
	case <-c.t.Dying():
	}
}

func (c *controlLoop) run() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.tick(socket.BootTime())
	for {
		select {
		case f := <-c.urgent:
			c.handle(f)
			continue
		default:
		}
		select {
		case f := <-c.urgent:
			c.handle(f)
		case f := <-c.events:
			c.handle(f)
		case <-c.shared.rateLimitSignal:
			c.handle(func() { c.exchangeRateLimits(socket.BootTime()) })
		case <-ticker.C:
			startedAt := time.Now()
			c.tick(socket.BootTime())
			c.activity.longest = max(c.activity.longest, time.Since(startedAt))
		case <-c.t.Dying():
			c.stopAll()
			return nil
		}
	}
}

// handle runs an event. It checks first whether the loop has run recently: otherwise the
// configuration has to be confirmed and, as another instance may lead by now, a leader must not
// act on events that arrived meanwhile before the store has confirmed its term.
func (c *controlLoop) handle(f func()) {
	now := socket.BootTime()
	c.discountSuspension(now)
	c.checkLoopDelay(now)
	if c.leadership != nil {
		c.leadership.checkSuspended(now)
	}
	startedAt := time.Now()
	f()
	c.activity.events++
	c.activity.longest = max(c.activity.longest, time.Since(startedAt))
}

func (c *controlLoop) stopAll() {
	for _, cancel := range c.watches {
		cancel()
	}
	if c.link != nil {
		c.link.cancel()
	}
	if c.leadership != nil {
		c.leadership.close()
	}
}

func (c *controlLoop) tick(now time.Duration) {
	c.discountSuspension(now)
	c.checkLoopDelay(now)
	c.shared.loopTickAt.Store(int64(now))
	c.measureLag(now)
	if c.isCurrent() {
		c.shared.freshUntil.Store(int64(now + configFreshWindow))
	}
	c.dropMissingTargets(now, c.targets.dropExpired(now))
	c.leaving.expire(now)
	c.dropMissingEvacuations(now)
	c.advanceEvacuations(now)
	c.applyWarmUpChanges(now)
	c.runElection(now)
	c.answerPendingQueries(now)
	if c.leadership != nil {
		c.leadership.tick(now)
	} else {
		c.reportLoad(now)
	}
	c.exchangeRateLimits(now)
	c.logSpillovers(now)
	if now-c.lastSweepAt >= sweepInterval {
		c.lastSweepAt = now
		c.client.CloseExpired(time.Now())
	}
}

// isCurrent reports whether the configuration of this instance is current: the instance
// receives state updates from a leader that reaches the store, or it leads or watches the
// configuration in the store itself and the store responds.
func (c *controlLoop) isCurrent() bool {
	if c.leadership != nil || c.watches[c.configKind()] != nil {
		return c.storeFailedSince == 0
	}
	return !c.elector.SuspectsLeader() && c.lastUpdateAt > 0 && c.link != nil && c.link.stateReceived
}

// measureLag measures how late the control loop runs.
func (c *controlLoop) measureLag(now time.Duration) {
	if c.lastTickAt > 0 {
		lag := max(now-c.lastTickAt-tickInterval, 0)
		c.metrics.controlLag.Update(lag)
		if lag > lagLogThreshold {
			c.activity.addTo(c.log.Warn().Str("event", "control.late").Dur("late_ms", lag)).Int("waiting", len(c.events)).
				Bool("leads", c.leadership != nil).Send()
		}
	}
	c.lastTickAt = now
	c.activity.reset()
}

// ready reports whether requests can be served: a configuration is known and may be used, and
// the holders of the keys of all partitioned services are known. It may be called from any goroutine.
func (c *controlLoop) ready() bool {
	config := c.shared.config.Load()
	if config == nil || c.shared.isConfigUnconfirmed() {
		return false
	}
	c.shared.mu.Lock()
	defer c.shared.mu.Unlock()
	for _, service := range config.PartitionedServices() {
		if !c.shared.balancer.HasOwners(service) {
			return false
		}
	}
	return true
}

func (c *controlLoop) configKind() string {
	kind, _ := c.platform.ConfigObject()
	return kind
}

// dropMissingTargets activates that missing entries have been dropped from the list of targets.
func (c *controlLoop) dropMissingTargets(now time.Duration, names []string) {
	change := &targetUpdate{Version: c.targets.version, Era: c.era, Deleted: names}
	c.activateTargetChange(now, change)
	c.publishTargets(now, change)
}

// publishTargets sends an update of the list of targets to the followers if this instance is
// the leader.
func (c *controlLoop) publishTargets(now time.Duration, update *targetUpdate) {
	if c.leadership != nil && !update.isEmpty() {
		c.leadership.publishTargets(now, update)
	}
}

// activateTargetChange activates a change that has been made to the list of targets.
func (c *controlLoop) activateTargetChange(now time.Duration, change *targetUpdate) {
	if change.isEmpty() {
		return
	}
	c.logTargetChange(change)
	c.activateLiveTargets(now)
}

// activateLiveTargets activates the changes of the live targets since its last call.
func (c *controlLoop) activateLiveTargets(now time.Duration) {
	changed, ended := c.targets.takeChanges()
	c.logReplacedTargets(ended)
	c.shared.update(func(b *dispatch.Balancer) {
		b.ChangeTargets(now, c.evacuations.schedule.WithoutRequests(changed), ended)
		for i := range changed { // a target that was registered again is still leaving
			if at, ok := c.leaving.firstReportedAt[changed[i].Lifetime()]; ok {
				b.MarkLeaving(at, changed[i].Lifetime())
			}
		}
	})
	c.client.RemoveTargets(ended)
	c.shared.dropRateLimits(ended)
	c.metrics.targets.Update(int64(len(c.targets.live)))
	if c.leadership != nil {
		c.leadership.applyTargetChange(now, changed, ended)
	}
	c.applyWarmUpChanges(now)
}

// markTargetsLeaving records targets that have announced in responses that they are
// leaving.
func (c *controlLoop) markTargetsLeaving(now time.Duration, ids []routing.Lifetime) {
	added := c.leaving.add(now, ids)
	if len(added) == 0 {
		return
	}
	c.shared.update(func(b *dispatch.Balancer) {
		for _, id := range added {
			b.MarkLeaving(now, id)
		}
	})
	for _, id := range added {
		c.log.Info().Str("event", "target.leaving_told").Str("target", id.ID).Int64("incarnation", id.Incarnation).Bool("leads", c.leadership != nil).Send()
	}
	if c.leadership != nil {
		c.leadership.markTargetsLeaving(added)
	}
}

func (c *controlLoop) logTargetChange(change *targetUpdate) {
	if len(change.Put)+len(change.Deleted) >= maxTargetLogLines {
		c.log.Info().Str("event", "targets.changed").Int("changed", len(change.Put)).Int("removed", len(change.Deleted)).
			Int("targets", len(c.targets.byName)).Uint64("store_version", uint64(change.Version)).Send()
		return
	}
	for name, t := range change.Put {
		c.log.Info().Str("event", "target.changed").Str("target", name).Str("service", t.Service).Str("address", t.Address).
			Bool("draining", t.Draining).Int64("incarnation", t.Incarnation).Uint64("store_version", uint64(change.Version)).Send()
	}
	for _, name := range change.Deleted {
		c.log.Info().Str("event", "target.removed").Str("target", name).Uint64("store_version", uint64(change.Version)).Send()
	}
}

// logReplacedTargets logs the targets that are not used any more, although their entries exist, because another entry has
// their address.
func (c *controlLoop) logReplacedTargets(ended []routing.Lifetime) {
	for _, id := range ended {
		t := c.targets.byName[id.ID]
		if by := c.targets.live[t.Address]; t.Lifetime() == id && by.ID != id.ID {
			c.log.Info().Str("event", "target.replaced").Str("target", id.ID).Str("service", t.Service).Str("address", t.Address).
				Str("by", by.ID).Str("by_service", by.Service).Int64("by_incarnation", by.Incarnation).Send()
		}
	}
}

// applyOwners activates changed holders of keys, by service.
func (c *controlLoop) applyOwners(changed map[string][]routing.Owner) {
	for service, owners := range changed {
		c.owners[service] = owners
	}
	c.shared.update(func(b *dispatch.Balancer) {
		for service, owners := range changed {
			b.SetOwners(service, owners)
		}
	})
}

func (c *controlLoop) setInstanceCount(n int) {
	c.shared.instances.Store(int64(max(n, 1)))
	c.elector.SetInstanceCount(n)
	c.shared.mu.Lock()
	c.shared.balancer.SetMinRetries(c.minRetries / float64(max(n, 1)))
	c.shared.balancer.SetInstanceCount(n)
	c.shared.mu.Unlock()
}
