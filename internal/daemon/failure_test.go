package daemon

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a takeover that exceeds the time limit, because a controller waits for the
// timeouts of failed servers, the planner waits for the retry of a store write, or a failed
// planner or controller is not replaced.
var _ = DescribeTable("serves keys of all affected targets again within the time limit after the failure of", func(newFailure func(*system) failure) {
	s := startSystem(systemConfig{instances: 8, zones: 4, targets: map[string]int{"route": 8, "order": 4}})
	f := newFailure(s)
	stopLoad := s.startLoad()
	keys := s.keysOf("route", s.affectedTargets("route", f), 2)
	stopProbe := s.startProbe("route", keys, s.survivingAddresses(f))
	time.Sleep(300 * time.Millisecond)
	failedAt := s.injectFailure(f)
	time.Sleep(2 * maxUnavailableTime)
	for key, d := range unavailableTimes(failedAt, stopProbe()) {
		Expect(d).To(And(BeNumerically(">=", 0), BeNumerically("<=", maxUnavailableTime)), key)
	}
	s.verify(stopLoad())
},
	Entry("a server", func(*system) failure { return failure{targets: []string{"route/r2"}} }),
	Entry("an instance", func(s *system) failure { return failure{instances: []string{s.controllerOf("route/r2")}} }),
	Entry("the planner", func(s *system) failure { return failure{instances: []string{s.planner()}} }),
	Entry("a zone", func(s *system) failure { return s.zoneFailure(zone(1)) }),
	Entry("the zone of the planner", func(s *system) failure { return s.zoneFailure(s.node(s.planner()).zone) }),
)
