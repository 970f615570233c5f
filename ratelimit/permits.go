package ratelimit

import (
	"slices"
	"time"

	"github.com/boragegate/boragegate/routing"
)

const (
	// permitTTL is the time for which an instance may use a permit. It bounds what instances send above the limit
	// when it is lowered, and what is wasted when a request that waited has ended meanwhile.
	permitTTL = 300 * time.Millisecond
	// spareInterval is the time for which an instance asks for a spare permit after it could have used one.
	spareInterval = 300 * time.Millisecond
	// requestRefreshInterval is the interval at which an unanswered request for permits is repeated: the leader may
	// have missed it, and the expected wait changes.
	requestRefreshInterval = 100 * time.Millisecond
	// grantDelay is the time that a permit may take to reach the instance when its turn has come.
	grantDelay = 20 * time.Millisecond
	// answerTimeout is the time without an answer of the leader after which an instance that needs permits acts as
	// without a leader.
	answerTimeout = time.Second
	// uncoordinatedFraction is the part of the limit that instances without a leader use together, without permits.
	// The others may use the whole limit meanwhile.
	uncoordinatedFraction = 0.4
	// assumedInstances is the number of instances that an instance assumes if it has not learned it yet.
	assumedInstances = 300
	// minPerSecond is the lowest rate at which requests are sent to a target, whatever its limit: without any
	// response, nobody would learn that the limit has ended.
	minPerSecond = 0.5
)

// effectivePerSecond returns the rate at which requests are sent to a target with the given limit.
func effectivePerSecond(limit float64) float64 { return max(limit, minPerSecond) }

// classCount is the number of priority classes.
const classCount = 4

// Class is the priority class of a request. Class 0 is the most urgent one.
type Class int

// ClassOf returns the class of a route's priority. Low priorities share the last class.
func ClassOf(priority int) Class { return Class(min(max(priority, 0), classCount-1)) }

// Counts has a number of requests for each class.
type Counts [classCount]int

func (c *Counts) sum() int {
	n := 0
	for _, v := range c {
		n += v
	}
	return n
}

// Ticket identifies a request that waits for a permit for a target. The zero value stands for none.
type Ticket struct {
	Target routing.Lifetime
	class  Class
	number uint64 // rising in the order in which requests began to wait
}

// Request asks the leader for permits. The leader has to know from a Notice what the instance knows about the limit.
type Request struct {
	routing.Lifetime
	// Needed is the number of permits that the instance needs now. It replaces the number in earlier requests, of
	// which those that were granted since do not count.
	Needed Counts `msgpack:"q"`
	// MaxWait is the time, by class, within which a permit has to come for a request to wait for it.
	MaxWait [classCount]time.Duration `msgpack:"m"`
	// LastTicket is the number of the last request that waits.
	LastTicket uint64 `msgpack:"l"`
}

// Grant is the leader's answer to a request, or permits that were not available when the instance asked for them.
type Grant struct {
	routing.Lifetime
	// Granted is the number of permits, and Queued the number that follow when they are available.
	Granted Counts `msgpack:"g"`
	Queued  Counts `msgpack:"q"`
	// LastTicket repeats that of the request which this grant answers; it is 0 for permits that were queued. Requests up
	// to this one for which no permit is granted or queued cannot be served in time.
	LastTicket uint64 `msgpack:"l,omitempty"`
	// Unlimited is set if no limit of the target is in force and it does not warm up, as far as the leader knows from all
	// instances.
	Unlimited bool `msgpack:"f,omitempty"`
	// Wait is the expected time, by class, until the instance would get a permit that it asks for now.
	Wait [classCount]time.Duration `msgpack:"w"`
}

// Coordination is an instance's relation to the others that send to the same targets.
type Coordination struct {
	// HasLeader is set if the instance receives state updates from a leader that grants permits, or leads itself.
	HasLeader bool
	// Instances is the number of instances as far as known; 0 if unknown.
	Instances int
	// Spread is a number from 0 to 1 that differs between instances. It spreads what they send without a leader.
	Spread float64
}

