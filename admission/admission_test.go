package admission

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/boragegate/boragegate/internal/seedtest" // fixes the random seed
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second) // the default of 1 s is too short on a busy machine
	RunSpecs(t, "admission")
}

var _ = Describe("Gate", func() {
	var (
		clock *clockwork.FakeClock
		gate  *Gate
		order chan string
	)
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		gate = NewGate(Limits{Slots: 2, QueueLength: 8}, clock)
		order = make(chan string, 32)
	})
	request := func(key string, c Class) Request {
		return Request{Class: c, Key: key, Deadline: clock.Now().Add(time.Second)}
	}
	acquire := func(r Request) *Permit {
		GinkgoHelper()
		permit, err := gate.Acquire(context.Background(), r)
		Expect(err).NotTo(HaveOccurred())
		return permit
	}
	// queue makes a request wait. Its key is sent to order when it is admitted.
	queue := func(ctx context.Context, r Request) (result chan error) {
		GinkgoHelper()
		before := gate.Load().Queued
		result = make(chan error, 1)
		go func() {
			permit, err := gate.Acquire(ctx, r)
			if err == nil {
				order <- r.Key
				permit.Release()
			}
			result <- err
		}()
		Eventually(func() int { return gate.Load().Queued }).Should(Equal(before + 1))
		return result
	}
	reasonOf := func(err error) Reason {
		rejection := new(RejectionError)
		Expect(errors.As(err, &rejection)).To(BeTrue(), "%v", err)
		return rejection.Reason
	}

	It("serves keys round-robin and limits each key's share of the queue", func() {
		// Guards against a hot key that delays or displaces all others.
		a, b := acquire(request("hot", Interactive)), acquire(request("hot", Interactive))
		queue(context.Background(), request("hot", Interactive))
		queue(context.Background(), request("hot", Interactive))
		_, err := gate.Acquire(context.Background(), request("hot", Interactive))
		Expect(reasonOf(err)).To(Equal(ReasonKeyShare))
		queue(context.Background(), request("cold", Interactive))
		a.Release()
		Eventually(order).Should(HaveLen(3))
		Expect([]string{<-order, <-order, <-order}).To(Equal([]string{"hot", "cold", "hot"}))
		b.Release()
	})

	It("reserves slots for each class while both wait", func() {
		// Guards against bulk requests that occupy all slots, and against interactive requests
		// that do.
		bulk := acquire(request("pack", Bulk))
		queue(context.Background(), request("pack2", Bulk))
		short := acquire(request("call", Interactive))
		queue(context.Background(), request("call2", Interactive))
		short.Release()
		Eventually(order).Should(Receive(Equal("call2")))
		Consistently(order, "20ms").ShouldNot(Receive())
		bulk.Release()
		Eventually(order).Should(Receive(Equal("pack2")))
	})

	It("alternates between the classes if there is a single slot", func() {
		// Guards against one class that keeps the only slot while the other waits.
		gate.SetLimits(Limits{Slots: 1, QueueLength: 8})
		permit := acquire(request("first", Interactive))
		for _, key := range []string{"b1", "b2"} {
			queue(context.Background(), request(key, Bulk))
		}
		for _, key := range []string{"i1", "i2"} {
			queue(context.Background(), request(key, Interactive))
		}
		permit.Release()
		Eventually(order).Should(HaveLen(4))
		Expect([]string{<-order, <-order, <-order, <-order}).To(Equal([]string{"b1", "i1", "b2", "i2"}))
	})

	It("rejects a request at once if it cannot finish by its deadline", func() {
		// Guards against requests that wait although they will miss their deadline, and then occupy
		// a slot for a caller that no longer waits.
		permit := acquire(request("k", Interactive))
		clock.Advance(400 * time.Millisecond)
		permit.Release()
		acquire(request("a", Interactive))
		acquire(request("b", Interactive))
		queue(context.Background(), request("c", Interactive))
		late := request("d", Interactive)
		late.Deadline = clock.Now().Add(250 * time.Millisecond)
		_, err := gate.Acquire(context.Background(), late)
		Expect(reasonOf(err)).To(Equal(ReasonDeadline))
	})

	It("removes a request from the queue when its context is canceled", func() {
		// Guards against a queue that fills with requests whose callers have disconnected.
		acquire(request("a", Interactive))
		acquire(request("b", Interactive))
		ctx, cancel := context.WithCancel(context.Background())
		result := queue(ctx, request("c", Interactive))
		cancel()
		Eventually(result).Should(Receive(MatchError(context.Canceled)))
		Expect(gate.Load().Queued).To(BeZero())
	})

	It("enforces the rate limit and the pause of the server", func() {
		// Guards against more requests per second than the limit, and against requests to a server
		// that has asked for a pause.
		gate.SetLimits(Limits{Slots: 50, QueueLength: 8, Rate: 10})
		acquire(request("a", Interactive)).Release()
		r := request("b", Interactive)
		r.Deadline = clock.Now().Add(50 * time.Millisecond)
		_, err := gate.Acquire(context.Background(), r)
		Expect(reasonOf(err)).To(Equal(ReasonRate))
		clock.Advance(100 * time.Millisecond)
		gate.Pause(time.Hour)
		_, err = gate.Acquire(context.Background(), request("c", Interactive))
		Expect(reasonOf(err)).To(Equal(ReasonShedding))
		clock.Advance(maxPause)
		acquire(request("d", Interactive)).Release()
	})
})

// TestFairQueue guards against waiters of a key that are lost, duplicated or reordered by any
// sequence of calls.
func TestFairQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q fairQueue
		waiting := map[string][]*waiter{}
		n := 0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			key := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
			switch ws := waiting[key]; rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				w := &waiter{req: Request{Key: key}}
				q.push(w)
				waiting[key] = append(ws, w)
				n++
			case 1:
				if len(ws) > 0 {
					q.remove(ws[len(ws)-1])
					waiting[key] = ws[:len(ws)-1]
					n--
				}
			case 2:
				w := q.pop()
				if (w == nil) != (n == 0) {
					t.Fatalf("pop returned %v with %d requests waiting", w, n)
				}
				if w == nil {
					continue
				}
				if ws := waiting[w.req.Key]; ws[0] != w {
					t.Fatalf("requests of key %s are not served in order of arrival", w.req.Key)
				}
				waiting[w.req.Key] = waiting[w.req.Key][1:]
				n--
			}
			if q.len != n || q.keyLen(key) != len(waiting[key]) {
				t.Fatalf("queue length is %d, want %d", q.len, n)
			}
		}
	})
}
