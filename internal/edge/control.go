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
	// ownershipRecordKind and ownershipRecordName name the record of ownership in the store.
	ownershipRecordKind = "boragegate-ownership"
	ownershipRecordName = "current"

	// tickInterval is the pace of the control goroutine.
	tickInterval = 50 * time.Millisecond
	// heartbeatInterval is the pace of news without content.
	heartbeatInterval = 300 * time.Millisecond
	// storeReachableWindow is the age of the last answer of the store up to which it counts as reachable.
	storeReachableWindow = time.Second
	// outstandingHorizon is the time after a news for which the leader vouches for what it would
	// leave behind. It covers a take-over from a leader that ended, also by a weak
	// instance, and stays below the age at which grants get longer.
	outstandingHorizon = 1500 * time.Millisecond
	// sweepInterval is the pace at which idle connections are looked through.
	sweepInterval = 500 * time.Millisecond
	// configFreshWindow is the time after its last confirmation for which a configuration counts
	// as recent.
	configFreshWindow = 2 * time.Second
	// lagLogThreshold is the delay of a tick from which it is logged: the goroutine has had more
	// events than it could handle.
	lagLogThreshold = 100 * time.Millisecond
	// maxTargetLogLines is the number of changed targets from which one line is logged for all.
	maxTargetLogLines = 64
	// yieldInterval is the time between two attempts to give the lead to a stronger
	// instance, and the time for which that one must have been linked.
	yieldInterval = 3 * time.Second
	// linkMbpsPerCore is the bandwidth in Mbit/s that makes a leader's link as strong as
	// one core: with 58 instances, news and orders come to about 5 Mbit/s and 0.05 cores.
	linkMbpsPerCore = 100
)

// controlLoop has the state of the control goroutine. Its methods run on that
// goroutine unless they say otherwise.
type controlLoop struct {
	t                tomb.Tomb
	platform         deployment.Platform
	store            deployment.Store
	shared           *sharedState
	client           *upstream.Client
	log              zerolog.Logger
	metrics          *instanceMetrics
	self             rangelease.Leader
	retrySlack       float64
	maxLeaseDuration time.Duration

	events chan func()
	// urgent has what must not wait behind other events: answers of the store, by which
	// followers judge their leader.
	urgent         chan func()
	elector        *election.Elector
	pendingQueries []*pendingQuery
	lastSweepAt    time.Duration
	// lastTickAt is the time of the last tick, handled the number of events since then.
	lastTickAt      time.Duration
	eventsSinceTick int

	configVersion store.Version
	configObject  store.Object
	targets       *targetList
	leaving       *leavingTargets
	owners        map[string][]routing.Owner

	record        *rangelease.Record
	recordVersion store.Version
	recordWasRead bool // the store was read at least once
	term          uint64

	watches map[string]context.CancelFunc // by kind

	lastStoreAnswerAt time.Duration // last answer of the store
	storeFailedSince  time.Duration // begin of the present outage, 0 if there is none
	storeRecovered    chan struct{} // closes at the end of the present outage

	isLeader atomic.Bool // says that lead is not nil

	link                *leaderLink
	lastUpdateAt        time.Duration // last news of the present leader, 0 if there was none
	leaderStoreAnswerAt time.Duration // last answer of the store to the leader, as far as known
	leaderRefused       bool
	// leaderStoreUnreachable says that the store does not answer the leader.
	leaderStoreUnreachable bool
	takingOver             bool

	// leaderExited says that the leader's process has ended: its address refuses
	// connections, or a later process answers there.
	leaderExited        bool
	leaderOutstanding   rangelease.OutstandingLeases // what it leaves behind, as it said at leaderOutstandingAt
	leaderOutstandingAt time.Duration

	lastReportAt time.Duration // last report of the load to the leader

	leadership *leadership

	stopping bool
}

// post runs a function on the control goroutine. It may be called on any goroutine.
func (c *controlLoop) post(f func()) { c.enqueue(c.events, f) }

// postUrgent is post for what goes before all other events.
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
		case <-ticker.C:
			c.tick(socket.BootTime())
		case <-c.t.Dying():
			c.stopAll()
			return nil
		}
	}
}

// handle runs an event. A leader that was suspended has to notice that before it acts
// on anything that came meanwhile.
func (c *controlLoop) handle(f func()) {
	if c.leadership != nil {
		c.leadership.checkSuspended(socket.BootTime())
	}
	c.eventsSinceTick++
	f()
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
	c.measureLag(now)
	if c.isConfirmed() {
		c.shared.freshUntil.Store(int64(now + configFreshWindow))
	}
	c.applyTargetChange(now, &targetUpdate{Version: c.targets.version, Deleted: c.targets.dropExpired(now)})
	c.leaving.expire(now)
	c.runElection(now)
	c.answerPendingQueries(now)
	if c.leadership != nil {
		c.leadership.tick(now)
	} else {
		c.reportLoad(now)
	}
	if now-c.lastSweepAt >= sweepInterval {
		c.lastSweepAt = now
		c.client.Sweep(time.Now())
	}
}

