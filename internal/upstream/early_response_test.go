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

var _ = Describe("a response without a length to an upload that is still being written", func() {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"
	var client *upstream.Client
	var target *routing.Target
	// serve starts a target that sends the response once it has read the head of a request, and then ends each
	// connection with end.
	serve := func(response string, end func(c *net.TCPConn)) {
		ignore := goleak.IgnoreCurrent()
		DeferCleanup(func() { goleak.VerifyNone(GinkgoTB(), ignore) })
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.WriteString(c, response)
						end(c.(*net.TCPConn))
					}
					_ = c.Close()
				}()
			}
		}()
		client = &upstream.Client{IDHeader: "X-Id", MaxConnections: func(string) int { return 0 }}
		target = &routing.Target{ID: "t", Incarnation: 1, Address: l.Addr().String()}
	}
	// upload sends an upload, with its body as a stream or at once, and reads the whole response.
	upload := func(length int64, streamed bool) (body string, err error) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		const size = 1 << 20
		r := &upstream.Request{Method: "POST", URI: "/u", Host: "h", Header: http.Header{"X-Id": {"1"}}, ID: "1", Length: length}
		if streamed {
			r.BodyStream = io.NopCloser(io.LimitReader(zeroes{}, size))
		} else {
			r.Body = make([]byte, size)
		}
		resp, err := client.Do(ctx, target, r)
		if err != nil {
			return "", err
		}
		defer func() { _ = resp.Release() }()
		if resp.Stream == nil {
			return string(resp.Body), nil
		}
		rest, err := io.ReadAll(resp.Stream)
		return string(resp.Body) + string(rest), err
	}
	const attempts = 300

	DescribeTable("is not complete if the connection is reset",
		// Guards against the beginning of a body that a caller gets as a complete one: the write of the upload had got the error
		// of the connection, and the read after it saw an ordinary end.
		func(length int64, streamed bool, part int, memory int64) {
			serve(head+strings.Repeat("p", part), func(c *net.TCPConn) {
				time.Sleep(200 * time.Microsecond)
				_ = c.SetLinger(0) // closing resets the connection
			})
			client.BodyMemoryBytes = memory
			complete := 0
			for range attempts {
				if _, err := upload(length, streamed); err == nil {
					complete++
				}
			}
			Expect(complete).To(BeZero(), "of %d", attempts)
		},
		Entry("with a body of known length", int64(1<<20), true, 100, int64(0)),
		Entry("with a chunked body", int64(-1), true, 100, int64(0)),
		Entry("with a buffered body", int64(1<<20), false, 100, int64(0)),
		Entry("and a long response", int64(1<<20), true, 40<<10, int64(0)),
		Entry("and a streamed response", int64(1<<20), true, 40<<10, int64(1)),
	)

	It("is complete if the target has closed its side of the connection, also if it resets the connection afterwards", func() {
		// Guards against an answer that is lost because the target does not read the rest of the upload.
		serve(head+"whole", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(time.Millisecond)
			_ = c.SetLinger(0)
		})
		for range attempts {
			Expect(upload(1<<20, true)).To(Equal("whole"))
		}
	})
})

// zeroes is an endless stream of zero bytes.
type zeroes struct{}

func (zeroes) Read(p []byte) (int, error) { clear(p); return len(p), nil }
