package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// zoneLoadDecay is the time in which the weight of a report in the load of its zone falls to 1/e. With 0.7 s, an
	// instance of 75 averaged a few reports only and sent to other zones because of noise.
	zoneLoadDecay = 2 * time.Second
	// zoneLoadMaxAge is the age of the last report from which the load of a zone is unknown.
	zoneLoadMaxAge = 4 * time.Second
	// spilloverInterval is the interval at which the zones that take requests are determined.
	spilloverInterval = 100 * time.Millisecond
	// spilloverMargin is the difference in utilisation from which a zone takes requests from another, and
	// spilloverStopMargin the one below which it takes no more. While one zone sends to another, the other one would
	// have to become busier by both together to send back.
	spilloverMargin, spilloverStopMargin = 0.2, 0.05
	// spilloverRate is the change per second of the fraction of requests that may leave the zone. It is slow compared to
	// a service time, after which reports show the effect.
	spilloverRate = 1.5
	// maxSpilloverStep bounds the time for which the fraction changes in one step after a time without requests.
	maxSpilloverStep = time.Second
	// spilloverStop is the part of the cost of leaving the zone below which the benefit has to fall before the fraction
	// falls. In between, the fraction stays.
	spilloverStop = 0.4
	// spilloverProbe is the fraction of requests that may go to zones of unknown load while leaving would pay if those
	// were idle.
	spilloverProbe = 0.15
)

// ZoneReason is the cause for which a request is sent to another zone.
type ZoneReason string

// Causes for which a request is sent to another zone.
const (
	// HolderElsewhere means that the holder of the key is in another zone.
	HolderElsewhere ZoneReason = "key"
	// NoTargetInZone means that no target in the zone of the instance can receive the request.
	NoTargetInZone ZoneReason = "no_target"
	// ZoneLoadUnknown means that the load of the zone is not known, or that Spillover is disabled. Only the zone cost
	// keeps requests in the zone then.
	ZoneLoadUnknown ZoneReason = "load_unknown"
	// ZoneBusy means that the request belongs to the fraction that may leave because the zone is busier than others.
	ZoneBusy ZoneReason = "zone_busy"
	// ZoneLate means that the request is expected to take more than half of its objective in the zone.
	ZoneLate ZoneReason = "late"
	// ZoneProbe means that the request probes a zone of unknown load.
	ZoneProbe ZoneReason = "probe"
)

// reach is the set of zones, besides that of the instance, whose targets are considered for a request.
type reach struct {
	all bool
	// lower has the zones that are known to be less loaded, unknown those of unknown load.
	lower, unknown bool
	// isComplete is set if no zone would be added by lower and unknown.
	isComplete bool
	reason     ZoneReason
}

// includes reports whether a target is in a zone of the set or in that of the instance.
func (b *Balancer) includes(now time.Duration, r reach, t *targetState) bool {
	return r.all || t.Zone == b.zone || r.lower && t.zoneLoad.takesMore || r.unknown && !t.zoneLoad.isKnown(now)
}

// zoneLoad is the load of the targets of a service in one zone, according to recent reports to this instance.
type zoneLoad struct {
	zone string
	// load and slots are sums over reports with decaying weights, as of reportedAt.
	load, slots float64
	reportedAt  time.Duration
	// targets and targetSlots are the number of targets that are not draining, and of their slots.
	targets, targetSlots int
	// takesMore is set if the load is known to be lower than in the zone of the instance.
	takesMore bool
}

// record adds a report of a target.
func (z *zoneLoad) record(now time.Duration, load, slots int) {
	decay := math.Exp(-float64(now-z.reportedAt) / float64(zoneLoadDecay))
	z.load, z.slots, z.reportedAt = z.load*decay+float64(load), z.slots*decay+float64(slots), now
}

func (z *zoneLoad) isKnown(now time.Duration) bool {
	return z.slots > 0 && now-z.reportedAt <= zoneLoadMaxAge
}

// utilisation returns the number of requests, running or waiting, for each slot.
func (z *zoneLoad) utilisation() float64 { return z.load / z.slots }

// spillover is the state by which the requests of one service leave the zone of the instance.
type spillover struct {
	zones     map[string]*zoneLoad
	own       *zoneLoad
	decidedAt time.Duration
	fractions map[trafficClass]*spilloverFraction
	index     int // position in the quasi-random sequence
}

// spilloverFraction is the fraction of the requests of a class that may leave the zone.
type spilloverFraction struct {
	value     float64
	changedAt time.Duration
}

func (b *Balancer) spilloverOf(service string) *spillover {
	s := b.spillovers[service]
	if s == nil {
		s = &spillover{zones: map[string]*zoneLoad{}, fractions: map[trafficClass]*spilloverFraction{}}
		s.own = s.zone(b.zone)
		b.spillovers[service] = s
	}
	return s
}

func (s *spillover) zone(name string) *zoneLoad {
	z := s.zones[name]
	if z == nil {
		z = &zoneLoad{zone: name}
		s.zones[name] = z
	}
	return z
}

