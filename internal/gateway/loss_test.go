package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/internal/route"
)

// takeOver makes instance a the controller of t1 at a higher term.
func (s *session) takeOver() {
	s.publish(s.a, "t1", "t1")
	snapshot := *s.a.routes.Load()
	for _, t := range snapshot.Services["route"].Targets {
		t.Term++
	}
	s.a.routes.Store(&route.Snapshot{Serving: true, Services: snapshot.Services})
}

var _ = Describe("controllerMonitor", func() {
	timedOut := &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}

	DescribeTable("ends the wait for a response only if the controller is unreachable",
		// Guards against requests that hang until their deadline after the host of the
		// controller disappeared, and against planned handovers that cut off requests.
		func(method string, probe error, replaced bool, status int, outcome string) {
			s := newSession(dividedService())
			s.a.gateway.probe = func(context.Context, string, string) (net.Conn, error) { return nil, probe }
			arrived, proceed := make(chan struct{}), make(chan struct{})
			delayResponse := func() { close(arrived); <-proceed }
			s.script("t1", replyAfter(delayResponse, okResponse), reply("HTTP/1.1 201 Created\nContent-Length: 0\n\n"))
			c := s.connect().send(method + " /route/routes/k1 HTTP/1.1\nHost: h\nBoragegate-Deadline: 3000\nContent-Length: 0\n\n")
			Eventually(arrived).Should(BeClosed())
			if replaced {
				s.takeOver()
			}
			if status == http.StatusOK { // the earlier controller responds late
				time.AfterFunc(2*probeGracePeriod+probeFailureThreshold*probeTimeout, func() { close(proceed) })
			} else {
				DeferCleanup(func() { close(proceed) })
			}
			started := time.Now()
			resp := c.receive()
			AddReportEntry("response after", time.Since(started).Round(time.Millisecond).String())
			Expect(resp).NotTo(BeNil())
			Expect(resp.StatusCode).To(Equal(status))
			Expect(resp.Header.Get(headerOutcome)).To(Equal(outcome))
		},
		Entry("unreachable, safe request", "GET", timedOut, true, 201, ""),
		Entry("unreachable, other request", "POST", timedOut, true, 502, "unknown"),
		Entry("planned handover, listener closed", "POST", refused, true, 200, ""),
		Entry("no other controller", "POST", timedOut, false, 200, ""),
	)

	It("treats accepted and refused connections as a response of the host", func() {
		// Guards against a probe that fails although the host is up.
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		monitor := &controllerMonitor{g: New(Config{}), target: &route.Target{ForwardAddress: l.Addr().String()}, ctx: context.Background()}
		Expect(monitor.unreachable()).To(BeFalse())
		Expect(l.Close()).To(Succeed())
		Expect(monitor.unreachable()).To(BeFalse())
	})
})
