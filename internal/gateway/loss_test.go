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

var _ = Describe("loss of a controller", func() {
	silent := &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}

	DescribeTable("ends the wait for an answer only if the controller is lost",
		// Guards against requests that hang until their deadline after a silent
		// loss, and against planned hand-overs that cut off requests.
		func(method string, probe error, takesOver bool, status int, outcome string) {
			s := newSession(dividedService())
			s.a.gateway.probe = func(context.Context, string, string) (net.Conn, error) { return nil, probe }
			arrived, answer := make(chan struct{}), make(chan struct{})
			late := func() { close(arrived); <-answer }
			s.script("t1", replyAfter(late, okResponse), reply("HTTP/1.1 201 Created\nContent-Length: 0\n\n"))
			c := s.connect().send(method + " /route/routes/k1 HTTP/1.1\nHost: h\nBoragegate-Deadline: 3000\nContent-Length: 0\n\n")
			Eventually(arrived).Should(BeClosed())
			if takesOver {
				s.takeOver()
			}
			if status == http.StatusOK { // the earlier controller answers late
				time.AfterFunc(2*probeGracePeriod+probeFailureThreshold*probeTimeout, func() { close(answer) })
			} else {
				DeferCleanup(func() { close(answer) })
			}
			started := time.Now()
			resp := c.receive()
			AddReportEntry("answer after", time.Since(started).Round(time.Millisecond).String())
			Expect(resp).NotTo(BeNil())
			Expect(resp.StatusCode).To(Equal(status))
			Expect(resp.Header.Get(headerOutcome)).To(Equal(outcome))
		},
		Entry("lost, safe request", "GET", silent, true, 201, ""),
		Entry("lost, other request", "POST", silent, true, 502, "unknown"),
		Entry("planned hand-over, listener closed", "POST", refused, true, 200, ""),
		Entry("no other controller", "POST", silent, false, 200, ""),
	)

	It("takes a listener that accepts or refuses for a host that responds", func() {
		// Guards against a probe that fails on a host that is up.
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		w := &controllerMonitor{g: New(Config{}), target: &route.Target{ForwardAddress: l.Addr().String()}, ctx: context.Background()}
		Expect(w.unreachable()).To(BeFalse())
		Expect(l.Close()).To(Succeed())
		Expect(w.unreachable()).To(BeFalse())
	})
})