// Permits is one instance's part in the rate limit of a target: what it knows about the limit, its unused permits, and
// its requests that wait for one.
type Permits struct {
	Limit
	warmUp warmUp
	// unused has the times at which the unused permits expire, in order.
	unused []time.Duration
	// waiting has the numbers of the tickets of the requests that wait, by class, in order; lastTicket is the last one.
	waiting    [classCount][]uint64
	lastTicket uint64
	// spareUntil is the time until which a spare permit is wanted although no request waits.
	spareUntil time.Duration
	// waitUntil is the time, by class, until which the requests that wait do so.
	waitUntil [classCount]time.Duration
	// requested is what the leader was asked for at requestedAt or has queued since, and answered the LastTicket of its
	// last answer.
	requested   Counts
	requestedAt time.Duration
	answered    uint64
	// unansweredSince is the time of the first request since the leader's last answer; 0 if there was none.
	unansweredSince time.Duration
	// expectedAt is the time by which a permit is expected that is asked for now; 0 if unknown.
	expectedAt [classCount]time.Duration
	// nextUncoordinatedAt is the time at which the instance may send the next request without a leader; 0 while
	// there is one.
	nextUncoordinatedAt time.Duration
}

// Take uses a permit for a request of the class that is to be sent now. The ticket is zero if the request does not wait
// for one yet. Take returns false if the request has to wait or to be rejected.
func (p *Permits) Take(now time.Duration, class Class, ticket Ticket, c Coordination) bool {
	if !p.Available(now, class, ticket, c) {
		return false
	}
	if len(p.unused) > 0 {
		p.unused = p.unused[1:]
	} else {
		p.nextUncoordinatedAt = now + p.uncoordinatedInterval(now, c)
	}
	return true
}

// Available reports whether Take would return true. Permits that are left for requests that wait and are more urgent, or
// as urgent and wait longer, do not count.
func (p *Permits) Available(now time.Duration, class Class, ticket Ticket, c Coordination) bool {
	p.dropExpired(now)
	ahead := p.ahead(class, ticket)
	if p.isCoordinated(now, c) {
		p.nextUncoordinatedAt = 0
		return len(p.unused) > ahead
	}
	if p.nextUncoordinatedAt == 0 {
		p.nextUncoordinatedAt = now + time.Duration(c.Spread*float64(p.uncoordinatedInterval(now, c)))
	}
	return len(p.unused) > ahead || ahead == 0 && now >= p.nextUncoordinatedAt
}

// isCoordinated reports whether the leader grants permits.
func (p *Permits) isCoordinated(now time.Duration, c Coordination) bool {
	return c.HasLeader && (p.unansweredSince == 0 || now-p.unansweredSince < answerTimeout)
}

// ahead returns the number of requests that wait and get a permit before the request of the class with the ticket.
func (p *Permits) ahead(class Class, ticket Ticket) int {
	n := 0
	for other := range class {
		n += len(p.waiting[other])
	}
	if i := slices.Index(p.waiting[class], ticket.number); i >= 0 {
		return n + i
	}
	return n + len(p.waiting[class])
}

// IsRefused reports whether a request that waits will not get a permit in time, as far as the leader has said.
func (p *Permits) IsRefused(now time.Duration, ticket Ticket, c Coordination) bool {
	p.dropExpired(now)
	return p.isCoordinated(now, c) && ticket.number <= p.answered && p.ahead(ticket.class, ticket) >= len(p.unused)+p.requested.sum()
}

// GiveBack returns a permit that was taken for a request that is not sent after all.
func (p *Permits) GiveBack(now time.Duration) { p.unused = append(p.unused, now+permitTTL) }

// Wait returns the expected time until a request of the class that does not wait yet gets a permit. It returns false if
// that is only an estimate from what this instance does itself, because the leader has not said yet.
func (p *Permits) Wait(now time.Duration, class Class, c Coordination) (time.Duration, bool) {
	if !p.isCoordinated(now, c) {
		ahead := time.Duration(p.ahead(class, Ticket{})) * p.uncoordinatedInterval(now, c)
		return max(p.nextUncoordinatedAt-now, 0) + ahead, true
	}
	if p.expectedAt[class] > now {
		return p.expectedAt[class] - now, true
	}
	return time.Duration(float64(p.waitingCounts().sum()+1) / effectivePerSecond(p.Rate(now)) * float64(time.Second)), false
}

