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
	// ownershipKind and ownershipName identify the ownership record in the store.
	ownershipKind = "boragegate-ownership"
	ownershipName = "current"

	// tickInterval is the interval of periodic work in the control loop.
	tickInterval = 50 * time.Millisecond
	// heartbeatInterval is the interval of the leader's heartbeats to its followers.
	heartbeatInterval = 300 * time.Millisecond
	// storeFresh is the age of the last response from the store up to which the store
	// counts as reachable.
	storeFresh = time.Second
	// newsAhead is how far ahead an update states the leases that the leader would leave
	// behind. It covers the take-over from a leader that exited, even by an instance with
	// little capacity, and is shorter than the time without the store after which grants
	// get longer.
	newsAhead = 1500 * time.Millisecond
	// sweepInterval is the interval at which idle connections to targets are checked.
	sweepInterval = 500 * time.Millisecond
	// configFresh is the time after its last confirmation for which a configuration counts
	// as current.
	configFresh = 2 * time.Second
	// lateTick is the delay of a tick from which it is logged. Such a delay means that the
	// control loop received more events than it could handle.
	lateTick = 100 * time.Millisecond
	// manyChanges is the number of changed targets from which a single summary line is
	// logged.
	manyChanges = 64
	// yieldInterval is the minimum time between two attempts to hand leadership to a
	// stronger instance, and the minimum time for which that instance must have been
	// connected.
	yieldInterval = 3 * time.Second
	// linkPerCore is the bandwidth in Mbit/s that counts as much as one core in the
	// strength of a leader: with 58 instances, updates, grants and releases take about 5
	// Mbit/s and 0.05 cores.
	linkPerCore = 100
)

// control is the event loop that owns the instance's view of configuration, targets,
// ownership and leader. Its methods run on the loop's goroutine unless stated otherwise.
type control struct {
	t        tomb.Tomb
	platform deployment.Platform
	store    deployment.Store
	shared   *shared
	client   *upstream.Client
	log      zerolog.Logger
	metrics  *meters
	self     rangelease.Leader
	slack    float64
	maxHold  time.Duration

	events chan func()
	// urgent has events that must not queue behind others: responses from the store, by
	// which followers judge the health of their leader.
	urgent  chan func()
	elector *election.Elector
	askers  []*asker
	sweptAt time.Duration
	// tickedAt is the time of the last tick, and handled the number of events since then.
	tickedAt time.Duration
	handled  int

	configVersion store.Version
	configObject  store.Object
	targets       *targetList
	leaving       *leavingTargets
	owners        map[string][]routing.Owner

	record        *rangelease.Record
	recordVersion store.Version
	recordKnown   bool // the store was read at least once
	term          uint64

	follows map[string]context.CancelFunc // by kind of object

	storeAt     time.Duration // last response from the store
	storeFailed time.Duration // start of the current outage, 0 if there is none
	storeBack   chan struct{} // closed at the end of the current outage

	leading atomic.Bool // whether lead is not nil

	link     *link
	newsAt   time.Duration // last update from the current leader, 0 if there was none
	leaderAt time.Duration // last response from the store to the leader, as far as known
	refused  bool
	// leaderLost reports that the leader cannot reach the store.
	leaderLost bool
	taking     bool

	// leaderEnded reports that the leader's process has exited: its address refuses
	// connections, or a later process answers there.
	leaderEnded  bool
	leaderLeft   rangelease.Left // leases it would leave behind, as stated at leaderLeftAt
	leaderLeftAt time.Duration

	reportedAt time.Duration // last load report to the leader

	lead *leadership

	stopping bool
}

// post runs a function on the control loop. It may be called from any goroutine.
func (c *control) post(f func()) { c.enqueue(c.events, f) }

// postUrgent runs a function on the control loop ahead of all events queued by post. It
// may be called from any goroutine.
func (c *control) postUrgent(f func()) { c.enqueue(c.urgent, f) }

func (c *control) enqueue(queue chan<- func(), f func()) {
	select {
	case queue <- f:
	case <-c.t.Dying():
	}
}

