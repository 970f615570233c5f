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

var _ = Describe("an instance that is cut off", func() {
	// Guards against an instance that follows the table by the store only.
	It("from the store learns a table change from its peers in time, and serves on", func() {
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

	// Guards against an instance that serves by an old table, or that runs
	// requests at targets that others have taken over.
	It("from everything stops taking requests and says not-run", Label(raceLabel), func() {
		s := startSystem(systemConfig{instances: 4, zones: 4, targets: map[string]int{"route": 4, "order": 4}})
		stopLoad := s.startLoad()
		n := s.live()[3]
		c := promise.NewClients(nil)
		s.network.isolate(n.id, true)
		n.store.setUnavailable(true)
		cut := time.Now()
		var during []promise.Result
		for time.Since(cut) < confirmationTimeout+time.Second {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			during = append(during, c.Send(ctx, n.CallerAddress(), promise.Result{Service: "route", Key: "k1", Method: http.MethodPut}))
			cancel()
		}
		for range 20 {
			r := c.Send(context.Background(), n.CallerAddress(), promise.Result{Service: "route", Key: "k1", Method: http.MethodPut})
			Expect(r.Outcome).To(Equal(promise.OutcomeNotRun))
			Expect(r.Status).To(Equal(http.StatusServiceUnavailable))
			during = append(during, r)
		}
		ok, _ := n.Ready()
		Expect(ok).To(BeFalse())
		s.network.isolate(n.id, false)
		n.store.setUnavailable(false)
		Eventually(func() bool { ok, _ := n.Ready(); return ok }, startTimeout, "20ms").Should(BeTrue())
		s.awaitSettled()
		s.verify(append(stopLoad(), during...))
	})
})

// Guards against a restart that forgets that a newer table is in force (P8): an
// instance takes no requests before its first confirmation, and with a lagging
// list or a lagging replica of the store it must not serve an older table.
var _ = DescribeTable("a restarted instance never serves an older table with", func(faults memory.Faults) {
	s := startSystem(systemConfig{instances: 3, zones: 3, targets: map[string]int{"route": 3}})
	s.store.SetFaults(faults)
	version, err := s.apply(s.live()[0], setWeight("route/r1", 2))
	Expect(err).NotTo(HaveOccurred())
	s.awaitActive(version)
	old := s.remove("i3")
	old.Kill()
	n := s.add("i3", zone(2))
	oldest := version
	watch := func() bool {
		ok, _ := n.Ready()
		if v := n.activeTableVersion(); ok && v < oldest {
			oldest = v
		}
		return ok && n.activeTableVersion() == version
	}
	Eventually(watch, startTimeout, "1ms").Should(BeTrue())
	Expect(oldest).To(Equal(version), "served an older table")
},
	Entry("a stale instance list", memory.Faults{InstanceLag: time.Hour}),
	Entry("a store that reads stale objects", memory.Faults{StaleReads: true}),
)
