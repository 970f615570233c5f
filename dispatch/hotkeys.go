package dispatch

import (
	"math"
	"time"
)

const (
	// minHotKeyLoad is the load of one key, relative to the capacity of its holder, from which it is separated from the
	// other keys of an overloaded holder. It is that from which the key may be moved to a faster target.
	minHotKeyLoad = 0.5
	// minHotKeyAdmitted is the load of a hot key that is admitted although the other keys take the whole capacity.
	minHotKeyAdmitted = 0.1
	// hotKeyQueueFraction is the part of the longest queue that requests for the hot key of a target may fill. The rest is
	// left to its other keys.
	hotKeyQueueFraction = 0.6
	// hotKeyRounds times the slots of a target is the number of requests for its hot key that all instances together may have
	// there: those that run, and as many that wait. A report is too old for that as soon as several instances have acted on it.
	hotKeyRounds = 2
	// keyCountHalfLife is the age at which a request counts half when an instance looks for a dominant key, and
	// minDominantCount the number of requests from which it takes one for hot. It does so for congestedTime after a report
	// of a queue that takes more than a service time, and for otherKeysTTL after a request for another key; otherwise there
	// are no requests to protect from the key.
	keyCountHalfLife = time.Second
	minDominantCount = 3
	congestedTime    = 2 * time.Second
	otherKeysTTL     = 10 * time.Second
)

// reasonHotKeyNearby is the reason for which a request waits until the hot key of its holder takes less of the queue.
const reasonHotKeyNearby = "hot_key_nearby"

// keyCounts counts the recent requests of this instance for one target: those for its dominant key, as far as there is one,
// and the others.
type keyCounts struct {
	key            int
	count, others  float64
	lastAt         time.Duration
	congestedUntil time.Duration // see congestedTime
	othersUntil    time.Duration // see otherKeysTTL
	publishedIndex int           // like targetState.admissionIndex, for the requests for the published hot key
}

// add counts a request. A key that is requested more often than all others together becomes the dominant one.
func (c *keyCounts) add(now time.Duration, key int) {
	decay := math.Exp2(-float64(now-c.lastAt) / float64(keyCountHalfLife))
	c.count, c.others, c.lastAt = c.count*decay, c.others*decay, now
	if key != c.key && c.count+c.others > 0 {
		c.othersUntil = now + otherKeysTTL
	}
	switch {
	case key == c.key:
		c.count++
	case c.others+1 > c.count:
		c.key, c.count, c.others = key, 1, c.count
	default:
		c.others++
	}
}

// hotKey returns the key of the target that takes most of its load: the one that the leader has published or, without one,
// the one that dominates the recent requests of this instance. Few instances see a hot key by themselves before it is published.
func (b *Balancer) hotKey(now time.Duration, t *targetState) (key int, ok bool) {
	if !b.policy.Enabled(HotKeys) {
		return 0, false
	}
	if t.isHotKeyPublished(now) {
		return t.publishedHotKey, true
	}
	decay := math.Exp2(-float64(now-t.keys.lastAt) / float64(keyCountHalfLife))
	return t.keys.key, t.keys.count*decay >= minDominantCount && t.keys.count > t.keys.others && now < min(t.keys.congestedUntil, t.keys.othersUntil)
}

// isForHotKey reports whether the request is for the hot key of the target, and whether it is for another key although the
// target has a hot key.
func (b *Balancer) isForHotKey(now time.Duration, t *targetState, r *Request) (hot, neighbor bool) {
	if r.Key < 0 {
		return false, false
	}
	key, ok := b.hotKey(now, t)
	return ok && key == r.Key, ok && key != r.Key
}

