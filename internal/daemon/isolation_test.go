package daemon

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/internal/promise"
	"github.com/boragegate/boragegate/store/memory"
)

var _ = Describe("an isolated instance", func() {
	// Guards against an instance that learns of table changes only from the store: while
	// the store is unreachable, it would keep an old version or stop serving.
	It("without the store learns of a table change from its peers in time, and keeps serving", func() {
		s := startSystem(systemConfig{instances: 4, zones: 4, targets: map[string]int{"route": 4}})
		stopLoad := s.startLoad()
		n := s.live()[3]
		n.store.setUnavailable(true)
		time.Sleep(confirmationTimeout)
		for range 3 {
			begin := time.Now()
			version, err := s.apply(s.live()[0], setWeight("route/r1", float64(time.Now().UnixNano()%100+2)))
			Expect(err).NotTo(HaveOccurred())
			Eventually(n.activeTableVersion, time.Until(begin.Add(maxActivationTime)), "5ms").Should(Equal(version))
			ok, reason := n.Ready()
			Expect(ok).To(BeTrue(), reason)
		}
		s.verify(stopLoad())
	})

	// Guards against an instance that keeps serving with an old table, or that forwards
	// requests to targets that other instances have taken over, when it reaches neither
	// the store nor other instances nor servers.
	It("without store, peers and servers stops accepting requests and answers not-run", Label(raceLabel), func() {
		s := startSystem(systemConfig{instances: 4, zones: 4, targets: map[string]int{"route": 4, "order": 4}})
		stopLoad := s.startLoad()
		n := s.live()[3]
		c := promise.NewClients(nil)
		s.network.setIsolated(n.id, true)
		n.store.setUnavailable(true)
		isolatedAt := time.Now()
		var results []promise.Result
		for time.Since(isolatedAt) < confirmationTimeout+time.Second {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			results = append(results, c.Send(ctx, n.CallerAddress(), promise.Result{Service: "route", Key: "k1", Method: http.MethodPut}))
			cancel()
		}
		for range 20 {
			r := c.Send(context.Background(), n.CallerAddress(), promise.Result{Service: "route", Key: "k1", Method: http.MethodPut})
			Expect(r.Outcome).To(Equal(promise.OutcomeNotRun))
			Expect(r.Status).To(Equal(http.StatusServiceUnavailable))
			results = append(results, r)
		}
		ok, _ := n.Ready()
		Expect(ok).To(BeFalse())
		s.network.setIsolated(n.id, false)
		n.store.setUnavailable(false)
		Eventually(func() bool { ok, _ := n.Ready(); return ok }, startTimeout, "20ms").Should(BeTrue())
		s.awaitSettled()
		s.verify(append(stopLoad(), results...))
	})
})

// Guards against a restarted instance that serves with an older table although a newer one
// is active (P8). It must accept no requests before its table version is first confirmed,
// also if the instance list or a replica of the store lags behind.
var _ = DescribeTable("a restarted instance never serves with an older table despite", func(faults memory.Faults) {
	s := startSystem(systemConfig{instances: 3, zones: 3, targets: map[string]int{"route": 3}})
	s.store.SetFaults(faults)
	version, err := s.apply(s.live()[0], setWeight("route/r1", 2))
	Expect(err).NotTo(HaveOccurred())
	s.awaitActive(version)
	previous := s.remove("i3")
	previous.Kill()
	n := s.add("i3", zone(2))
	oldestServed := version
	watch := func() bool {
		ok, _ := n.Ready()
		if v := n.activeTableVersion(); ok && v < oldestServed {
			oldestServed = v
		}
		return ok && n.activeTableVersion() == version
	}
	Eventually(watch, startTimeout, "1ms").Should(BeTrue())
	Expect(oldestServed).To(Equal(version), "served with an older table")
},
	Entry("a stale instance list", memory.Faults{InstanceLag: time.Hour}),
	Entry("a store that returns stale objects", memory.Faults{StaleReads: true}),
)