// countInZone adds a target to its zone, and removeFromZone removes it.
func (b *Balancer) countInZone(t *targetState) {
	t.zoneLoad = b.spilloverOf(t.Service).zone(t.Zone)
	if !t.Draining {
		t.zoneLoad.targets++
		t.zoneLoad.targetSlots += t.Slots
	}
}

func (b *Balancer) removeFromZone(t *targetState) {
	if t.zoneLoad != nil && !t.Draining {
		t.zoneLoad.targets--
		t.zoneLoad.targetSlots -= t.Slots
	}
}

// determineZones determines the zones that take requests from this one.
func (s *spillover) determineZones(now time.Duration) {
	if now-s.decidedAt < spilloverInterval {
		return
	}
	s.decidedAt = now
	for _, z := range s.zones {
		margin := spilloverMargin
		if z.takesMore {
			margin = spilloverStopMargin
		}
		z.takesMore = z != s.own && z.targets > 0 && z.isKnown(now) && z.utilisation() < s.own.utilisation()-margin
	}
}

// reachOf returns the zones that are considered first for a request.
func (b *Balancer) reachOf(now time.Duration, r *Request) reach {
	s := b.spilloverOf(r.Service)
	switch {
	case !b.policy.Enabled(Spillover):
		return reach{all: true, reason: ZoneLoadUnknown}
	case s.own.targets == 0:
		return reach{all: true, reason: NoTargetInZone}
	case !s.own.isKnown(now):
		return reach{all: true, reason: ZoneLoadUnknown}
	}
	s.determineZones(now)
	lowest, unknown := math.Inf(1), false
	for _, z := range s.zones {
		if z.takesMore {
			lowest = min(lowest, z.utilisation())
		}
		unknown = unknown || z != s.own && z.targets > 0 && !z.isKnown(now)
	}
	serviceTime, cost := float64(b.totalsOf(r.Service).meanServiceTime()), float64(b.zoneCost(r))
	slots := float64(s.own.targetSlots) / float64(s.own.targets)
	// latency returns the expected latency at a target with the given utilisation, like estimate.
	latency := func(utilisation float64) float64 { return serviceTime * max(1, utilisation+1/slots) }
	ownLatency := latency(s.own.utilisation())
	fraction := s.fraction(now, trafficClass{r.Service, r.Kind})
	if math.IsInf(lowest, 1) {
		fraction.move(now, -1)
	} else if benefit := ownLatency - latency(lowest); benefit > cost {
		fraction.move(now, 1)
	} else if benefit < spilloverStop*cost {
		fraction.move(now, -1)
	} else {
		fraction.move(now, 0)
	}
	s.index++
	x := b.quasiRandom(s.index)
	out := reach{lower: x < fraction.value, unknown: unknown && x < spilloverProbe && ownLatency-serviceTime > cost, reason: ZoneBusy}
	out.isComplete = (out.lower || math.IsInf(lowest, 1)) && (out.unknown || !unknown)
	if !out.lower {
		out.reason = ZoneProbe
	}
	return out
}

func (s *spillover) fraction(now time.Duration, class trafficClass) *spilloverFraction {
	f := s.fractions[class]
	if f == nil {
		f = &spilloverFraction{changedAt: now}
		s.fractions[class] = f
	}
	return f
}

// move raises or lowers the fraction by the time since the last call.
func (f *spilloverFraction) move(now time.Duration, direction float64) {
	elapsed := min(max(now-f.changedAt, 0), maxSpilloverStep)
	f.changedAt = now
	f.value = min(max(f.value+direction*spilloverRate*elapsed.Seconds(), 0), 1)
}

// SpilloverState shows how the requests of a service leave the zone of the instance.
type SpilloverState struct {
	Service string
	// Fraction is the largest fraction, over the kinds of requests, that may leave the zone.
	Fraction float64
	// Utilisation is the number of requests for each slot in the zone.
	Utilisation float64
	// Zones are the zones that take requests.
	Zones []string
}

// Spillovers returns the states of the services of which a part of the requests may leave the zone, ordered by name.
func (b *Balancer) Spillovers() []SpilloverState {
	var list []SpilloverState
	for service, s := range b.spillovers {
		state := SpilloverState{Service: service}
		for _, f := range s.fractions {
			state.Fraction = max(state.Fraction, f.value)
		}
		if state.Fraction == 0 {
			continue
		}
		state.Utilisation = s.own.utilisation()
		for _, z := range s.zones {
			if z.takesMore {
				state.Zones = append(state.Zones, z.zone)
			}
		}
		slices.Sort(state.Zones)
		list = append(list, state)
	}
	slices.SortFunc(list, func(a, b SpilloverState) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// setZoneReason states why a request is sent to another zone, if it is.
func (b *Balancer) setZoneReason(r *Request, d *Decision, reason ZoneReason) {
	switch {
	case d.Verdict != Send || d.Target.Zone == b.zone:
		d.LeavesZone = ""
	case r.Key >= 0:
		d.LeavesZone = HolderElsewhere
	default:
		d.LeavesZone = cmp.Or(reason, NoTargetInZone)
	}
}
