package dispatch

import (
	"slices"
	"time"

	"github.com/boragegate/boragegate/routing"
)

const (
	// profileHold is the time for which caller timeouts from a profile are kept. Callers that return
	// after a loss of all are no first attempts, although no request was rejected before.
	profileHold = 10 * time.Second
	// maxUnheardTime bounds the time from the first request for a service without any load report for
	// which late requests are turned away.
	maxUnheardTime = time.Second
	// unheardRetryAfter is the mean delay after which late callers are asked back then. In twice that
	// time, a service at half of its capacity has served what came in during a loss of that length.
	unheardRetryAfter = 1200 * time.Millisecond
)

// reasonStarting is the reason for which late requests are rejected until the load of a service is known.
const reasonStarting = "load_unknown"

// serviceStart is what this instance knows of a service before the first load report.
type serviceStart struct {
	firstRequestAt time.Duration
	heard          bool
}

// Profiles returns what this instance has measured of the requests for each service.
func (b *Balancer) Profiles() map[string]routing.ServiceProfile {
	profiles := map[string]routing.ServiceProfile{}
	for service, totals := range b.serviceTotals {
		if serviceTime := totals.meanServiceTime(); serviceTime > 0 {
			profiles[service] = routing.ServiceProfile{ServiceTime: serviceTime}
		}
	}
	for class, e := range b.callerTimeouts {
		if e.shortest > 0 {
			p := profiles[class.service]
			p.Timeouts = append(p.Timeouts, routing.CallerTimeout{Kind: class.kind, Shortest: e.shortest, Median: e.median})
			profiles[class.service] = p
		}
	}
	for _, p := range profiles {
		slices.SortFunc(p.Timeouts, func(x, y routing.CallerTimeout) int { return int(x.Kind) - int(y.Kind) })
	}
	return profiles
}

// AdoptProfiles uses what other instances have measured where this instance has measured nothing yet.
func (b *Balancer) AdoptProfiles(now time.Duration, profiles map[string]routing.ServiceProfile) {
	if !b.policy.Enabled(Profiles) {
		return
	}
	for service, p := range profiles {
		b.totalsOf(service).adopted = p.ServiceTime
		for _, t := range p.Timeouts {
			class := trafficClass{service, t.Kind}
			if b.callerTimeouts[class] == nil && t.Shortest > 0 {
				b.callerTimeouts[class] = &timeoutEstimator{shortest: t.Shortest, median: t.Median, heldUntil: now + profileHold}
			}
		}
	}
}

func (b *Balancer) startOf(service string) *serviceStart {
	s := b.starts[service]
	if s == nil {
		s = &serviceStart{}
		b.starts[service] = s
	}
	return s
}

// turnAwayLate rejects a request that is late in any case while this instance has had no load report from the service. After
// a loss of all, callers return together: their requests would fill the queues in which others can still be on time.
func (b *Balancer) turnAwayLate(now time.Duration, r *Request) (Decision, bool) {
	s := b.startOf(r.Service)
	if s.heard || !b.policy.Enabled(Profiles) || r.Objective <= 0 {
		return Decision{}, false
	}
	if s.firstRequestAt == 0 {
		s.firstRequestAt = now
	}
	if now-s.firstRequestAt > maxUnheardTime || !r.missesObjective(b.totalsOf(r.Service).meanServiceTime()) {
		return Decision{}, false
	}
	b.sequenceIndex++
	return reject(r, reasonStarting, spreadRetryAfter(r, float64(unheardRetryAfter), b.quasiRandom(b.sequenceIndex)), Decision{ReportAge: -1}), true
}
