package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/internal/deployment"
	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/internal/upstream"
	"github.com/boragegate/boragegate/ownership/rangelease"
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
	// newsFresh is the age of the last news up to which the leader counts as alive:
	// three heartbeats may be late.
	newsFresh = 1200 * time.Millisecond
	// storeStale is the age of the leader's last answer from the store from which
	// another instance may take over. It is above the wait of a poll of the leader.
	storeStale = 3 * time.Second
	// refusedPatience is the time for which a leader whose address refuses
	// connections may start to listen, or may reach the store again.
	refusedPatience = 250 * time.Millisecond
	// takeOverSpread spreads the instances that want to take over.
	takeOverSpread = 300 * time.Millisecond
	// deposedPatience is the time for which an instance that lost the lead leaves
	// it to others, so that two that do not hear each other do not take turns.
	deposedPatience = 3 * time.Second
	// storeFresh is the age of the last answer of the store up to which it counts as reachable.
	storeFresh = time.Second
	// ownFollowAfter is the time without a leader after which an instance follows
	// configuration and targets in the store by itself: changes must be in force
	// within 2 s, and the loss of a leader takes up to 1.2 s to notice.
	ownFollowAfter = 200 * time.Millisecond
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
	zone     string
	slack    float64
	maxHold  time.Duration

	events chan func()

	configVersion store.Version
	configObject  store.Object
	targets       *targetList
	owners        map[string][]dispatch.Owner

	record        *rangelease.Record
	recordVersion store.Version
	recordKnown   bool // the store was read at least once
	term          uint64

	follows map[string]context.CancelFunc // by kind

	storeAt     time.Duration // last answer of the store
	storeFailed time.Duration // begin of the present outage, 0 if there is none

	link     *link
	newsAt   time.Duration
	leaderAt time.Duration // last answer of the store to the leader, as far as known
	refused  bool
	// leaderLost says that the store does not answer the leader.
	leaderLost bool
	suspect    time.Duration // begin of the doubt about the leader, 0 if there is none
	spread     time.Duration
	taking     bool
	lostLead   time.Duration
	noLeader   time.Duration // begin of the time without a leader

	reportedAt time.Duration // last report of the load to the leader

	lead *leadership

	stopping bool
}

// post runs a function on the control goroutine. It may be called on any goroutine.
func (c *control) post(f func()) {
	select {
	case c.events <- f:
	case <-c.t.Dying():
	}
}

func (c *control) run() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.startFollow(ownershipKind)
	for {
		select {
		case f := <-c.events:
			f()
		case <-ticker.C:
			c.tick(socket.BootTime())
		case <-c.t.Dying():
			c.stopAll()
			return nil
		}
	}
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
	if names := c.targets.expire(now); len(names) > 0 {
		c.targetsChanged(now, &targetNews{Version: c.targets.version, Deleted: names})
	}
	c.elect(now)
	if c.lead != nil {
		c.lead.tick(now)
	} else {
		c.report(now)
	}
	c.client.Sweep(time.Now())
}

// ready reports whether requests can be served. It may be called on any goroutine.
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

// hears reports whether the leader is alive and reaches the store.
func (c *control) hears(now time.Duration) bool {
	return c.link != nil && c.newsAt > 0 && now-c.newsAt < newsFresh && now-c.leaderAt < storeStale && !c.leaderLost
}

// elect takes over if there is no leader.
func (c *control) elect(now time.Duration) {
	if c.lead != nil {
		if c.lead.granter.StoreAge(now) > rangelease.DefaultOptions.Blind {
			c.stepDown("the store does not answer")
		}
		return
	}
	if c.hears(now) {
		if c.noLeader > 0 || c.suspect > 0 {
			c.log.Info().Str("event", "leader.heard").Str("leader", c.leaderID()).Uint64("term", c.term).Send()
		}
		c.suspect, c.noLeader = 0, 0
		c.stopFollow(ownershipKind)
		c.stopFollow(c.configKind())
		c.stopFollow(c.platform.TargetKind())
		return
	}
	c.startFollow(ownershipKind)
	if c.noLeader == 0 {
		c.noLeader = now
	}
	if now-c.noLeader > ownFollowAfter {
		c.startFollow(c.configKind())
		c.startFollow(c.platform.TargetKind())
	}
	if !c.recordKnown || c.stopping {
		return
	}
	if c.suspect == 0 {
		c.suspect = now
		c.spread = rand.N(takeOverSpread) //nolint:gosec // not a secret
		if c.record != nil {
			c.log.Warn().Str("event", "leader.doubted").Str("leader", c.leaderID()).Uint64("term", c.term).
				Bool("refused", c.refused).Dur("news_age_ms", now-c.newsAt).Dur("leader_store_age_ms", now-c.leaderAt).Send()
		}
	}
	reachable := c.storeAt > 0 && now-c.storeAt < storeFresh && c.storeFailed == 0
	if c.taking || !reachable || now < c.suspect+c.patience()+c.spread {
		return
	}
	if c.lostLead > 0 && now-c.lostLead < deposedPatience && !c.refused {
		return
	}
	c.takeOver()
}

// patience is the time between the first doubt and the take-over.
func (c *control) patience() time.Duration {
	switch {
	case c.record == nil, c.record.Leader.ID == c.self.ID:
		return 0
	case c.refused, c.leaderLost:
		return refusedPatience
	default:
		return newsFresh
	}
}

