package edge

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/evacuation"
	"github.com/boragegate/boragegate/internal/deployment"
	"github.com/boragegate/boragegate/routing"
	"github.com/boragegate/boragegate/store"
)

// returnWarmUp is the time after the end of an evacuation for which the targets of services with a
// warm-up rate count as warming up. They may have turned cold shortly before, and the entries that
// say so may arrive after the end.
const returnWarmUp = 1500 * time.Millisecond

// zoneEvacuations are the evacuated zones as this instance knows them.
type zoneEvacuations struct {
	// kind is the kind of their objects in the store; empty if the platform has no evacuations.
	kind    string
	version store.Version
	// objects has the names of the objects as of version, while this instance watches them.
	objects map[string]bool
	// missing has the objects that were known before the store was restored from an older copy and that it has
	// lacked since. They are kept until keepMissingUntil, because the operator writes them again.
	missing          map[string]bool
	keepMissingUntil time.Duration
	schedule         *evacuation.Schedule
}

func newZoneEvacuations(p deployment.Platform, timeout time.Duration) *zoneEvacuations {
	e := &zoneEvacuations{objects: map[string]bool{}, missing: map[string]bool{}, schedule: evacuation.New(timeout)}
	if timeout > 0 {
		e.kind = p.EvacuationKind()
	}
	return e
}

// update returns the states of all zones as sent to followers, or nil if they have not been read.
func (e *zoneEvacuations) update() *evacuationUpdate {
	if e.kind == "" || !e.schedule.IsKnown() {
		return nil
	}
	return &evacuationUpdate{Version: e.version, Zones: e.schedule.Zones()}
}

func (c *controlLoop) handleEvacuationList(now time.Duration, objects []store.Object, version store.Version) {
	e := c.evacuations
	if version < e.version {
		return
	}
	if now < e.keepMissingUntil {
		maps.Copy(e.missing, e.objects)
	}
	clear(e.objects)
	for _, o := range objects {
		e.objects[o.Name] = true
	}
	c.applyStoreEvacuations(now, version)
}

func (c *controlLoop) handleEvacuationEvents(now time.Duration, events []store.Event, version store.Version) {
	e := c.evacuations
	if version < e.version {
		return
	}
	for _, event := range events {
		if event.Type == store.EventPut {
			e.objects[event.Object.Name] = true
		} else {
			delete(e.objects, event.Object.Name)
		}
	}
	c.applyStoreEvacuations(now, version)
}

// applyStoreEvacuations applies the evacuations as read from the store. The leader sends changes to
// its followers.
func (c *controlLoop) applyStoreEvacuations(now time.Duration, version store.Version) {
	e := c.evacuations
	isFirst := !e.schedule.IsKnown()
	e.version = version
	zones := maps.Clone(e.objects)
	maps.Copy(zones, e.missing)
	changes := e.schedule.Set(now, slices.Sorted(maps.Keys(zones)))
	c.activateEvacuations(now, changes)
	if c.leadership != nil && (len(changes) > 0 || isFirst) {
		c.leadership.broadcast(stateUpdate{Evacuations: e.update()})
	}
}

// beginEra begins a later era of the store: versions are not comparable, and objects may be missing until the
// operator has written them again.
func (e *zoneEvacuations) beginEra(now time.Duration) {
	e.version, e.keepMissingUntil = 0, now+reregistrationTime
}

// dropMissingEvacuations ends the evacuations that a restored store has lacked for reregistrationTime.
func (c *controlLoop) dropMissingEvacuations(now time.Duration) {
	e := c.evacuations
	if len(e.missing) > 0 && now >= e.keepMissingUntil {
		clear(e.missing)
		c.applyStoreEvacuations(now, e.version)
	}
}

// applyLeaderEvacuations applies the evacuations in a state update, if it has any, and records that
// they are known as of the update.
func (c *controlLoop) applyLeaderEvacuations(now time.Duration, l *leaderLink, update *evacuationUpdate) {
	e := c.evacuations
	if e.kind == "" {
		return
	}
	if update != nil && update.Version >= e.version {
		e.version = update.Version
		clear(e.objects)
		for _, z := range update.Zones {
			if z.Evacuated {
				e.objects[z.Name] = true
			}
		}
		c.activateEvacuations(now, e.schedule.Adopt(now, update.Zones))
	}
	if l.stateReceived && e.schedule.IsKnown() {
		e.schedule.Confirm(c.leaderConfigConfirmedAt) // the leader watches both in the same way
	}
}

