package daemon

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a takeover that exceeds the time limit, because a controller waits for the
// timeouts of failed servers, the planner waits for the retry of a store write, or a failed
// planner or controller is not replaced.
var _ = DescribeTable("serves every key again within the time limit after the failure of", func(what func(*system) loss) {
	s := start(shape{instances: 8, zones: 4, targets: map[string]int{"route": 8, "order": 4}})
	l := what(s)
	stopLoad := s.load()
	keys := s.keysOf("route", s.affected("route", l), 2)
	stopProbe := s.probe("route", keys, s.entriesAfter(l))
	time.Sleep(300 * time.Millisecond)
	at := s.inflict(l)
	time.Sleep(2 * unavailableLimit)
	for key, d := range unavailable(at, stopProbe()) {
		Expect(d).To(And(BeNumerically(">=", 0), BeNumerically("<=", unavailableLimit)), key)
	}
	s.verify(stopLoad())
},
	Entry("a server", func(*system) loss { return loss{targets: []string{"route/r2"}} }),
	Entry("an instance", func(s *system) loss { return loss{instances: []string{s.controllerOf("route/r2")}} }),
	Entry("the planner", func(s *system) loss { return loss{instances: []string{s.planner()}} }),
	Entry("a zone", func(s *system) loss { return s.inZone(zone(1)) }),
	Entry("the zone of the planner", func(s *system) loss { return s.inZone(s.node(s.planner()).zone) }),
)
