package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/internal/httpwire"
	"github.com/boragegate/boragegate/internal/upstream"
	"github.com/boragegate/boragegate/routing"
)

var _ = Describe("the head of a response", func() {
	// receive returns the result of a request to a target that sends the response and closes the connection. If reused is
	// set, the connection has carried another request before.
	receive := func(response string, reused bool) (*upstream.Response, error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = l.Close() })
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			if reused {
				_, _ = http.ReadRequest(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 2\r\n\r\nok")
			}
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, response)
		}()
		client := &upstream.Client{IDHeader: "X-Id", MaxConnections: func(string) int { return 0 }}
		DeferCleanup(func() { client.RetainTargets(nil) })
		target := &routing.Target{ID: "t", Incarnation: 1, Address: l.Addr().String()}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		do := func(id string) (*upstream.Response, error) {
			return client.Do(ctx, target, &upstream.Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{"X-Id": {id}}, ID: id})
		}
		if reused {
			_, err := do("0")
			Expect(err).NotTo(HaveOccurred())
		}
		return do("1")
	}

	DescribeTable("is refused if others could read it differently",
		// Guards against lines that reach callers although they are no header fields, and against a body whose length the target
		// has meant differently.
		func(head string) {
			for _, reused := range []bool{false, true} {
				resp, err := receive(head+"\r\n2\r\nok\r\n0\r\n\r\n", reused)
				Expect(resp).To(BeNil())
				Expect(err).To(HaveOccurred())
				Expect(errors.Is(err, upstream.ErrNotSent)).To(BeFalse(), "the target may have run the request")
			}
		},
		Entry("blank in a name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nthis is no field: at all\r\nContent-Length: 12\r\n"),
		Entry("blank after the name of the length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length : 12\r\n"),
		Entry("blank after the name of the encoding", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding : chunked\r\n"),
		Entry("tab after the name of the encoding", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding\t: chunked\r\n"),
		Entry("blank before the name of the encoding", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX: y\r\n Transfer-Encoding: chunked\r\n"),
		Entry("tab before the name of the encoding", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX: y\r\n\tTransfer-Encoding: chunked\r\n"),
		Entry("control byte in a name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-\x01Odd: x\r\nContent-Length: 12\r\n"),
		Entry("NUL in a name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding\x00: chunked\r\n"),
		Entry("CR in a name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-\rOdd: x\r\nContent-Length: 12\r\n"),
		Entry("byte above ASCII in a name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-\xc3\xa9: x\r\nContent-Length: 12\r\n"),
		Entry("no name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n: x\r\nContent-Length: 12\r\n"),
		Entry("no colon", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nodd\r\nContent-Length: 12\r\n"),
		Entry("NUL in a value", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX: a\x00b\r\nContent-Length: 12\r\n"),
		Entry("CR in a value", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX: a\rContent-Length: 2\r\n"),
		Entry("control byte in the reason", "HTTP/1.1 200 O\x00K\r\nX-Id: 1\r\nContent-Length: 12\r\n"),
		Entry("encoding and length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\ncontent-length: 12\r\n"),
		Entry("two lengths", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 12\r\nContent-Length: 2\r\n"),
		Entry("list of lengths", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 12, 12\r\n"),
		Entry("unknown encoding", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: identity\r\n"),
		Entry("two encodings", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
		Entry("encoding in HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n"),
		Entry("another version", "HTTP/2.0 200 OK\r\nX-Id: 1\r\nContent-Length: 12\r\n"),
		Entry("odd informational response", "HTTP/1.1 103 Early Hints\r\nodd name: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 12\r\n"),
		Entry("two IDs", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Id: 2\r\nContent-Length: 12\r\n"),
	)

	DescribeTable("is accepted if it is valid",
		// Guards against responses of sound targets that are refused.
		func(response string) {
			resp, err := receive(response, true)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(resp.Body)).To(Equal("ok"))
		},
		Entry("usual", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok"),
		Entry("all bytes of a name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n!#$%&'*+-.^_`|~09azAZ:x\r\nContent-Length: 2\r\n\r\nok"),
		Entry("tabs and bytes above ASCII in a value", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX:\t\xc3\xa9\t x \r\nContent-Length: 2\r\n\r\nok"),
		Entry("empty value and reason", "HTTP/1.1 200 \r\nX-Id: 1\r\nX:\r\nContent-Length: 2\r\n\r\nok"),
		Entry("lines without CR", "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 2\n\nok"),
		Entry("HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok"),
		Entry("chunks", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
		Entry("the same length twice", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok"),
		Entry("after an informational response", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok"),
		Entry("after a response to an earlier request", "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok"),
	)

	It("that is malformed is reported as such", func() {
		// Guards against logs that do not tell a malformed response from a lost connection.
		_, err := receive("HTTP/1.1 200 OK\r\nodd name: x\r\n\r\n", false)
		Expect(errors.Is(err, httpwire.ErrMalformedHead)).To(BeTrue())
	})
})
