package dispatch

import (
	"math"
	"time"
)

const (
	// priorityUseTTL is the age of its last request up to which a priority counts as used. One of 1,000 instances gets a
	// request of a kind with 300 requests/s every 3 s. While a priority counts as used but is not, less urgent requests
	// wait at the instances instead of at the targets, which costs little.
	priorityUseTTL = 30 * time.Second
	// urgentRoomFraction is the part of the time which a request of the most urgent priority may spend in a queue that a
	// queue with less urgent requests may take. In the model at 1.1 times the capacity, 0.1 serves 0.96 of the urgent and
	// 0.57 of the less urgent requests on time, 0.25 serves 0.91 and 0.65, 0.35 serves 0.88 and 0.74 (8 instances).
	urgentRoomFraction = 0.25
	// minUrgentShare is the fraction of the requests for a service that has to be more urgent for the others to yield.
	// The others wait for free slots, of which an instance hears late, so that slots are idle for some of the time.
	minUrgentShare = 0.3
	// shareWeight is the weight of one request in the moving averages of these fractions.
	shareWeight = 1.0 / 128
	// floorFraction is the fraction of the less urgent requests without room that are admitted nevertheless, so that their
	// kind is served at least a quarter as often as all requests.
	floorFraction = 0.3
	// roomRecheckInterval is the time after which a request that waits for room is decided on again at the latest.
	roomRecheckInterval = 40 * time.Millisecond
	// maxHoldWithoutObjective is the time for which a request without an objective waits for room.
	maxHoldWithoutObjective = time.Second
	// recentLoadWeight is the minimum weight of a report in the average load of a service, and recentLoadHalfLife the
	// age at which that average and a report have equal weight.
	recentLoadWeight   = 0.1
	recentLoadHalfLife = time.Second
	// recentLoadTTL is the age up to which the last report of a service is used. Without a later one, requests are admitted
	// as if all had the same priority.
	recentLoadTTL = 3 * time.Second
)

// reasonUrgentFirst is the reason of decisions on requests that leave the queue of a target to more urgent ones.
const reasonUrgentFirst = "urgent_first"

// priorityUse is what is known of the requests of different priorities for one service.
type priorityUse struct {
	// kinds has the priorities of recent requests.
	kinds    map[int]priorityKind
	arrivals int
	// load is a moving average of the load that targets report per slot, and loadAt the time of the last report. One of
	// many instances hears from the service more often than from each of its targets.
	load   float64
	loadAt time.Duration
	// floorCredit grows by floorFraction with each request that is held for room, and each admitted without room uses 1.
	floorCredit map[int]float64
	held        bool // set if a request was held since the last report of room
}

// priorityKind describes the requests of one priority.
type priorityKind struct {
	lastAt    time.Duration
	objective time.Duration // the shortest, 0 if none has an objective
	// share is a moving average of the fraction of the requests for the service that have this priority.
	share float64
}

func (b *Balancer) priorityUseOf(service string) *priorityUse {
	u := b.priorities[service]
	if u == nil {
		u = &priorityUse{kinds: map[int]priorityKind{}, floorCredit: map[int]float64{}, loadAt: -1}
		b.priorities[service] = u
	}
	return u
}

// recordPriority records the arrival of a request of a priority.
func (b *Balancer) recordPriority(now time.Duration, r *Request) {
	u := b.priorityUseOf(r.Service)
	k, known := u.kinds[r.Priority]
	if !known || now-k.lastAt > priorityUseTTL || r.Objective > 0 && r.Objective < k.objective {
		k.objective = r.Objective
	}
	k.lastAt = now
	u.kinds[r.Priority] = k
	u.arrivals++
	weight := max(shareWeight, 1/float64(u.arrivals))
	for p, other := range u.kinds {
		other.share *= 1 - weight
		if p == r.Priority {
			other.share += weight
		}
		u.kinds[p] = other
	}
}

// moreUrgent returns the objective of the most urgent priority in use that is more urgent than the given one, and the
// number of such priorities; 0 if they are only a small part of the requests.
func (u *priorityUse) moreUrgent(now time.Duration, priority int) (objective time.Duration, count int) {
	most, share := priority, 0.0
	for p, k := range u.kinds {
		if p >= priority || now-k.lastAt > priorityUseTTL {
			continue
		}
		count++
		share += k.share
		if p < most {
			most, objective = p, k.objective
		}
	}
	if share < minUrgentShare {
		return 0, 0
	}
	if objective <= 0 {
		objective = defaultObjective
	}
	return objective, count
}

