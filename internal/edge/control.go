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
	// ownershipKind and ownershipName name the record of ownership in the store.
	ownershipKind = "boragegate-ownership"
	ownershipName = "current"

	// tickInterval is the pace of the control goroutine.
	tickInterval = 50 * time.Millisecond
	// heartbeatInterval is the pace of news without content.
	heartbeatInterval = 300 * time.Millisecond
	// storeFresh is the age of the last answer of the store up to which it counts as reachable.
	storeFresh = time.Second
	// newsAhead is the time after a news for which the leader vouches for what it would
	// leave behind. It covers a take-over from a leader that ended, also by a weak
	// instance, and stays below the age at which grants get longer.
	newsAhead = 1500 * time.Millisecond
	// sweepInterval is the pace at which idle connections are looked through.
	sweepInterval = 500 * time.Millisecond
	// configFresh is the time after its last confirmation for which a configuration counts
	// as recent.
	configFresh = 2 * time.Second
	// lateTick is the delay of a tick from which it is logged: the goroutine has had more
	// events than it could handle.
	lateTick = 100 * time.Millisecond
	// manyChanges is the number of changed targets from which one line is logged for all.
	manyChanges = 64
	// yieldInterval is the time between two attempts to give the lead to a stronger
	// instance, and the time for which that one must have been linked.
	yieldInterval = 3 * time.Second
	// linkPerCore is the bandwidth in Mbit/s that makes a leader's link as strong as
	// one core: with 58 instances, news and orders come to about 5 Mbit/s and 0.05 cores.
	linkPerCore = 100
)

// control has the state of the control goroutine. Its methods run on that
// goroutine unless they say otherwise.
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
	// urgent has what must not wait behind other events: answers of the store, by which
	// followers judge their leader.
	urgent  chan func()
	elector *election.Elector
	askers  []*asker
	sweptAt time.Duration
	// tickedAt is the time of the last tick, handled the number of events since then.
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

	follows map[string]context.CancelFunc // by kind

	storeAt     time.Duration // last answer of the store
	storeFailed time.Duration // begin of the present outage, 0 if there is none
	storeBack   chan struct{} // closes at the end of the present outage

	leading atomic.Bool // says that lead is not nil

	link     *link
	newsAt   time.Duration // last news of the present leader, 0 if there was none
	leaderAt time.Duration // last answer of the store to the leader, as far as known
	refused  bool
	// leaderLost says that the store does not answer the leader.
	leaderLost bool
	taking     bool

	// leaderEnded says that the leader's process has ended: its address refuses
	// connections, or a later process answers there.
	leaderEnded  bool
	leaderLeft   rangelease.OutstandingLeases // what it leaves behind, as it said at leaderLeftAt
	leaderLeftAt time.Duration

	reportedAt time.Duration // last report of the load to the leader

	lead *leadership

	stopping bool
}

// post runs a function on the control goroutine. It may be called on any goroutine.
func (c *control) post(f func()) { c.enqueue(c.events, f) }

// postUrgent is post for what goes before all other events.
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

// handle runs an event. A leader that was suspended has to notice that before it acts
// on anything that came meanwhile.
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

// confirmed reports whether what this instance believes is recent: it hears a leader
// that reaches the store, or follows the configuration in the store itself.
func (c *control) confirmed() bool {
	if c.lead != nil || c.follows[c.configKind()] != nil {
		return c.storeFailed == 0
	}
	return !c.elector.SuspectsLeader() && c.newsAt > 0
}

// noteLag measures how late the goroutine is.
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

// ready reports whether requests can be served. It may be called on any goroutine.
func (c *control) ready() bool {
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

func (c *control) storeAnswered(now time.Duration) {
	if c.storeFailed > 0 {
		if now-c.storeFailed > outageTime {
			c.targets.outageEnded(now)
		}
		c.log.Info().Str("event", "store.regained").Dur("outage_ms", now-c.storeFailed).Send()
		c.storeFailed = 0
		close(c.storeBack)
		if c.lead != nil {
			c.lead.broadcast(news{}) // before others take over
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

// configSeen adopts a configuration that is newer than the one in force.
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
	c.shared.update(func(b *dispatch.Balancer) {
		b.ChangeTargets(now, put, gone)
		for i := range put { // a target that was listed anew still leaves
			if at, ok := c.leaving.since[put[i].Lifetime()]; ok {
				b.MarkLeaving(at, put[i].Lifetime())
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

// targetsLeave notes that targets have said in answers that they leave.
func (c *control) targetsLeave(now time.Duration, ids []routing.Lifetime) {
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

// ownersChanged puts the owners of services into force.
func (c *control) ownersChanged(changed map[string][]routing.Owner) {
	for service, owners := range changed {
		c.owners[service] = owners
	}
	c.shared.update(func(b *dispatch.Balancer) {
		for service, owners := range changed {
			b.SetOwners(service, owners)
		}
	})
}

func (c *control) setInstances(n int) {
	c.shared.instances.Store(int64(max(n, 1)))
	c.elector.SetInstances(n)
	c.shared.mu.Lock()
	c.shared.board.SetMinRetries(c.slack / float64(max(n, 1)))
	c.shared.board.SetInstanceCount(n)
	c.shared.mu.Unlock()
}
