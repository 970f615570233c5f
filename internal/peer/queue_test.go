package peer

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const (
	kindAck     = byte(2)
	kindOrder   = byte(8)
	kindRequest = byte(15)
)

func always(int) bool { return true }

func drain(q *queue) (frames []string) {
	for {
		f, ok := q.next(always)
		if !ok {
			return frames
		}
		frames = append(frames, string(f))
	}
}

var _ = Describe("queue", func() {
	It("sends urgent messages first, in order, and only the latest heartbeat", func() {
		q := newQueue(func(priority) { Fail("dropped") })
		q.put(kindRequest, []byte("low"))
		q.put(kindAck, []byte("old ack"))
		q.put(kindOrder, []byte("order 1"))
		q.put(kindAck, []byte("ack"))
		q.put(kindOrder, []byte("order 2"))
		Expect(drain(q)).To(Equal([]string{"order 1", "ack", "order 2", "low"}))
		Expect(q.bytes).To(BeZero())
	})

	It("stays bounded, keeps order and drops low messages before urgent ones", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var dropped [2]int
			var put [2][]string
			q := newQueue(func(p priority) { dropped[p]++ })
			size := rapid.IntRange(1, 40_000).Draw(t, "size")
			kinds := rapid.SliceOfN(rapid.SampledFrom([]byte{kindOrder, kindRequest}), 0, 400).Draw(t, "kinds")
			for i, kind := range kinds {
				p := messageTypes[kind].priority
				text := fmt.Sprintf("%0*d", size, i)
				put[p] = append(put[p], text)
				before := len(q.lists[low])
				urgentDrops := dropped[urgent]
				q.put(kind, []byte(text))
				if dropped[urgent] > urgentDrops && before > 0 {
					t.Fatal("dropped an urgent message before a low one")
				}
				if q.size() > maxQueued || q.bytes > maxQueuedBytes {
					t.Fatalf("%d messages, %d bytes", q.size(), q.bytes)
				}
			}
			want := append(put[urgent][dropped[urgent]:], put[low][dropped[low]:]...)
			NewWithT(t).Expect(drain(q)).To(HaveExactElements(want))
		})
	})

	It("holds low messages back within the byte budget but not urgent ones", func() {
		q := newQueue(func(priority) {})
		q.put(kindRequest, make([]byte, 10))
		_, ok := q.next(func(int) bool { return false })
		Expect(ok).To(BeFalse())
		q.put(kindOrder, []byte("order"))
		f, ok := q.next(func(int) bool { return false })
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
