package gateway

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/table"
)

const ok = "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello"

const misdirected = "HTTP/1.1 421 Misdirected Request\nBoragegate-Outcome: not-run\nContent-Length: 0\n\n"

func divided() table.Service {
	return table.Service{
		Name: "route", Divided: true, Partitions: 4, KeyPath: "/routes/{key}",
		ChecksGrants: true, BulkPaths: []string{"/packs/"},
	}
}

var _ = Describe("session on the wire", func() {
	var s *session
	BeforeEach(func() { s = newSession(divided()) })

	It("routes by key and removes forged headers", func() {
		// Guards against a caller who poses as an instance, and against lost or added headers.
		s.script("t1", reply(ok), reply("HTTP/1.1 206 Partial Content\nContent-Range: bytes 0-1/9\nTransfer-Encoding: chunked\n"+
			"Boragegate-Again: later\nBoragegate-Load: 0\nX-Kept: yes\n\n2\nab\n0\n\n"))
		c := s.connect()
		c.send("GET /route/routes/k1?x=1 HTTP/1.1\nHost: h\nBoragegate-Epoch: 99\nBoragegate-Term: 99\nBoragegate-Outcome: run\n" +
			"boragegate-target: route/t2\nConnection: X-Hop\nX-Hop: 1\nX-Kept: yes\n\n").receive()
		c.send("GET /route/other%2Fpath HTTP/1.1\nHost: h\nBoragegate-Key: k2\nRange: bytes=0-1\nBoragegate-Deadline: 4000\n\n").receive()
		s.golden("forged-headers")
	})

	It("sends a large body in pieces", func() {
		// Guards against truncated or doubled bodies beyond the prefix that is kept.
		s.script("t1", reply(ok))
		body := strings.Repeat("x", 3*bodyPrefix)
		c := s.connect()
		go func() {
			_, _ = c.conn.Write([]byte("POST /route/routes/k1 HTTP/1.1\r\nHost: h\r\nContent-Length: 196608\r\n\r\n" + body))
		}()
		c.receive()
		s.golden("large-body")
	})

	DescribeTable("tells the truth when the server dies",
		// Guards against "not-run" for a request that a server may have run, and
		// against short answers that look whole.
		func(name, method string, bs ...behaviour) {
			s.script("t1", bs...)
			c := s.connect()
			c.send(method + " /route/routes/k1 HTTP/1.1\nHost: h\nContent-Length: 2\n\nab").receive()
			s.golden(name)
		},
		Entry("before it reads", "server-dies-before-reading", "POST", behaviour(closeBeforeReading)),
		Entry("after it has read", "server-dies-after-reading", "POST", replyAndClose("")),
		Entry("during the body", "server-dies-in-body", "POST", replyAndClose("HTTP/1.1 200 OK\nContent-Length: 5\n\nhel")),
		Entry("during a chunked body", "server-dies-in-chunk", "POST", replyAndClose("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n5\nhel")),
		Entry("during a long body", "server-dies-in-long-body", "POST", replyAndClose("HTTP/1.1 200 OK\nContent-Length: 90000\n\n"+strings.Repeat("x", 70000))),
		Entry("after it has read a safe request", "server-dies-safe-request", "GET", replyAndClose(""), reply(ok)),
	)

	It("follows a key to its new owner after 421", func() {
		// Guards against failing a request because of a hand-over.
		s.script("t1", replyAfter(func() { s.own("t2") }, misdirected))
		s.script("t2", reply(ok))
		s.connect().send("POST /route/routes/k1 HTTP/1.1\nHost: h\nContent-Length: 2\n\nab").receive()
		s.golden("misdirected-then-new-owner")
	})

	It("answers without an owner after the bounded wait", func() {
		// Guards against holding a request until its deadline.
		s.own("")
		resp := s.connect().send("GET /route/routes/k1 HTTP/1.1\nHost: h\n\n").receive()
		Expect(resp.StatusCode).To(Equal(503))
		s.golden("no-owner")
	})
})
