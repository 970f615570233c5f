package gateway

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/table"
)

const okResponse = "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello"

const misdirectedResponse = "HTTP/1.1 421 Misdirected Request\nBoragegate-Outcome: not-run\nContent-Length: 0\n\n"

func dividedService() table.Service {
	return table.Service{
		Name: "route", Divided: true, Partitions: 4, KeyPath: "/routes/{key}",
		ChecksGrants: true, BulkPaths: []string{"/packs/"},
	}
}

var _ = Describe("session on the wire", func() {
	var s *session
	BeforeEach(func() { s = newSession(dividedService()) })

	It("routes by key and removes forged headers", func() {
		// Guards against a caller that impersonates an instance, and against headers
		// that are dropped or added.
		s.script("t1", reply(okResponse), reply("HTTP/1.1 206 Partial Content\nContent-Range: bytes 0-1/9\nTransfer-Encoding: chunked\n"+
			"Boragegate-Again: later\nBoragegate-Load: 0\nX-Kept: yes\n\n2\nab\n0\n\n"))
		c := s.connect()
		c.send("GET /route/routes/k1?x=1 HTTP/1.1\nHost: h\nBoragegate-Epoch: 99\nBoragegate-Term: 99\nBoragegate-Outcome: run\n" +
			"boragegate-target: route/t2\nConnection: X-Hop\nX-Hop: 1\nX-Kept: yes\n\n").receive()
		c.send("GET /route/other%2Fpath HTTP/1.1\nHost: h\nBoragegate-Key: k2\nRange: bytes=0-1\nBoragegate-Deadline: 4000\n\n").receive()
		s.assertGolden("forged-headers")
	})

	It("streams a large body", func() {
		// Guards against bodies that are truncated or duplicated beyond the buffered
		// prefix.
		s.script("t1", reply(okResponse))
		body := strings.Repeat("x", 3*bodyPrefixSize)
		c := s.connect()
		go func() {
			_, _ = c.conn.Write([]byte("POST /route/routes/k1 HTTP/1.1\r\nHost: h\r\nContent-Length: 196608\r\n\r\n" + body))
		}()
		c.receive()
		s.assertGolden("large-body")
	})

	DescribeTable("reports the correct outcome when the server dies",
		// Guards against "not-run" for a request that a server may have run, and
		// against truncated responses that look complete.
		func(name, method string, behaviours ...behaviour) {
			s.script("t1", behaviours...)
			c := s.connect()
			c.send(method + " /route/routes/k1 HTTP/1.1\nHost: h\nContent-Length: 2\n\nab").receive()
			s.assertGolden(name)
		},
		Entry("before it reads", "server-dies-before-reading", "POST", behaviour(closeBeforeReading)),
		Entry("after it has read", "server-dies-after-reading", "POST", replyAndClose("")),
		Entry("during the body", "server-dies-in-body", "POST", replyAndClose("HTTP/1.1 200 OK\nContent-Length: 5\n\nhel")),
		Entry("during a chunked body", "server-dies-in-chunk", "POST", replyAndClose("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n5\nhel")),
		Entry("during a long body", "server-dies-in-long-body", "POST", replyAndClose("HTTP/1.1 200 OK\nContent-Length: 90000\n\n"+strings.Repeat("x", 70000))),
		Entry("after it has read a safe request", "server-dies-safe-request", "GET", replyAndClose(""), reply(okResponse)),
		Entry("after it has read a safe request whose retry is refused", "server-dies-safe-request-refused", "GET", replyAndClose(""),
			reply("HTTP/1.1 503 Service Unavailable\nBoragegate-Outcome: not-run\nRetry-After: 3\nContent-Length: 0\n\n")),
	)

	It("retries at the new owner of a key after 421", func() {
		// Guards against a request that fails because its partition is handed over.
		s.script("t1", replyAfter(func() { s.assignTo("t2") }, misdirectedResponse))
		s.script("t2", reply(okResponse))
		s.connect().send("POST /route/routes/k1 HTTP/1.1\nHost: h\nContent-Length: 2\n\nab").receive()
		s.assertGolden("misdirected-then-new-owner")
	})

	It("fails a request without an owner after the handover timeout", func() {
		// Guards against a request that waits until its deadline.
		s.a.gateway.cfg.HandoverTimeout = 200 * time.Millisecond
		s.assignTo("")
		resp := s.connect().send("GET /route/routes/k1 HTTP/1.1\nHost: h\n\n").receive()
		Expect(resp.StatusCode).To(Equal(503))
		s.assertGolden("no-owner")
	})

	It("waits while a partition is handed over", func() {
		// Guards against a request that fails, or runs at the old owner, during a
		// handover.
		drained := make(chan struct{})
		s.script("t1", replyAfter(func() {
			s.b.gateway.StopAdmission("route/t1", 7, []int{0, 1, 2, 3}, func() { close(drained) })
			Consistently(drained, "10ms").ShouldNot(BeClosed(), "a request is in flight")
		}, okResponse))
		s.script("t2", reply(okResponse))
		get := "GET /route/routes/k1 HTTP/1.1\nHost: h\n\n"
		s.connect().send(get).receive()
		Eventually(drained).Should(BeClosed())
		c := s.connect().send(get)
		Eventually(s.a.gateway.waitingRequests.Load).Should(BeEquivalentTo(1))
		s.recordStep("planner", "gives the partitions to t2")
		s.assignTo("t2")
		c.receive()
		s.assertGolden("hand-over")
	})

	It("waits until the target holds its grant", func() {
		// Guards against requests that run without authority or fail at once while the
		// grant is pending.
		s.denyRun.Store(true)
		c := s.connect().send("GET /route/routes/k1 HTTP/1.1\nHost: h\n\n")
		Eventually(s.a.gateway.waitingRequests.Load).Should(BeEquivalentTo(1))
		s.recordStep("controller", "gets the authority")
		s.script("t1", reply(okResponse))
		s.denyRun.Store(false)
		c.receive()
		s.assertGolden("grant-pending")
	})

	It("reports the correct outcome when the controller dies", func() {
		// Guards against "not-run", and against a retry, for a request that the
		// controller has sent to the server.
		s.script("t1", replyAfter(s.b.closeAll, okResponse))
		s.connect().send("POST /route/routes/k1 HTTP/1.1\nHost: h\nContent-Length: 2\n\nab").receive()
		s.assertGolden("controller-dies")
	})

	It("reports the correct outcome when the controller or server cannot be reached", func() {
		// Guards against "unknown" for a request that certainly has not run.
		s.a.gateway.cfg.HandoverTimeout = 200 * time.Millisecond
		// Nothing listens on port 1. The port of a closed listener could be reused by
		// another test, which would then respond.
		s.b.forwardAddress = "127.0.0.1:1"
		s.assignTo("t1")
		s.connect().send("POST /route/routes/k1 HTTP/1.1\nHost: h\nContent-Length: 2\n\nab").receive()
		s.assertGolden("controller-unreachable")
	})

	It("ends a request at its deadline", func() {
		// Guards against responses after the caller has timed out, and against
		// "not-run" for a request that the server has received.
		arrived, gone := make(chan struct{}), make(chan struct{})
		s.script("t1", holdRequest(arrived, gone))
		c := s.connect().send("POST /route/routes/k1 HTTP/1.1\nHost: h\nBoragegate-Deadline: 400\nContent-Length: 2\n\nab")
		Eventually(gone).Should(BeClosed(), "the server has to see the cancellation")
		c.receive()
		s.connect().send("POST /route/routes/k1 HTTP/1.1\nHost: h\nBoragegate-Deadline: 0\nContent-Length: 2\n\nab").receive()
		s.assertGolden("deadline")
	})

	It("rejects a request while the table is not confirmed", func() {
		// Guards against a paused process that serves according to an outdated table
		// when it resumes.
		s.denyServe.Store(true)
		s.connect().send("GET /route/routes/k1 HTTP/1.1\nHost: h\n\n").receive()
		s.assertGolden("table-not-confirmed")
	})

	It("frees the slot of a caller that disconnects", func() {
		// Guards against slots that stay occupied by requests whose caller has gone.
		arrived, gone := make(chan struct{}), make(chan struct{})
		s.script("t1", holdRequest(arrived, gone))
		c := s.connect().send("GET /route/routes/k1 HTTP/1.1\nHost: h\n\n")
		running := func() int {
			return s.b.gateway.targets.ensure(s.b.routes.Load().Services["route"].Targets[0]).gate.Load().Running
		}
		<-arrived // a request whose caller disconnects earlier is not sent at all
		Expect(running()).To(Equal(1))
		s.recordStep("caller", "closes the connection")
		Expect(c.conn.Close()).To(Succeed())
		Eventually(gone).Should(BeClosed())
		Eventually(running).Should(BeZero())
		s.assertGolden("caller-hangs-up")
	})

	It("pauses requests to a server that sheds load", func() {
		// Guards against further requests to a server that has sent Retry-After.
		s.script("t1", reply("HTTP/1.1 503 Service Unavailable\nBoragegate-Outcome: not-run\nRetry-After: 3\nContent-Length: 0\n\n"))
		c := s.connect()
		c.send("GET /route/routes/k1 HTTP/1.1\nHost: h\n\n").receive()
		c.send("GET /route/routes/k2 HTTP/1.1\nHost: h\n\n").receive()
		s.assertGolden("server-sheds")
	})

	DescribeTable("prevents request smuggling",
		// Guards against a second request that only one of two hops sees: each request
		// is parsed and framed again, or rejected.
		func(name, raw string, responses int, behaviours ...behaviour) {
			c := s.connect().send(raw)
			for i := range responses {
				s.script("t1", behaviours[min(i, len(behaviours)):min(i+1, len(behaviours))]...) // keeps the recorded steps in order
				c.receive()
			}
			s.assertGolden("smuggling-" + name)
		},
		Entry("length and chunks", "length-and-chunks",
			"POST /route/routes/k1 HTTP/1.1\nHost: h\nContent-Length: 4\nTransfer-Encoding: chunked\n\n2\nab\n0\n\nGET /route/routes/k2 HTTP/1.1\nHost: h\n\n", 2, reply(okResponse), reply(okResponse)),
		Entry("two lengths", "two-lengths", "POST /route/routes/k1 HTTP/1.1\nHost: h\nContent-Length: 2\nContent-Length: 3\n\nabc", 1),
		Entry("unknown coding", "unknown-coding", "POST /route/routes/k1 HTTP/1.1\nHost: h\nTransfer-Encoding: xchunked\n\n0\n\n", 1),
		Entry("space before the colon", "space-before-colon", "POST /route/routes/k1 HTTP/1.1\nHost: h\nTransfer-Encoding : chunked\nContent-Length: 2\n\nab", 1),
		Entry("truncated chunk", "truncated-chunk", "POST /route/routes/k1 HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\nzz\n", 1),
		Entry("line break in a key", "encoded-line-break", "GET /route/routes/k%0d%0aX:1 HTTP/1.1\nHost: h\n\n", 1),
		Entry("space in a key", "encoded-space", "GET /route/routes/k%20 HTTP/1.1\nHost: h\n\n", 1),
		Entry("call of the backend contract", "contract-call", "POST /route/%62oragegate/v1/lease HTTP/1.1\nHost: h\nBoragegate-Key: k\nContent-Length: 0\n\n", 1),
		Entry("hidden call of the backend contract", "hidden-contract-call", "POST /route//x/..//boragegate/v1/release HTTP/1.1\nHost: h\nBoragegate-Key: k\nContent-Length: 0\n\n", 1),
		Entry("two keys", "two-keys", "GET /route/x HTTP/1.1\nHost: h\nBoragegate-Key: k1\nBoragegate-Key: k2\n\n", 1),
	)
})