func (c *control) run() error {
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

// handle runs an event. A leader checks first whether its process was suspended, so that
// it doesn't act on events that arrived meanwhile with an outdated term.
func (c *control) handle(f func()) {
	if c.lead != nil {
		c.lead.checkSuspended(socket.BootTime())
	}
	c.handled++
	f()
}

func (c *control) stopAll() {
	for _, cancel := range c.follows {
		cancel()
	}
	if c.link != nil {
		c.link.cancel()
	}
	if c.lead != nil {
		c.lead.close()
	}
}

func (c *control) tick(now time.Duration) {
	c.noteLag(now)
	if c.confirmed() {
		c.shared.freshUntil.Store(int64(now + configFresh))
	}
	c.targetsChanged(now, &targetNews{Version: c.targets.version, Deleted: c.targets.expire(now)})
	c.leaving.expire(now)
	c.elect(now)
	c.tellAskers(now)
	if c.lead != nil {
		c.lead.tick(now)
	} else {
		c.report(now)
	}
	if now-c.sweptAt >= sweepInterval {
		c.sweptAt = now
		c.client.Sweep(time.Now())
	}
}

// confirmed reports whether this instance's view is current: it receives updates from a
// leader that reaches the store, or watches the configuration in the store itself.
func (c *control) confirmed() bool {
	if c.lead != nil || c.follows[c.configKind()] != nil {
		return c.storeFailed == 0
	}
	return !c.elector.Doubts() && c.newsAt > 0
}

// noteLag measures how late the control loop runs.
func (c *control) noteLag(now time.Duration) {
	if c.tickedAt > 0 {
		lag := max(now-c.tickedAt-tickInterval, 0)
		c.metrics.lag.Update(lag)
		if lag > lateTick {
			c.log.Warn().Str("event", "control.late").Dur("late_ms", lag).Int("events", c.handled).Int("waiting", len(c.events)).
				Bool("leads", c.lead != nil).Send()
		}
	}
	c.tickedAt, c.handled = now, 0
}

// ready reports whether requests can be served: a configuration is known, and the owners
// of all partitioned services are. It may be called from any goroutine.
func (c *control) ready() bool {
	config := c.shared.config.Load()
	if config == nil {
		return false
	}
	c.shared.mu.Lock()
	defer c.shared.mu.Unlock()
	for _, service := range config.Partitioned() {
		if !c.shared.board.HasOwners(service) {
			return false
		}
	}
	return true
}

func (c *control) storeAnswered(now time.Duration) {
	if c.storeFailed > 0 {
		if now-c.storeFailed > outageTime {
			c.targets.outageEnded(now)
		}
		c.log.Info().Str("event", "store.regained").Dur("outage_ms", now-c.storeFailed).Send()
		c.storeFailed = 0
		close(c.storeBack)
		if c.lead != nil {
			c.lead.broadcast(news{}) // before other instances take over
		}
	}
	c.storeAt = now
}

func (c *control) storeLost(now time.Duration, err error) {
	c.metrics.storeErrors.Inc(1)
	if c.storeFailed == 0 {
		c.storeFailed, c.storeBack = now, make(chan struct{})
		if c.lead != nil {
			c.lead.broadcast(news{})
		}
		c.log.Warn().Str("event", "store.lost").Dur("last_answer_ms", now-c.storeAt).Err(err).Send()
	}
}

func (c *control) configKind() string {
	kind, _ := c.platform.ConfigObject()
	return kind
}

// configSeen puts a configuration into force that is newer than the current one.
func (c *control) configSeen(obj store.Object) {
	_, name := c.platform.ConfigObject()
	if obj.Name != name || obj.Version <= c.configVersion {
		return
	}
	config, list := c.platform.DecodeConfig(obj)
	for _, f := range list {
		c.log.Warn().Str("event", "config.finding").Uint64("store_version", uint64(obj.Version)).Str("finding", f.String()).Send()
	}
	c.metrics.findings.Update(int64(len(list)))
	if config == nil {
		return
	}
	c.configVersion, c.configObject = obj.Version, obj
	c.shared.config.Store(config)
	c.log.Info().Str("event", "config.in_force").Uint64("config_version", config.Version).
		Uint64("store_version", uint64(obj.Version)).Int("routes", config.RouteCount()).Send()
	if c.lead != nil {
		c.lead.configChanged(config)
	}
}

// targetsChanged puts a changed list of targets into force.
func (c *control) targetsChanged(now time.Duration, change *targetNews) {
	if len(change.Put)+len(change.Deleted) == 0 {
		return
	}
	put, gone := c.targets.change()
	c.shared.update(func(b *dispatch.Board) {
		b.ChangeTargets(now, put, gone)
		for i := range put { // a target that was registered again is still leaving
			if at, ok := c.leaving.since[put[i].Lifetime()]; ok {
				b.Leave(at, put[i].Lifetime())
			}
		}
	})
	c.client.Drop(gone)
	c.metrics.targets.Update(int64(len(c.targets.inUse)))
	c.logTargets(change)
	if c.lead != nil {
		c.lead.targetsChanged(now, put, gone, change)
	}
}

// targetsLeave records targets that have announced in responses that they are leaving.
func (c *control) targetsLeave(now time.Duration, ids []routing.Lifetime) {
	news := c.leaving.add(now, ids)
	if len(news) == 0 {
		return
	}
	c.shared.update(func(b *dispatch.Board) {
		for _, id := range news {
			b.Leave(now, id)
		}
	})
	for _, id := range news {
		c.log.Info().Str("event", "target.leaving_told").Str("target", id.ID).Int64("incarnation", id.Incarnation).Bool("leads", c.lead != nil).Send()
	}
	if c.lead != nil {
		c.lead.targetsLeave(news)
	}
}

func (c *control) logTargets(change *targetNews) {
	if len(change.Put)+len(change.Deleted) >= manyChanges {
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

// ownersChanged puts changed owners of services into force.
func (c *control) ownersChanged(changed map[string][]routing.Owner) {
	for service, owners := range changed {
		c.owners[service] = owners
	}
	c.shared.update(func(b *dispatch.Board) {
		for service, owners := range changed {
			b.SetOwners(service, owners)
		}
	})
}

func (c *control) setInstances(n int) {
	c.shared.instances.Store(int64(max(n, 1)))
	c.elector.SetInstances(n)
	c.shared.mu.Lock()
	c.shared.board.SetSlack(c.slack / float64(max(n, 1)))
	c.shared.board.SetInstances(n)
	c.shared.mu.Unlock()
}