// isConfirmed reports whether what this instance believes is recent: it hears a leader
// that reaches the store, or follows the configuration in the store itself.
func (c *controlLoop) isConfirmed() bool {
	if c.leadership != nil || c.watches[c.configKind()] != nil {
		return c.storeFailedSince == 0
	}
	return !c.elector.SuspectsLeader() && c.lastUpdateAt > 0
}

// measureLag measures how late the goroutine is.
func (c *controlLoop) measureLag(now time.Duration) {
	if c.lastTickAt > 0 {
		lag := max(now-c.lastTickAt-tickInterval, 0)
		c.metrics.controlLag.Update(lag)
		if lag > lagLogThreshold {
			c.log.Warn().Str("event", "control.late").Dur("late_ms", lag).Int("events", c.eventsSinceTick).Int("waiting", len(c.events)).
				Bool("leads", c.leadership != nil).Send()
		}
	}
	c.lastTickAt, c.eventsSinceTick = now, 0
}

// ready reports whether requests can be served. It may be called on any goroutine.
func (c *controlLoop) ready() bool {
	config := c.shared.config.Load()
	if config == nil {
		return false
	}
	c.shared.mu.Lock()
	defer c.shared.mu.Unlock()
	for _, service := range config.PartitionedServices() {
		if !c.shared.board.HasOwners(service) {
			return false
		}
	}
	return true
}

func (c *controlLoop) recordStoreAnswer(now time.Duration) {
	if c.storeFailedSince > 0 {
		if now-c.storeFailedSince > minOutageToKeepMissing {
			c.targets.outageEnded(now)
		}
		c.log.Info().Str("event", "store.regained").Dur("outage_ms", now-c.storeFailedSince).Send()
		c.storeFailedSince = 0
		close(c.storeRecovered)
		if c.leadership != nil {
			c.leadership.broadcast(stateUpdate{}) // before others take over
		}
	}
	c.lastStoreAnswerAt = now
}

func (c *controlLoop) recordStoreFailure(now time.Duration, err error) {
	c.metrics.storeErrors.Inc(1)
	if c.storeFailedSince == 0 {
		c.storeFailedSince, c.storeRecovered = now, make(chan struct{})
		if c.leadership != nil {
			c.leadership.broadcast(stateUpdate{})
		}
		c.log.Warn().Str("event", "store.lost").Dur("last_answer_ms", now-c.lastStoreAnswerAt).Err(err).Send()
	}
}

func (c *controlLoop) configKind() string {
	kind, _ := c.platform.ConfigObject()
	return kind
}

// applyConfig adopts a configuration that is newer than the one in force.
func (c *controlLoop) applyConfig(obj store.Object) {
	_, name := c.platform.ConfigObject()
	if obj.Name != name || obj.Version <= c.configVersion {
		return
	}
	config, list := c.platform.DecodeConfig(obj)
	for _, f := range list {
		c.log.Warn().Str("event", "config.finding").Uint64("store_version", uint64(obj.Version)).Str("finding", f.String()).Send()
	}
	c.metrics.configFindings.Update(int64(len(list)))
	if config == nil {
		return
	}
	c.configVersion, c.configObject = obj.Version, obj
	c.shared.config.Store(config)
	c.log.Info().Str("event", "config.in_force").Uint64("config_version", config.Version).
		Uint64("store_version", uint64(obj.Version)).Int("routes", config.RouteCount()).Send()
	if c.leadership != nil {
		c.leadership.applyConfig(config)
	}
}

// applyTargetChange puts a changed list of targets into force.
func (c *controlLoop) applyTargetChange(now time.Duration, change *targetUpdate) {
	if len(change.Put)+len(change.Deleted) == 0 {
		return
	}
	put, gone := c.targets.takeChanges()
	c.shared.update(func(b *dispatch.Balancer) {
		b.ChangeTargets(now, put, gone)
		for i := range put { // a target that was listed anew still leaves
			if at, ok := c.leaving.firstReportedAt[put[i].Lifetime()]; ok {
				b.MarkLeaving(at, put[i].Lifetime())
			}
		}
	})
	c.client.Drop(gone)
	c.metrics.targets.Update(int64(len(c.targets.live)))
	c.logTargetChange(change)
	if c.leadership != nil {
		c.leadership.applyTargetChange(now, put, gone, change)
	}
}

// markTargetsLeaving notes that targets have said in answers that they leave.
func (c *controlLoop) markTargetsLeaving(now time.Duration, ids []routing.Lifetime) {
	news := c.leaving.add(now, ids)
	if len(news) == 0 {
		return
	}
	c.shared.update(func(b *dispatch.Balancer) {
		for _, id := range news {
			b.MarkLeaving(now, id)
		}
	})
	for _, id := range news {
		c.log.Info().Str("event", "target.leaving_told").Str("target", id.ID).Int64("incarnation", id.Incarnation).Bool("leads", c.leadership != nil).Send()
	}
	if c.leadership != nil {
		c.leadership.markTargetsLeaving(news)
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

// applyOwners puts the owners of services into force.
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

func (c *controlLoop) setInstances(n int) {
	c.shared.instances.Store(int64(max(n, 1)))
	c.elector.SetInstances(n)
	c.shared.mu.Lock()
	c.shared.board.SetMinRetries(c.retrySlack / float64(max(n, 1)))
	c.shared.board.SetInstanceCount(n)
	c.shared.mu.Unlock()
}