var _ = Describe("session with idempotency keys", func() {
	var s *session
	orderRequest := func(key, body string) string {
		return "POST /booking/orders HTTP/1.1\nHost: h\nIdempotency-Key: " + key + "\nContent-Length: 2\n\n" + body
	}
	created := "HTTP/1.1 201 Created\nContent-Type: text/plain\nContent-Length: 2\n\n#1"
	BeforeEach(func() {
		s = newSession(table.Service{Name: "booking", Partitions: 1, ChecksGrants: true, NotRepeatable: []string{"POST"}})
		s.waitForTenure(s.b, "t1")
		time.Sleep(2 * time.Millisecond) // longer than the clock skew that this session allows, so that new keys are accepted
	})

	It("runs a key once at one controller", func() {
		// Guards against a second run of a request, and against the response to another
		// request.
		key, slow := newRequestID(), newRequestID()
		s.script("t1", reply(created))
		c := s.connect()
		c.send(orderRequest(key, "ab")).receive()
		c.send(orderRequest(key, "ab")).receive()
		c.send(orderRequest(key, "xy")).receive()
		c.send("POST /booking/orders HTTP/1.1\nHost: h\nContent-Length: 2\n\nab").receive()
		s.script("t1", replyAfter(func() { s.connect().send(orderRequest(slow, "ab")).receive() }, created))
		c.send(orderRequest(slow, "ab")).receive()
		lost := newRequestID()
		s.script("t1", replyAndClose(""))
		c.send(orderRequest(lost, "ab")).receive()
		c.send(orderRequest(lost, "ab")).receive()
		s.assertGolden("idempotency-key")
	})

	It("keeps the records in a planned handover", func() {
		// Guards against a second run of a request that is retried at the new controller.
		key := newRequestID()
		s.script("t1", reply(created))
		c := s.connect()
		c.send(orderRequest(key, "ab")).receive()
		drained := make(chan struct{})
		s.b.gateway.StopAdmission("booking/t1", 7, []int{0}, func() { close(drained) })
		Eventually(drained).Should(BeClosed())
		s.recordStep("planner", "gives the partition to t2")
		s.assignTo("t2")
		c.send(orderRequest(key, "ab")).receive()
		s.assertGolden("idempotency-key-hand-over")
	})

	It("rejects a key of an earlier tenure after its controller died", func() {
		// Guards against a second run of a request whose record was lost with its
		// controller.
		key := newRequestID()
		s.script("t1", reply(created))
		c := s.connect()
		c.send(orderRequest(key, "ab")).receive()
		s.recordStep("instance b", "is lost")
		s.b.closeAll()
		s.assignTo("t2")
		s.waitForTenure(s.a, "t2")
		c.send(orderRequest(key, "ab")).receive()
		s.assertGolden("idempotency-key-new-tenure")
	})
})
