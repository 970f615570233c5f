package peer

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Types of the tests: latest replaces a queued frame of its kind.
const (
	kindLatest byte = iota
	kindUrgent
	kindLow
)

var testTypes = []messageType{{priority: urgent, latestOnly: true}, {priority: urgent}, {priority: low}}

func (q *queue) enqueueText(at time.Time, kind byte, text string) {
	q.enqueue(at, kind, testTypes[kind], []byte(text))
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
	It("sends urgent messages first, in order, and only the latest heartbeat", func() {
		q := newQueue(func(priority) { Fail("dropped") })
		q.enqueueText(t0, kindLow, "low")
		q.enqueueText(t0, kindLatest, "old ack")
		q.enqueueText(t0, kindUrgent, "order 1")
		q.enqueueText(t0, kindLatest, "ack")
		q.enqueueText(t0, kindUrgent, "order 2")
		Expect(dequeueAll(q)).To(Equal([]string{"order 1", "ack", "order 2", "low"}))
		Expect(q.bytes).To(BeZero())
	})

	It("stays bounded, keeps order and drops low messages before urgent ones", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var dropped [2]int
			var put [2][]string
			q := newQueue(func(p priority) { dropped[p]++ })
			size := rapid.IntRange(1, 40_000).Draw(t, "size")
			kinds := rapid.SliceOfN(rapid.SampledFrom([]byte{kindUrgent, kindLow}), 0, 400).Draw(t, "kinds")
			for i, kind := range kinds {
				p := testTypes[kind].priority
				text := fmt.Sprintf("%0*d", size, i)
				put[p] = append(put[p], text)
				before := len(q.framesByPriority[low])
				urgentDrops := dropped[urgent]
				q.enqueueText(t0, kind, text)
				if dropped[urgent] > urgentDrops && before > 0 {
					t.Fatal("dropped an urgent message before a low one")
				}
				if q.size() > maxQueuedFrames || q.bytes > maxQueuedBytes {
					t.Fatalf("%d messages, %d bytes", q.size(), q.bytes)
				}
			}
			want := append(put[urgent][dropped[urgent]:], put[low][dropped[low]:]...)
			NewWithT(t).Expect(dequeueAll(q)).To(HaveExactElements(want))
		})
	})

	It("drops urgent messages that are too old, which would report a past state", func() {
		drops := 0
		q := newQueue(func(priority) { drops++ })
		q.enqueueText(t0, kindUrgent, "old")
		q.enqueueText(t0.Add(time.Second), kindUrgent, "order")
		f, _ := q.dequeue(t0.Add(maxUrgentAge+time.Millisecond), allowAny)
		Expect(string(f)).To(Equal("order"))
		Expect(drops).To(Equal(1))
	})

	It("holds low messages back within the byte budget but not urgent ones", func() {
		q := newQueue(func(priority) {})
		q.enqueueText(t0, kindLow, "low")
		_, ok := q.dequeue(t0, func(int) bool { return false })
		Expect(ok).To(BeFalse())
		q.enqueueText(t0, kindUrgent, "order")
		f, ok := q.dequeue(t0, func(int) bool { return false })
		Expect(ok).To(BeTrue())
		Expect(string(f)).To(Equal("order"))
	})
})

var _ = Describe("budget", func() {
	It("keeps the long-run rate, frames above the burst included", func() {
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
