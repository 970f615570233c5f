package daemon

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against take-overs that exceed the bound: a controller that waits for
// time-outs of lost servers, a planner that waits for the store's retry, a lost
// planner or controller that nobody replaces.
var _ = DescribeTable("serves every key again within the bound after the loss of", func(what func(*system) failure) {
	s := startSystem(systemConfig{instances: 8, zones: 4, targets: map[string]int{"route": 8, "order": 4}})
	l := what(s)
	stopLoad := s.startLoad()
	keys := s.keysOf("route", s.affectedTargets("route", l), 2)
	stopProbe := s.startProbe("route", keys, s.survivingAddresses(l))
	time.Sleep(300 * time.Millisecond)
	at := s.injectFailure(l)
	time.Sleep(2 * maxUnavailableTime)
	for key, d := range unavailableTimes(at, stopProbe()) {
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
