package gateway

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
)

// The simulation in this file compares three strategies for 8 instances to share
// the 6 slots of a target, with requests that arrive evenly at all instances. Times
// are in milliseconds.
const (
	modelInstances   = 8
	modelSlots       = 6
	modelServiceTime = 10.0 // mean, exponentially distributed
	modelHopDelay    = 0.5  // one way between instances, lower bound in docs/design.md, section 3.5
	modelRequests    = 60_000
)

// model is a discrete-event simulation.
type model struct {
	now           float64
	events        eventQueue
	rng           *rand.Rand
	running       int
	peakRunning   int
	overLimitTime float64 // time with more requests at the server than slots
	idleSlotTime  float64 // time with a free slot while a request waits
	waiting       int
	responseTimes []float64
	messages      int // messages between instances
	rejected      int
}

type event struct {
	at float64
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

func (m *model) after(d float64, do func()) { heap.Push(&m.events, event{m.now + d, do}) }

// serve runs a request that arrived at the given time. Its response takes
// returnDelay from the server to the instance that the caller is connected to.
// serve calls onDone when the server is done.
func (m *model) serve(arrived, returnDelay float64, onDone func()) {
	m.running++
	m.peakRunning = max(m.peakRunning, m.running)
	m.after(m.rng.ExpFloat64()*modelServiceTime, func() {
		m.running--
		m.responseTimes = append(m.responseTimes, m.now+returnDelay-arrived)
		onDone()
	})
}

// run offers requests to a sharing strategy at the given utilisation of the
// slots.
func (m *model) run(utilisation float64, arrive func(instance int)) {
	m.rng = rand.New(rand.NewPCG(1, 2))
	rate := utilisation * modelSlots / modelServiceTime
	var next func(n int)
	next = func(n int) {
		arrive(m.rng.IntN(modelInstances))
		if n < modelRequests {
			m.after(m.rng.ExpFloat64()/rate, func() { next(n + 1) })
		}
	}
	m.after(0, func() { next(1) })
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		if m.running > modelSlots {
			m.overLimitTime += e.at - m.now
		}
		if m.running < modelSlots && m.waiting > 0 {
			m.idleSlotTime += e.at - m.now
		}
		m.now = e.at
		e.do()
	}
}

// splitSlots gives each instance its own slots.
func (m *model) splitSlots(slots [modelInstances]int) func(int) {
	var queues [modelInstances][]float64
	var begin func(i int)
	begin = func(i int) {
		if slots[i] == 0 || len(queues[i]) == 0 {
			return
		}
		slots[i]--
		m.waiting--
		arrived := queues[i][0]
		queues[i] = queues[i][1:]
		m.serve(arrived, 0, func() { slots[i]++; begin(i) })
	}
	initialSlots := slots
	return func(i int) {
		if initialSlots[i] == 0 {
			m.rejected++ // an instance without a slot cannot serve
			return
		}
		queues[i] = append(queues[i], m.now)
		m.waiting++
		begin(i)
	}
}

// leasedSlots moves slots on demand: an instance requests a slot from a manager,
// which recalls an idle slot from its holder and grants it.
func (m *model) leasedSlots() func(int) {
	var queues [modelInstances][]float64
	idle := [modelInstances]int{1, 1, 1, 1, 1, 1, 0, 0}
	var pendingRequests []int
	var use func(i int)
	var match func()
	match = func() {
		holder := slices.IndexFunc(idle[:], func(n int) bool { return n > 0 })
		if len(pendingRequests) == 0 || holder < 0 {
			return
		}
		requester := pendingRequests[0]
		pendingRequests = pendingRequests[1:]
		idle[holder]--
		m.messages += 3 // recall, return, grant
		m.after(3*modelHopDelay, func() { idle[requester]++; use(requester) })
		match()
	}
	use = func(i int) {
		if len(queues[i]) > 0 && idle[i] > 0 {
			idle[i]--
			m.waiting--
			arrived := queues[i][0]
			queues[i] = queues[i][1:]
			m.serve(arrived, 0, func() {
				idle[i]++
				use(i)
				m.after(modelHopDelay, match)
			})
		}
		match()
	}
	return func(i int) {
		queues[i] = append(queues[i], m.now)
		m.waiting++
		if idle[i] > 0 {
			use(i)
			return
		}
		m.messages++ // request
		m.after(modelHopDelay, func() { pendingRequests = append(pendingRequests, i); match() })
	}
}

// singleController sends all requests through one instance.
func (m *model) singleController() func(int) {
	free := modelSlots
	type request struct{ arrived, back float64 }
	var queue []request
	var begin func()
	begin = func() {
		if free == 0 || len(queue) == 0 {
			return
		}
		free--
		m.waiting--
		r := queue[0]
		queue = queue[1:]
		m.serve(r.arrived, r.back, func() { free++; begin() })
	}
	return func(i int) {
		r := request{arrived: m.now}
		if i != 0 {
			r.back = modelHopDelay
			m.messages += 2
		}
		m.after(r.back, func() {
			queue = append(queue, r)
			m.waiting++
			begin()
		})
	}
}

// TestSharingModel compares the strategies in one run and prints the table that
// docs/design/traffic.md quotes. It guards against a controller that exceeds
// the slots or leaves a slot idle while a request waits.
func TestSharingModel(t *testing.T) {
	t.Parallel()
	strategies := []struct {
		name  string
		build func(m *model) func(int)
	}{
		{"even split, rounded up (8 slots)", func(m *model) func(int) { return m.splitSlots([modelInstances]int{1, 1, 1, 1, 1, 1, 1, 1}) }},
		{"even split, rounded down (6 of 8)", func(m *model) func(int) { return m.splitSlots([modelInstances]int{1, 1, 1, 1, 1, 1}) }},
		{"leased shares", (*model).leasedSlots},
		{"one instance in front", (*model).singleController},
	}
	for _, utilisation := range []float64{0.5, 0.7, 0.9} {
		for _, strategy := range strategies {
			m := &model{}
			m.run(utilisation, strategy.build(m))
			slices.Sort(m.responseTimes)
			n := float64(len(m.responseTimes))
			t.Logf("load %.1f  %-34s p50 %6.1f ms  p99 %7.1f ms  refused %.2f  over the limit %.3f  idle slot while waiting %.3f  messages/request %.2f",
				utilisation, strategy.name, m.responseTimes[int(n*0.5)], m.responseTimes[int(n*0.99)], float64(m.rejected)/modelRequests,
				m.overLimitTime/m.now, m.idleSlotTime/m.now, float64(m.messages)/modelRequests)
			if strategy.name == "one instance in front" && (m.peakRunning > modelSlots || m.idleSlotTime > 0 || m.rejected > 0) {
				t.Errorf("single controller: %d requests running at the peak, a slot idle for %f ms while requests waited, %d requests rejected; expected at most modelSlots, 0 and 0", m.peakRunning, m.idleSlotTime, m.rejected)
			}
		}
	}
}