func (c *control) leaderID() string {
	if c.record == nil {
		return ""
	}
	return c.record.Leader.ID
}

// takeOver stores the record with a higher term and this instance as leader.
func (c *control) takeOver() {
	next := &rangelease.Record{Term: 1, Services: map[string][]rangelease.Entry{}}
	if c.record != nil {
		copied := *c.record
		next = &copied
		next.Term++
	}
	next.Leader = c.self
	c.taking = true
	value, err := next.Encode()
	if err != nil {
		c.log.Error().Str("event", "leader.encode").Err(err).Send()
		return
	}
	object := store.Object{Kind: ownershipKind, Name: ownershipName, Version: c.recordVersion, Value: value, Writer: writerMark(next)}
	c.t.Go(func() error {
		sent := socket.BootTime()
		write := c.store.Update
		if object.Version == 0 {
			write = c.store.Create
		}
		got, err := write(c.t.Context(context.Background()), object)
		c.post(func() { c.tookOver(sent, next, got, err) })
		return nil
	})
}

func (c *control) tookOver(sent time.Duration, next *rangelease.Record, got store.Object, err error) {
	c.taking = false
	if err != nil {
		c.log.Info().Str("event", "leader.take_over_failed").Uint64("term", next.Term).Err(err).Send()
		c.suspect = 0
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrExists) {
			c.storeLost(socket.BootTime(), err)
		}
		return
	}
	c.storeAnswered(socket.BootTime())
	c.became(sent, next, got.Version)
}

// became starts to lead under a record that the store has.
func (c *control) became(sent time.Duration, r *rangelease.Record, version store.Version) {
	if version <= c.recordVersion || c.lead != nil {
		return
	}
	c.record, c.recordVersion, c.term = r, version, r.Term
	if c.link != nil {
		c.link.cancel()
		c.link = nil
	}
	c.suspect, c.noLeader = 0, 0
	c.log.Info().Str("event", "leader.became").Uint64("term", r.Term).Send()
	c.lead = newLeadership(c, sent, r, version)
	c.startFollow(ownershipKind)
	c.startFollow(c.configKind())
	c.startFollow(c.platform.TargetKind())
}

// stepDown ends the lead of this instance.
func (c *control) stepDown(why string) {
	if c.lead == nil {
		return
	}
	c.log.Warn().Str("event", "leader.stepped_down").Uint64("term", c.term).Str("reason", why).Send()
	c.lead.close()
	c.lead = nil
	c.lostLead = socket.BootTime()
}

// recordSeen takes the record as the store has it.
func (c *control) recordSeen(sent time.Duration, r *rangelease.Record, version store.Version) {
	c.recordKnown = true
	if r == nil || version < c.recordVersion {
		return
	}
	if c.lead != nil && r.Term == c.lead.granter.Term() && r.Leader == c.self {
		c.lead.granter.Confirmed(sent)
		c.record, c.recordVersion = r, max(c.recordVersion, version)
		return
	}
	if version == c.recordVersion {
		return
	}
	known := c.record != nil && c.record.Leader == r.Leader && c.record.Term == r.Term
	c.record, c.recordVersion = r, version
	if known {
		return
	}
	if r.Leader == c.self && r.Term > c.term && c.lead == nil {
		// The answer to the take-over was lost.
		c.recordVersion--
		c.became(sent, r, version)
		return
	}
	c.term = max(c.term, r.Term)
	if c.lead != nil {
		c.stepDown("another instance leads")
	}
	c.suspect, c.newsAt, c.leaderAt, c.refused, c.leaderLost = 0, 0, 0, false, false
	c.log.Info().Str("event", "leader.seen").Str("leader", r.Leader.ID).Uint64("term", r.Term).Send()
	c.dialLeader()
}

func (c *control) storeAnswered(now time.Duration) {
	if c.storeFailed > 0 {
		if now-c.storeFailed > outageTime {
			c.targets.outageEnded(now)
		}
		c.log.Info().Str("event", "store.regained").Dur("outage_ms", now-c.storeFailed).Send()
		c.storeFailed = 0
	}
	c.storeAt = now
}

func (c *control) storeLost(now time.Duration, err error) {
	c.metrics.storeErrors.Inc(1)
	if c.storeFailed == 0 {
		c.storeFailed = now
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

// targetsChanged puts the list of targets into force.
func (c *control) targetsChanged(now time.Duration, change *targetNews) {
	list := c.targets.list()
	c.shared.update(func(b *dispatch.Board) { b.SetTargets(now, list) })
	c.client.Keep(list)
	c.metrics.targets.Update(int64(len(list)))
	for name, t := range change.Put {
		c.log.Info().Str("event", "target.changed").Str("target", name).Str("service", t.Service).Str("address", t.Address).
			Bool("draining", t.Draining).Int64("incarnation", t.Incarnation).Uint64("store_version", uint64(change.Version)).Send()
	}
	for _, name := range change.Deleted {
		c.log.Info().Str("event", "target.removed").Str("target", name).Uint64("store_version", uint64(change.Version)).Send()
	}
	if c.lead != nil {
		c.lead.targetsChanged(now, list, change)
	}
}

// ownersChanged puts the owners of services into force.
func (c *control) ownersChanged(changed map[string][]dispatch.Owner) {
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
	c.shared.mu.Lock()
	c.shared.board.SetSlack(c.slack / float64(max(n, 1)))
	c.shared.mu.Unlock()
}
