package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/boragegate/boragegate/internal/upstream"
	"github.com/boragegate/boragegate/routing"
)

// maxSentBytes bounds what a server can send before its connection is closed: the
// longest header, and what the sockets' buffers take.
const maxSentBytes = 16 << 20

var _ = Describe("bytes without end", func() {
	// play lets a server answer a request with the beginning and then repeat the rest
	// until its connection is closed. It returns what the client got, and the bytes sent.
	play := func(beginning, rest string) (*upstream.Response, int, error) {
		ignore := goleak.IgnoreCurrent()
		DeferCleanup(func() { goleak.VerifyNone(GinkgoTB(), ignore) })
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = l.Close() })
		sent := make(chan int, 1)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			crlf := func(s string) string { return strings.ReplaceAll(s, "\n", "\r\n") }
			n, err := io.WriteString(c, crlf(beginning))
			piece := strings.Repeat(crlf(rest), 1+4096/len(rest))
			for err == nil && n < 2*maxSentBytes {
				var more int
				more, err = io.WriteString(c, piece)
				n += more
			}
			sent <- n
		}()
		client := &upstream.Client{IDHeader: "X-Id", MaxConnections: func(string) int { return 0 }}
		target := &routing.Target{ID: "t", Incarnation: 1, Address: l.Addr().String()}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		began := time.Now()
		resp, err := client.Do(ctx, target, &upstream.Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{"X-Id": {"1"}}, ID: "1"})
		Expect(time.Since(began)).To(BeNumerically("<", 4*time.Second), "it does not wait for the deadline")
		if resp != nil && resp.Stream != nil {
			Expect(resp.Stream.Close()).To(Succeed())
		}
		if err == nil && resp.Stream == nil {
			// What came behind the answer is found before the connection is used again; until
			// then, the socket's buffer bounds it.
			client.CloseExpired(time.Now().Add(time.Hour))
		}
		Expect(client.Connections()).To(BeZero(), "the connection is closed")
		var n int
		Eventually(sent, "2s").Should(Receive(&n))
		return resp, n, err
	}
	DescribeTable("end the connection and bring no answer",
		// Guards against a server in trouble that uses up an instance's memory or holds its
		// requests until their deadlines.
		func(beginning, rest string) {
			_, sent, err := play(beginning, rest)
			Expect(err).To(HaveOccurred())
			Expect(sent).To(BeNumerically("<", maxSentBytes))
		},
		Entry("instead of an answer", "", "nonsense"),
		Entry("in a status line", "HTTP/1.1 200 ", "OK"),
		Entry("in a header's value", "HTTP/1.1 200 OK\nX-Id: 1\nX-Long: ", "x"),
		Entry("in headers", "HTTP/1.1 200 OK\nX-Id: 1\n", "X-More: x\n"),
		Entry("in informational answers", "", "HTTP/1.1 103 Early\n\n"),
		Entry("in answers to other requests", "", "HTTP/1.1 200 OK\nX-Id: other\nContent-Length: 1\n\nx"),
		Entry("in the extension of a chunk", "HTTP/1.1 200 OK\nX-Id: 1\nTransfer-Encoding: chunked\n\n1;x=", "y"),
		Entry("in the size of a chunk", "HTTP/1.1 200 OK\nX-Id: 1\nTransfer-Encoding: chunked\n\n", "0"),
		Entry("in a trailer", "HTTP/1.1 200 OK\nX-Id: 1\nTransfer-Encoding: chunked\n\n1\nx\n0\n", "X-More: x\n"),
		Entry("in small chunks with long extensions", "HTTP/1.1 200 OK\nX-Id: 1\nTransfer-Encoding: chunked\n\n",
			"1;"+strings.Repeat("e", 3000)+"\nx\n"),
	)
	It("behind a whole answer reach nobody", func() {
		// Guards against the next request on the connection.
		resp, sent, err := play("HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 2\n\nok", "more")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(resp.Body)).To(Equal("ok"))
		Expect(sent).To(BeNumerically("<", maxSentBytes))
	})
	DescribeTable("in a body are passed on in pieces, until the caller has had enough",
		func(head, rest string) {
			resp, sent, err := play(head, rest)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(resp.Body)).To(BeNumerically("<=", 1<<20))
			Expect(sent).To(BeNumerically("<", maxSentBytes))
		},
		Entry("that ends with its connection", "HTTP/1.1 200 OK\nX-Id: 1\n\n", "x"),
		Entry("in chunks", "HTTP/1.1 200 OK\nX-Id: 1\nTransfer-Encoding: chunked\n\n", "4\nabcd\n"),
	)
})
