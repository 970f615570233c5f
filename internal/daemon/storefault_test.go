package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/internal/promise"
	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/store/memory"
	"github.com/boragegate/boragegate/table/tablestore"
)

// outageDuration is the duration of a store outage. It is longer than the timeouts of all
// calls and than tablesync.ConfirmationTTL.
const outageDuration = 10 * time.Second

// storedAssignment returns the assignment of a service in the store.
func (s *system) storedAssignment(service string) *placement.Assignment {
	obj, err := s.store.Get(context.Background(), "assignment", testCell+"."+service)
	Expect(err).NotTo(HaveOccurred())
	a := &placement.Assignment{}
	Expect(json.Unmarshal(obj.Value, a)).To(Succeed())
	return a
}

var _ = Describe("while the store is faulty", func() {
	// Guards against ownership that ends when the store is unavailable, a server failure
	// that is not handled meanwhile, and provisional changes that are reverted when the
	// store is available again.
	It("ownership is kept, the failure of a server is handled, and no change is reverted", func() {
		s := startSystem(systemConfig{instances: 4, zones: 4, targets: map[string]int{"route": 8, "order": 4}})
		before := s.storedAssignment("route")
		stopLoad := s.startLoad()
		s.store.SetFaults(memory.Faults{Down: true})
		outageStart := time.Now()
		time.Sleep(500 * time.Millisecond)
		unaffectedKeys := s.keysOf("route", []string{"r1", "r3", "r5"}, 1)
		affectedKeys := s.keysOf("route", []string{"r2"}, 2)
		stopProbe := s.startProbe("route", append(affectedKeys, unaffectedKeys...), s.readyAddresses())
		time.Sleep(300 * time.Millisecond)
		failedAt := s.injectFailure(failure{targets: []string{"route/r2"}})
		time.Sleep(time.Until(outageStart.Add(outageDuration)))
		Expect(s.readyAddresses()).To(HaveLen(4), "instances in contact stopped serving")
		probed := stopProbe()
		for key, d := range unavailableTimes(failedAt, probed) {
			Expect(d).To(And(BeNumerically(">=", 0), BeNumerically("<=", maxUnavailableTime)), key)
		}
		for _, r := range probed {
			if r.Key == unaffectedKeys[0] || r.Key == unaffectedKeys[1] || r.Key == unaffectedKeys[2] {
				Expect(r.Outcome).To(Equal(promise.OutcomeRun), "a key that the failure does not affect")
			}
		}
		duringOutage := s.assignment("route")
		Expect(duringOutage.Version).To(BeNumerically(">", before.Version))
		s.store.SetFaults(memory.Faults{})
		Eventually(func() uint64 { return s.storedAssignment("route").Version }, "5s", "10ms").Should(BeNumerically(">=", duringOutage.Version))
		after := s.storedAssignment("route")
		for p := range after.Epoch {
			Expect(after.Epoch[p]).To(BeNumerically(">=", duringOutage.Epoch[p]), "partition %d went back to an older epoch", p)
		}
		Expect(after.PartitionsOf("r2")).To(BeEmpty())
		s.verify(stopLoad())
	})

	// Guards against a change that is written twice, reported as failed although it is
	// active, or reported as accepted and then replaced (P8), when the replies of the
	// store are lost.
	It("a table change with lost replies is accepted once", func() {
		s := startSystem(systemConfig{instances: 3, zones: 3, targets: map[string]int{"route": 3}})
		stopLoad := s.startLoad()
		for i := range 3 {
			base := s.table.Version
			s.store.SetFaults(memory.Faults{LoseReplies: true})
			version, err := s.apply(s.live()[i], setWeight("route/r1", float64(2+i)))
			s.store.SetFaults(memory.Faults{})
			Expect(err).NotTo(HaveOccurred())
			Expect(version).To(Equal(base + 1))
			rec, err := s.live()[0].Tables().Get(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(rec.Version).To(Equal(version))
			Expect(rowOf(rec.Table, "route/r1").Weight).To(Equal(float64(2 + i)))
			s.awaitActive(version)
		}
		s.verify(stopLoad())
	})

	// Guards against accepting two changes to the same base version, of which one would be
	// silently lost, and against rejecting both with a conflict (P8).
	It("one of two operators with concurrent changes gets a conflict", Label(raceLabel), func() {
		s := startSystem(systemConfig{instances: 3, zones: 3, targets: map[string]int{"route": 3}})
		for round := range 10 {
			errs := make([]error, 2)
			weights := make([]float64, 2)
			base := s.table.Version
			var wg sync.WaitGroup
			for i := range errs {
				wg.Go(func() {
					t := *s.table
					t.Rows = append(t.Rows[:0:0], s.table.Rows...)
					weights[i] = float64(10 + 2*round + i)
					setWeight("route/r1", weights[i])(&t)
					_, errs[i] = s.live()[i].Tables().Apply(context.Background(), tablestore.Request{Table: &t, Base: base, Operator: "test"})
				})
			}
			wg.Wait()
			winner := 0
			if errs[0] != nil {
				winner = 1
			}
			Expect(errs[winner]).NotTo(HaveOccurred())
			Expect(errors.Is(errs[1-winner], store.ErrConflict)).To(BeTrue(), "%v", errs[1-winner])
			rec, err := s.live()[2].Tables().Get(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(rec.Version).To(Equal(base + 1))
			Expect(rowOf(rec.Table, "route/r1").Weight).To(Equal(weights[winner]))
			s.table = rec.Table
			s.awaitActive(rec.Version)
		}
	})
})

// awaitActive waits until a table version, or a newer one, is active in all instances.
func (s *system) awaitActive(version uint64) {
	GinkgoHelper()
	for _, n := range s.live() {
		Eventually(n.activeTableVersion, maxActivationTime, "5ms").Should(BeNumerically(">=", version), n.id)
	}
}