// watchUnknownEvacuations watches the evacuations in the store until they are known, although the leader
// is healthy: one of an earlier version does not send them.
func (c *controlLoop) watchUnknownEvacuations() {
	if e := c.evacuations; e.kind != "" && !e.schedule.IsKnown() && c.link != nil && c.link.stateReceived {
		c.startWatch(e.kind)
	}
}

// activateEvacuations logs the begin and the end of evacuations and applies the schedule.
func (c *controlLoop) activateEvacuations(now time.Duration, changes []evacuation.Change) {
	for _, change := range changes {
		c.logEvacuation(now, change)
		if !change.Evacuated {
			c.markReturnedWarmingUp(now, change.Zone)
		}
	}
	c.advanceEvacuations(now)
	if len(changes) > 0 {
		c.metrics.evacuatedZones.Update(int64(c.evacuations.schedule.EvacuatedZones()))
	}
}

// advanceEvacuations applies the schedule of evacuations to the balancer and, if this instance is the
// leader, to the holders of keys. It does nothing unless a zone is being evacuated or returns.
func (c *controlLoop) advanceEvacuations(now time.Duration) {
	schedule := c.evacuations.schedule
	if !schedule.Advance(now) {
		return
	}
	var changed []routing.Target
	for _, t := range c.targets.live {
		if schedule.IsChanged(&t) {
			changed = append(changed, t)
		}
	}
	if len(changed) == 0 {
		return
	}
	c.shared.update(func(b *dispatch.Balancer) { b.ChangeTargets(now, schedule.WithoutRequests(changed), nil) })
	if c.leadership != nil {
		c.leadership.grantor.UpdateTargets(c.targetsForKeys(changed), nil)
		c.leadership.planRequested = true
	}
}

// targetsForKeys returns the targets with those marked as draining whose keys have to move to others.
func (c *controlLoop) targetsForKeys(targets []routing.Target) []routing.Target {
	return c.evacuations.schedule.WithoutKeys(c.leaving.withDraining(targets))
}

// markReturnedWarmingUp makes the targets of a zone whose evacuation has ended count as warming up.
func (c *controlLoop) markReturnedWarmingUp(now time.Duration, zone string) {
	config := c.shared.config.Load()
	if config == nil {
		return
	}
	var ids []routing.Lifetime
	for _, t := range c.targets.live {
		if t.Zone == zone && config.Services[t.Service].WarmUpRate > 0 {
			ids = append(ids, t.Lifetime())
		}
	}
	c.shared.update(func(b *dispatch.Balancer) { b.MarkWarmingUp(now, ids, returnWarmUp) })
	c.applyWarmUpChanges(now)
}

// logEvacuation logs the begin or the end of an evacuation with the share of the slots that is in use
// then, and which services have more load than that.
func (c *controlLoop) logEvacuation(now time.Duration, change evacuation.Change) {
	capacities := c.evacuations.schedule.Capacities(maps.Values(c.targets.live))
	event := "zone.returned"
	if change.Evacuated {
		event = "zone.evacuated"
	}
	services := slices.Sorted(maps.Keys(capacities))
	var shares []string
	for _, service := range services {
		shares = append(shares, service+" "+strconv.FormatFloat(capacities[service].RemainingShare, 'f', 2, 64))
	}
	c.log.Info().Str("event", event).Str("zone", change.Zone).Int("evacuated_zones", c.evacuations.schedule.EvacuatedZones()).
		Float64("progress", change.Progress).Bool("leads", c.leadership != nil).Uint64("store_version", uint64(c.evacuations.version)).
		Str("remaining_share", strings.Join(shares, ", ")).Send()
	if !change.Evacuated {
		return
	}
	loads := map[string]float64{}
	c.shared.mu.Lock()
	for _, service := range services {
		loads[service] = c.shared.balancer.ServiceLoad(now, service)
	}
	c.shared.mu.Unlock()
	for _, service := range services {
		if capacity := capacities[service]; capacity.IsShort(loads[service]) {
			c.log.Warn().Str("event", "zone.capacity_short").Str("zone", change.Zone).Str("service", service).
				Float64("load", loads[service]).Int("slots", capacity.RemainingSlots).Float64("remaining_share", capacity.RemainingShare).Send()
		}
	}
}