// recordRoom records a load report that was just received from the target, with a result.
func (b *Balancer) recordRoom(now time.Duration, t *targetState, result Result) {
	t.loadAfterReport = t.reportedLoad
	if result == Succeeded {
		t.loadAfterReport = max(t.reportedLoad-1, 0) // the report counts the request that it belongs to
	}
	u := b.priorities[t.Service]
	if u == nil {
		return
	}
	load := float64(t.loadAfterReport) / float64(max(t.Slots, 1))
	weight := 1.0
	if u.loadAt >= 0 {
		weight = max(recentLoadWeight, 1-math.Exp2(-float64(now-u.loadAt)/float64(recentLoadHalfLife)))
	}
	u.load += weight * (load - u.load)
	u.loadAt = now
	if u.held && t.loadAfterReport < t.Slots {
		u.held, b.roomFreed = false, true
	}
}

// TakeRoomFreed reports whether a target has reported a free slot, for which requests are held, since the last call.
func (b *Balancer) TakeRoomFreed() bool {
	freed := b.roomFreed
	b.roomFreed = false
	return freed
}

// leavesRoom reports whether the target can take the request without delaying more urgent requests of
// the service so much that they are late. Without a recent report from a target of the service, it is assumed to.
func (b *Balancer) leavesRoom(now time.Duration, t *targetState, r *Request) bool {
	if !b.policy.Enabled(Priority) || t.permits.Applies(now) {
		return true
	}
	u := b.priorityUseOf(r.Service)
	if u.loadAt < 0 || now-u.loadAt > recentLoadTTL {
		return true
	}
	objective, moreUrgent := u.moreUrgent(now, r.Priority)
	if moreUrgent == 0 {
		return true
	}
	serviceTime := float64(b.serviceTime(t)) * b.relativePace(now, t)
	slots := float64(max(t.Slots, 1))
	fresh := 0.0
	if t.hasReport {
		fresh = math.Exp2(-float64(now-t.reportedAt) / max(float64(reportHalfLife), serviceTime))
	}
	load := float64(t.inFlight) + fresh*float64(max(t.loadAfterReport-t.ownAtReport, 0)) + (1-fresh)*u.load*slots
	longestQueue := urgentRoomFraction / float64(moreUrgent) * max(latencyLimitFactor*float64(objective)-serviceTime, 0)
	if r.missesObjective(b.serviceTime(t)) {
		longestQueue = 0 // late requests leave the room to those that can be on time
	}
	return serviceTime*max((load+1)/slots-1, 0) <= longestQueue
}

// yieldToUrgent holds or rejects a request for which the target has no room that more urgent requests do not need. It returns
// false if the request may be sent as far as its priority is concerned.
func (b *Balancer) yieldToUrgent(now time.Duration, t *targetState, r *Request, d Decision) (Decision, bool) {
	if b.leavesRoom(now, t, r) {
		return d, false
	}
	u := b.priorityUseOf(r.Service)
	credit, known := u.floorCredit[r.Priority]
	if !known {
		credit = b.sequenceOffset
	}
	longest := b.maxRoomWait(t, r)
	if r.HeldFor != reasonUrgentFirst && longest > 0 {
		credit = min(credit+floorFraction, 1)
	}
	if credit >= 1 && r.Elapsed >= longest/2 && longest > 0 {
		u.floorCredit[r.Priority] = credit - 1
		return d, false
	}
	u.floorCredit[r.Priority] = credit
	if r.IsHedge || longest <= r.Elapsed {
		b.sequenceIndex++
		delay := time.Duration((0.5 + b.quasiRandom(b.sequenceIndex)) * float64(max(r.Objective, maxHoldWithoutObjective)) / 2)
		return reject(r, reasonUrgentFirst, max(delay, d.ExpectedQueueTime), d), true
	}
	u.held = true
	d.Verdict, d.Reason, d.RetryAfter = Hold, reasonUrgentFirst, min(roomRecheckInterval, longest-r.Elapsed)
	return d, true
}

// waitsForRoom reports whether the request was held because of the queue of a target.
func (r *Request) waitsForRoom() bool {
	return r.HeldFor == reasonUrgentFirst || r.HeldFor == reasonHotKeyNearby
}

// maxRoomWait returns the time after its arrival up to which a request waits for room so that it can still be on time; 0 if
// it cannot be.
func (b *Balancer) maxRoomWait(t *targetState, r *Request) time.Duration {
	if r.Objective <= 0 {
		return min(maxHoldWithoutObjective, (r.Elapsed+r.Remaining)/2)
	}
	wait := time.Duration(latencyLimitFactor*float64(r.Objective)) - r.PriorElapsed - 2*b.serviceTime(t)
	return max(min(wait, (r.Elapsed+r.Remaining)/2), 0)
}