// StartWaiting records that a request of the class waits for a permit for the target until the given time.
func (p *Permits) StartWaiting(target routing.Lifetime, class Class, until time.Duration) Ticket {
	if len(p.waiting[class]) == 0 {
		p.waitUntil[class] = 0
	}
	p.lastTicket++
	p.waiting[class] = append(p.waiting[class], p.lastTicket)
	p.waitUntil[class] = max(p.waitUntil[class], until)
	return Ticket{Target: target, class: class, number: p.lastTicket}
}

// StopWaiting records that a request waits no more.
func (p *Permits) StopWaiting(t Ticket) {
	if i := slices.Index(p.waiting[t.class], t.number); i >= 0 {
		p.waiting[t.class] = slices.Delete(p.waiting[t.class], i, i+1)
	}
}

func (p *Permits) waitingCounts() *Counts {
	var counts Counts
	for class, tickets := range p.waiting {
		counts[class] = len(tickets)
	}
	return &counts
}

// WantSpare records that a request could have used a permit but is served by another target.
func (p *Permits) WantSpare(now time.Duration) { p.spareUntil = now + spareInterval }

// needed returns the number of permits that the instance lacks. The unused ones go to the most urgent requests.
func (p *Permits) needed(now time.Duration) Counts {
	p.dropExpired(now)
	if !p.Applies(now) {
		return Counts{}
	}
	unused := len(p.unused)
	needed := *p.waitingCounts()
	waiting := needed.sum()
	for class := range needed {
		covered := min(needed[class], unused)
		needed[class] -= covered
		unused -= covered
	}
	if waiting == 0 && unused == 0 && now < p.spareUntil {
		needed[classCount-1] = 1
	}
	return needed
}

// TakeRequest returns what to ask the leader for. It returns false if there is nothing new to tell it.
func (p *Permits) TakeRequest(now time.Duration, id routing.Lifetime) (Request, bool) {
	r := Request{Lifetime: id, Needed: p.needed(now), LastTicket: p.lastTicket}
	isRefreshDue := r.Needed.sum() > 0 && now-p.requestedAt >= requestRefreshInterval
	if r.Needed == p.requested && !isRefreshDue {
		return Request{}, false
	}
	p.requested, p.requestedAt = r.Needed, now
	if r.Needed.sum() == 0 {
		p.unansweredSince = 0
	} else if p.unansweredSince == 0 {
		p.unansweredSince = now
	}
	for class, tickets := range p.waiting {
		r.MaxWait[class] = spareInterval
		if len(tickets) > 0 {
			r.MaxWait[class] = max(p.waitUntil[class]-now-grantDelay, 0)
		}
	}
	return r, true
}

// NeedsNothing reports whether TakeRequest would return false until a request waits or wants a spare permit, or a grant
// arrives.
func (p *Permits) NeedsNothing(now time.Duration) bool {
	return p.requested.sum()+p.waitingCounts().sum() == 0 && now >= p.spareUntil
}

// ForgetRequests records that the leader has lost, or not received, what the instance asked for.
func (p *Permits) ForgetRequests() {
	p.requested, p.answered, p.unansweredSince, p.expectedAt = Counts{}, 0, 0, [classCount]time.Duration{}
}

// ApplyGrant applies a grant of the leader. It reports whether this ends the limit that the target names.
func (p *Permits) ApplyGrant(now time.Duration, g *Grant) bool {
	p.unansweredSince = 0
	if g.Unlimited {
		p.warmUp.applyUnlimited(now)
		isKnown := p.NamedAt <= p.requestedAt // the leader knew the last response with the limit
		return isKnown && p.ObserveUnnamed(p.NamedAt)
	}
	p.requested, p.answered = g.Queued, max(p.answered, g.LastTicket)
	for _, n := range g.Granted {
		p.unused = append(p.unused, slices.Repeat([]time.Duration{now + permitTTL}, max(n, 0))...)
	}
	for class, wait := range g.Wait {
		p.expectedAt[class] = now + wait
	}
	return false
}

func (p *Permits) dropExpired(now time.Duration) {
	for len(p.unused) > 0 && p.unused[0] <= now {
		p.unused = p.unused[1:]
	}
}

// uncoordinatedInterval returns the time between two requests of an instance without a leader.
func (p *Permits) uncoordinatedInterval(now time.Duration, c Coordination) time.Duration {
	instances := c.Instances
	if instances <= 0 {
		instances = assumedInstances
	}
	return time.Duration(float64(instances) / (uncoordinatedFraction * effectivePerSecond(p.Rate(now))) * float64(time.Second))
}
