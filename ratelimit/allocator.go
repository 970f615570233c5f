package ratelimit

import (
	"slices"
	"time"

	"github.com/boragegate/boragegate/routing"
)

// burstDuration times the limit, plus 1, is the number of permits that may be saved up. It covers twice the interval at
// which the leader calls Tick; otherwise what accrues between a whole permit and the next call would be lost.
const burstDuration = 100 * time.Millisecond

// Allocator grants the permits for all limited targets. The leader has one. K identifies an instance.
//
// Each target has a token bucket, which is empty when the limit becomes known: a new leader does not add to what its
// predecessor has just granted. Requests for permits that are not available queue, the most urgent class first, if their
// turn comes before they have to be rejected. So no permit goes to a request that has ended meanwhile.
type Allocator[K comparable] struct {
	buckets map[routing.Lifetime]*bucket[K]
	// waiting has the buckets with permits that wait. The next of these is available at nextAt, or later if it is no longer
	// needed; calledAt is the time of the last call.
	waiting          map[routing.Lifetime]*bucket[K]
	nextAt, calledAt time.Duration
}

// NewAllocator returns an allocator without limits.
func NewAllocator[K comparable]() *Allocator[K] {
	return &Allocator[K]{buckets: map[routing.Lifetime]*bucket[K]{}, waiting: map[routing.Lifetime]*bucket[K]{}}
}

// bucket is the token bucket of one target.
type bucket[K comparable] struct {
	perSecond float64
	tokens    float64
	filledAt  time.Duration
	// queues has an instance for each permit that it waits for, by class, in the order in which they are granted.
	queues [classCount][]K
}

// SetLimit sets the limit of a target, in requests per second.
func (a *Allocator[K]) SetLimit(now time.Duration, id routing.Lifetime, perSecond float64) {
	b := a.buckets[id]
	if b == nil {
		b = &bucket[K]{filledAt: now}
		a.buckets[id] = b
	}
	b.fill(now)
	b.perSecond = effectivePerSecond(perSecond)
	a.schedule(now, id, b)
}

// RemoveLimit records that a target has no limit any more.
func (a *Allocator[K]) RemoveLimit(id routing.Lifetime) {
	delete(a.buckets, id)
	delete(a.waiting, id)
}

// PerSecond returns the rate at which requests are sent to a target. It returns false if the target has no limit.
func (a *Allocator[K]) PerSecond(id routing.Lifetime) (float64, bool) {
	if b := a.buckets[id]; b != nil {
		return b.perSecond, true
	}
	return 0, false
}

// RemoveInstance forgets what an instance has asked for.
func (a *Allocator[K]) RemoveInstance(instance K) {
	for _, b := range a.buckets {
		for class, queue := range b.queues {
			b.queues[class] = slices.DeleteFunc(queue, func(k K) bool { return k == instance })
		}
	}
}

// Request records the permits that an instance needs. It returns the permits that are available, by instance, always
// with an entry for the instance that asks; nil if the leader knows no limit of the target.
func (a *Allocator[K]) Request(now time.Duration, instance K, r *Request) map[K]Grant {
	b := a.buckets[r.Lifetime]
	if b == nil {
		return nil
	}
	b.fill(now)
	for class := range r.Needed {
		b.queue(instance, class, r.Needed[class], r.MaxWait[class])
	}
	grants := b.grant(r.Lifetime)
	a.schedule(now, r.Lifetime, b)
	answer, ok := grants[instance]
	if !ok {
		answer = b.answer(r.Lifetime, instance, Counts{})
	}
	answer.LastTicket = r.LastTicket
	grants[instance] = answer
	return grants
}

// Tick returns the permits that have become available for requests that wait, by instance.
func (a *Allocator[K]) Tick(now time.Duration) map[K][]Grant {
	grants := map[K][]Grant{}
	a.calledAt = now
	waiting := a.waiting
	a.waiting = make(map[routing.Lifetime]*bucket[K], len(waiting))
	for id, b := range waiting {
		b.fill(now)
		for instance, g := range b.grant(id) {
			grants[instance] = append(grants[instance], g)
		}
		a.schedule(now, id, b)
	}
	return grants
}

// schedule records when the next permit of a bucket is available that has just been filled.
func (a *Allocator[K]) schedule(now time.Duration, id routing.Lifetime, b *bucket[K]) {
	a.calledAt = now
	if b.queued(classCount-1) == 0 {
		delete(a.waiting, id)
		return
	}
	if next := now + b.wait(1); len(a.waiting) == 0 || next < a.nextAt {
		a.nextAt = next
	}
	a.waiting[id] = b
}

// UntilNext returns the time after the last call until Tick has to be called for the next permit. It returns false if no
// request waits for one.
func (a *Allocator[K]) UntilNext() (time.Duration, bool) {
	return max(a.nextAt-a.calledAt, 0), len(a.waiting) > 0
}

func (b *bucket[K]) fill(now time.Duration) {
	burst := 1 + b.perSecond*burstDuration.Seconds()
	b.tokens = min(b.tokens+b.perSecond*max(now-b.filledAt, 0).Seconds(), burst)
	b.filledAt = now
}

// wait returns the time until the bucket has the given number of tokens.
func (b *bucket[K]) wait(tokens int) time.Duration {
	return time.Duration(max(float64(tokens)-b.tokens, 0) / b.perSecond * float64(time.Second))
}

// queued returns the number of permits that are granted before one that is added to the class.
func (b *bucket[K]) queued(class int) int {
	n := 0
	for i := range class + 1 {
		n += len(b.queues[i])
	}
	return n
}

// queue adds or removes permits of an instance in a class so that it waits for as many as it needs. It adds only permits
// that are expected within maxWait.
func (b *bucket[K]) queue(instance K, class, needed int, maxWait time.Duration) {
	current := 0
	for _, k := range b.queues[class] {
		if k == instance {
			current++
		}
	}
	for ; current > max(needed, 0); current-- {
		b.queues[class] = slices.Delete(b.queues[class], b.lastIndex(class, instance), b.lastIndex(class, instance)+1)
	}
	for ; current < needed && b.wait(b.queued(class)+1) <= maxWait; current++ {
		b.queues[class] = append(b.queues[class], instance)
	}
}

// lastIndex returns the index of the last permit of an instance in the queue of a class, or -1.
func (b *bucket[K]) lastIndex(class int, instance K) int {
	for i, k := range slices.Backward(b.queues[class]) {
		if k == instance {
			return i
		}
	}
	return -1
}

// grant uses the available tokens for the permits that wait.
func (b *bucket[K]) grant(id routing.Lifetime) map[K]Grant {
	granted := map[K]Counts{}
	for class := range b.queues {
		for b.tokens >= 1 && len(b.queues[class]) > 0 {
			instance := b.queues[class][0]
			b.queues[class] = b.queues[class][1:]
			b.tokens--
			counts := granted[instance]
			counts[class]++
			granted[instance] = counts
		}
	}
	grants := map[K]Grant{}
	for instance, counts := range granted {
		grants[instance] = b.answer(id, instance, counts)
	}
	return grants
}

// answer returns the grant of the given permits, with what the instance still waits for.
func (b *bucket[K]) answer(id routing.Lifetime, instance K, granted Counts) Grant {
	g := Grant{Lifetime: id, Granted: granted}
	ahead := 0
	for class, queue := range b.queues {
		for _, k := range queue {
			if k == instance {
				g.Queued[class]++
			}
		}
		ahead += len(queue)
		g.Wait[class] = b.wait(ahead + 1)
	}
	return g
}