// offeredLoadFor returns the offered load that decides on a request for an overloaded target, so scaled that maxAdmittedLoad
// of it is admitted, and the position in the quasi-random sequence to use. The hot key gets the capacity that the other keys
// leave, so requests for these are rejected only if their own load exceeds the capacity.
func (b *Balancer) offeredLoadFor(now time.Duration, t *targetState, r *Request) (offered float64, index *int) {
	if !b.policy.Enabled(HotKeys) || t.hotKeyLoad < minHotKeyLoad {
		return t.offeredLoad, &t.admissionIndex
	}
	others := max(t.offeredLoad-t.hotKeyLoad, 0)
	if hot, _ := b.isForHotKey(now, t, r); !hot {
		return others, &t.admissionIndex
	}
	admitted := max(maxAdmittedLoad-others, minHotKeyAdmitted)
	return t.hotKeyLoad * maxAdmittedLoad / admitted, &t.keys.publishedIndex
}

// isHotUnpublished reports whether the request is for a hot key that this instance has found by itself.
func (b *Balancer) isHotUnpublished(now time.Duration, t *targetState, r *Request) bool {
	if t.isHotKeyPublished(now) {
		return false // its share has been subtracted already
	}
	hot, _ := b.isForHotKey(now, t, r)
	return hot
}

// exceedsHotKeyShare reports whether this instance has as many requests at the target as it may have there for the hot key.
func (b *Balancer) exceedsHotKeyShare(now time.Duration, t *targetState, r *Request) bool {
	return t.inFlight >= (hotKeyRounds*t.Slots+b.instanceCount-1)/max(b.instanceCount, 1) && b.isHotUnpublished(now, t, r)
}

func (t *targetState) isHotKeyPublished(now time.Duration) bool {
	return t.hotKeyLoad >= minHotKeyLoad && now-t.offeredLoadAt <= offeredLoadTTL
}

// holdNeighbor holds a request for another key than the hot one of its holder, if it was rejected because of the queue there
// and can still be on time. The queue shrinks, because requests for the hot key may fill only a part of it.
func (b *Balancer) holdNeighbor(now time.Duration, t *targetState, r *Request, d Decision) Decision {
	if d.Verdict != Reject || d.Reason != reasonOverloaded || r.IsHedge || r.Objective <= 0 {
		return d
	}
	if _, neighbor := b.isForHotKey(now, t, r); !neighbor {
		return d
	}
	if now-t.reportedAt > reportHalfLife && now >= t.avoidUntil {
		// All instances keep the requests for the hot key few, which is more certain than an estimate from an old report.
		return Decision{Verdict: Send, Target: d.Target, Load: d.Load, ExpectedLatency: d.ExpectedLatency, ExpectedQueueTime: d.ExpectedQueueTime, ReportAge: d.ReportAge}
	}
	longest := min(time.Duration(latencyLimitFactor*float64(r.Objective))-r.PriorElapsed-b.serviceTime(t), (r.Elapsed+r.Remaining)/2)
	if longest <= r.Elapsed {
		return d
	}
	d.Verdict, d.Reason, d.RetryAfter = Hold, reasonHotKeyNearby, min(roomRecheckInterval, longest-r.Elapsed)
	return d
}

// overloadDelay returns the retry delay for a request whose expected latency exceeds the limit. Callers with a hot key return
// after the time in which the target serves what is offered for the key in a service time.
func (b *Balancer) overloadDelay(now time.Duration, t *targetState, r *Request, excess time.Duration) time.Duration {
	serviceTime := b.serviceTime(t)
	if !b.isHotUnpublished(now, t, r) {
		return excess + serviceTime/2
	}
	perSecond := t.keys.count * math.Ln2 / keyCountHalfLife.Seconds() * float64(max(b.instanceCount, 1))
	offered := perSecond * serviceTime.Seconds() / float64(max(t.Slots, 1))
	b.sequenceIndex++
	return spreadRetryAfter(r, offered*float64(serviceTime), b.quasiRandom(b.sequenceIndex))
}

// spreadRetryAfter returns a retry delay between a third of and the whole longest delay, or of 1.5 times the given mean if that
// is shorter. spread is between 0 and 1. If the longest delay bounded the result afterwards, callers would return together.
func spreadRetryAfter(r *Request, mean, spread float64) time.Duration {
	longest := max(float64(maxRetryAfter), maxRetryAfterFraction*float64(r.Remaining))
	return time.Duration((0.5 + spread) * min(mean, longest/1.5))
}
