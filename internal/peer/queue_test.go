package peer

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Type numbers of the tests, as indexes of testTypes.
const (
	typeLatestOnly byte = iota
	typeUrgent
	typeLow
)

var testTypes = []messageType{{priority: urgent, latestOnly: true}, {priority: urgent}, {priority: low}}

// enqueueText queues a frame with the given text.
func (q *queue) enqueueText(at time.Time, typeNumber byte, text string) {
	q.enqueue(at, typeNumber, testTypes[typeNumber], []byte(text))
}

var t0 = time.Now()

func allowAny(int) bool { return true }

func dequeueAll(q *queue) (frames []string) {
	for {
		f, ok := q.dequeue(t0, allowAny)
		if !ok {
			return frames
		}
		frames = append(frames, string(f))
	}
}

var _ = Describe("queue", func() {
	It("sends urgent messages first, in order, and only the latest message of a latestOnly type", func() {
		// Guards against heartbeats that are delayed by messages of low priority, and against
		// acknowledgements that are outdated when they are sent.
		q := newQueue(func(priority) { Fail("dropped") })
		q.enqueueText(t0, typeLow, "low")
		q.enqueueText(t0, typeLatestOnly, "old ack")
		q.enqueueText(t0, typeUrgent, "order 1")
		q.enqueueText(t0, typeLatestOnly, "ack")
		q.enqueueText(t0, typeUrgent, "order 2")
		Expect(dequeueAll(q)).To(Equal([]string{"order 1", "ack", "order 2", "low"}))
		Expect(q.bytes).To(BeZero())
	})

	It("stays within its limits, keeps the order and drops low-priority messages before urgent ones", func() {
		// Guards against messages of one priority that are sent out of order. The drawn
		// frames are too few to reach the limits, so no message is dropped.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var dropped [2]int
			var enqueued [2][]string
			q := newQueue(func(p priority) { dropped[p]++ })
			size := rapid.IntRange(1, 40_000).Draw(t, "size")
			drawnTypes := rapid.SliceOfN(rapid.SampledFrom([]byte{typeUrgent, typeLow}), 0, 400).Draw(t, "kinds")
			for i, typeNumber := range drawnTypes {
				p := testTypes[typeNumber].priority
				text := fmt.Sprintf("%0*d", size, i)
				enqueued[p] = append(enqueued[p], text)
				lowBefore := len(q.framesByPriority[low])
				urgentDropsBefore := dropped[urgent]
				q.enqueueText(t0, typeNumber, text)
				if dropped[urgent] > urgentDropsBefore && lowBefore > 0 {
					t.Fatal("dropped an urgent message while a low-priority one was queued")
				}
				if q.size() > maxQueuedFrames || q.bytes > maxQueuedBytes {
					t.Fatalf("queue exceeds its limits: %d messages, %d bytes", q.size(), q.bytes)
				}
			}
			want := append(enqueued[urgent][dropped[urgent]:], enqueued[low][dropped[low]:]...)
			NewWithT(t).Expect(dequeueAll(q)).To(HaveExactElements(want))
		})
	})

	It("drops urgent messages that are too old, since they would report an outdated state", func() {
		drops := 0
		q := newQueue(func(priority) { drops++ })
		q.enqueueText(t0, typeUrgent, "old")
		q.enqueueText(t0.Add(time.Second), typeUrgent, "order")
		f, _ := q.dequeue(t0.Add(maxUrgentAge+time.Millisecond), allowAny)
		Expect(string(f)).To(Equal("order"))
		Expect(drops).To(Equal(1))
	})

	It("holds back low-priority messages, but not urgent ones, when the byte budget is used up", func() {
		// Guards against load reports that exceed the byte budget, and against heartbeats that
		// wait for it.
		q := newQueue(func(priority) {})
		q.enqueueText(t0, typeLow, "low")
		_, ok := q.dequeue(t0, func(int) bool { return false })
		Expect(ok).To(BeFalse())
		q.enqueueText(t0, typeUrgent, "order")
		f, ok := q.dequeue(t0, func(int) bool { return false })
		Expect(ok).To(BeTrue())
		Expect(string(f)).To(Equal("order"))
	})
})

var _ = Describe("budget", func() {
	It("keeps the long-term rate, even with frames larger than the burst", func() {
		// Guards against frames larger than the burst that are not charged: the limiter
		// refuses to reserve more than the burst at once.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const perSecond, burst = 3000, 1000
			b := newBudget(perSecond, burst)
			start := time.Now()
			now, sent, largest := start, 0, 0
			for _, n := range rapid.SliceOfN(rapid.IntRange(1, 5000), 1, 100).Draw(t, "frames") {
				for d := b.take(now, n); d > 0; d = b.take(now, n) {
					now = now.Add(d)
				}
				sent += n
				largest = max(largest, n)
			}
			allowed := perSecond*now.Sub(start).Seconds() + float64(burst+largest)
			NewWithT(t).Expect(float64(sent)).To(BeNumerically("<=", allowed+1))
		})
	})
})
