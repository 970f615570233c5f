package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/internal/promise"
)

var _ = Describe("a graceful stop", func() {
	// Guards against a stop that closes connections while requests are in flight, or
	// before the load balancer and the other instances have noticed the stop (P7).
	It("of every instance in turn, after its replacement with another ID is ready, cuts off no request", func() {
		s := startSystem(systemConfig{instances: 4, zones: 4, targets: map[string]int{"route": 4, "order": 4}, workTime: 20 * time.Millisecond})
		stopLoad := s.startLoad()
		for i := range 4 {
			s.add(fmt.Sprintf("new%d", i+1), zone(i))
			Eventually(s.readyAddresses, startTimeout, "20ms").Should(HaveLen(5))
			Expect(s.stopInstance(fmt.Sprintf("i%d", i+1))).To(Succeed())
		}
		s.awaitSettled()
		results := stopLoad()
		Expect(promise.CheckNotInterrupted(results)).To(BeEmpty())
		s.verify(results)
	})

	// Guards against a stop that returns as soon as all targets are handed over, although
	// a request that began before is still running (P7).
	It("waits for a request that outlasts the handover", Label(raceLabel), func() {
		s := startSystem(systemConfig{instances: 3, zones: 3, targets: map[string]int{"route": 3}, workTime: 800 * time.Millisecond})
		n := s.live()[0]
		c := promise.NewClients(nil)
		keys := s.keysOf("route", []string{"r1", "r2", "r3"}, 1) // at least one is forwarded
		results := make([]promise.Result, len(keys))
		var wg sync.WaitGroup
		for i, key := range keys {
			wg.Go(func() {
				results[i] = c.Send(context.Background(), n.CallerAddress(), promise.Result{Service: "route", Key: key, Method: http.MethodPut})
			})
		}
		Eventually(func() int {
			return s.servers["route/r1"].Running() + s.servers["route/r2"].Running() + s.servers["route/r3"].Running()
		}, "2s", "1ms").Should(Equal(len(keys)))
		Expect(s.stopInstance(n.id)).To(Succeed())
		wg.Wait()
		for _, r := range results {
			Expect(r.Outcome).To(Equal(promise.OutcomeRun), r.ProblemType)
		}
		s.verify(results)
	})

	// Guards against new requests to a drained server after drain_after (P6), and
	// against a drain that cuts off running requests (P7).
	It("of a drained server cuts off no request, and the server gets no new requests after drain_after", func() {
		s := startSystem(systemConfig{instances: 3, zones: 3, targets: map[string]int{"route": 4, "order": 3}, workTime: 20 * time.Millisecond})
		stopLoad := s.startLoad()
		time.Sleep(200 * time.Millisecond)
		begin := time.Now()
		_, err := s.apply(s.live()[0], drain("route/r2"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Until(begin.Add(drainAfter)))
		deadline := time.Now()
		time.Sleep(500 * time.Millisecond)
		Expect(promise.CheckDrained("route", "r2", deadline, s.effects.Snapshot())).To(BeEmpty())
		Expect(s.assignment("route").PartitionsOf("r2")).To(BeEmpty())
		Expect(s.servers["route/r2"].Stop(context.Background())).To(Succeed())
		time.Sleep(500 * time.Millisecond)
		results := stopLoad()
		Expect(promise.CheckNotInterrupted(results)).To(BeEmpty())
		s.verify(results)
	})
})

// Guards against a server that runs requests of its old epoch after a pause longer than its
// lease, while another server owns the keys (P1).
var _ = It("a server that was frozen for longer than its lease runs no request of its old epoch", func() {
	s := startSystem(systemConfig{instances: 3, zones: 3, targets: map[string]int{"route": 4, "order": 3}, workTime: 10 * time.Millisecond})
	stopLoad := s.startLoad()
	for _, name := range []string{"r2", "r3", "r1"} {
		time.Sleep(300 * time.Millisecond)
		owned := func() []int { return s.assignment("route").PartitionsOf(name) }
		Expect(owned()).NotTo(BeEmpty())
		srv := s.servers["route/"+name]
		srv.Pause(0)
		Eventually(owned, "5s", "5ms").Should(BeEmpty())
		time.Sleep(500 * time.Millisecond) // the new owners run requests
		srv.Resume()
		time.Sleep(500 * time.Millisecond)
	}
	s.verify(stopLoad())
})
