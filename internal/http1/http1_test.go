package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

func TestHTTP1(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "http1")
}

// answerTo writes raw bytes after each request of a connection.
type answerTo func(n int, conn net.Conn, req *http.Request) (keep bool)

func raw(text string, keep bool) answerTo {
	return func(_ int, conn net.Conn, req *http.Request) bool {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "\n", "\r\n"))
		return keep
	}
}

var _ = Describe("Transport", func() {
	var (
		t       *Transport
		address string
		dialled atomic.Int64
		answer  atomic.Value // answerTo
		conns   chan net.Conn
	)
	BeforeEach(func() {
		ignore := goleak.IgnoreCurrent()
		DeferCleanup(func() { goleak.VerifyNone(GinkgoTB(), ignore) })
		dialled.Store(0)
		conns = make(chan net.Conn, 16)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = l.Addr().String()
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				dialled.Add(1)
				conns <- conn
				go func() {
					defer func() { _ = conn.Close() }()
					in := bufio.NewReader(conn)
					for n := 0; ; n++ {
						req, err := http.ReadRequest(in)
						if err != nil || !answer.Load().(answerTo)(n, conn, req) {
							return
						}
					}
				}()
			}
		}()
		t = New(nil, 4)
		t.MaxHeader = 16 << 10
		DeferCleanup(func() { t.CloseIdleConnections(); _ = l.Close() })
	})
	send := func(ctx context.Context, method string, body io.Reader) (string, error) {
		GinkgoHelper()
		req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/x", body)
		Expect(err).NotTo(HaveOccurred())
		resp, err := t.RoundTrip(req)
		if err != nil {
			return "", err
		}
		defer func() { _ = resp.Body.Close() }()
		text, err := io.ReadAll(resp.Body)
		return string(text), err
	}
	written := func(err error) bool {
		GinkgoHelper()
		failure := new(Error)
		Expect(errors.As(err, &failure)).To(BeTrue(), "%v", err)
		return failure.Written
	}
	bg := context.Background()

	DescribeTable("uses a connection again only after a whole answer",
		// Guards against an answer that contains bytes of another one.
		func(a answerTo, want string, fails bool, connections int) {
			answer.Store(a)
			for range 2 {
				got, err := send(bg, "GET", nil)
				Expect(got).To(Equal(want))
				Expect(err != nil).To(Equal(fails))
			}
			Expect(dialled.Load()).To(BeEquivalentTo(connections))
		},
		Entry("whole", raw("HTTP/1.1 200 OK\nContent-Length: 2\n\nab", true), "ab", false, 1),
		Entry("chunked", raw("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n2\nab\n0\n\n", true), "ab", false, 1),
		Entry("after an informational answer", raw("HTTP/1.1 103 Early Hints\n\nHTTP/1.1 200 OK\nContent-Length: 2\n\nab", true), "ab", false, 1),
		Entry("no content", raw("HTTP/1.1 204 No Content\n\n", true), "", false, 1),
		Entry("close announced", raw("HTTP/1.1 200 OK\nConnection: close\nContent-Length: 2\n\nab", false), "ab", false, 2),
		Entry("bytes after the answer", raw("HTTP/1.1 200 OK\nContent-Length: 2\n\nabHTTP/1.1 200 OK\n", true), "ab", false, 2),
		Entry("short", raw("HTTP/1.1 200 OK\nContent-Length: 3\n\nab", false), "ab", true, 2),
		Entry("upgrade", raw("HTTP/1.1 101 Switching Protocols\n\n", true), "", true, 2),
		Entry("large header", raw("HTTP/1.1 200 OK\nX: "+strings.Repeat("x", 40<<10)+"\nContent-Length: 2\n\nab", false), "", true, 2),
	)

	It("does not use an idle connection that the server has closed or written to", func() {
		// Guards against requests that are lost on stale connections, and
		// against answers that come before their request.
		answer.Store(raw("HTTP/1.1 200 OK\nContent-Length: 2\n\nab", true))
		for _, disturb := range []func(net.Conn){
			func(c net.Conn) { _ = c.Close() },
			func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil") },
		} {
			Expect(send(bg, "POST", nil)).To(Equal("ab"))
			c := <-conns
			disturb(c)
			Eventually(func() bool { return t.pool.idle["http://"+address][0].healthy() }).Should(BeFalse())
			Expect(send(bg, "POST", nil)).To(Equal("ab"))
			t.CloseIdleConnections()
			<-conns
		}
	})

	It("tells whether a failed request was sent", func() {
		answer.Store(raw("", false))
		_, err := send(bg, "POST", strings.NewReader("ab"))
		Expect(written(err)).To(BeTrue())
		Expect(dialled.Load()).To(BeEquivalentTo(1), "a request must not be repeated")

		gone, cancel := context.WithCancel(bg)
		cancel()
		_, err = send(gone, "POST", nil)
		Expect(written(err)).To(BeFalse())
		Expect(err).To(MatchError(context.Canceled))
	})

	It("ends an exchange with its context and its deadline", func() {
		// Guards against connections that stay open for callers which have gone.
		arrived := make(chan struct{}, 2)
		answer.Store(answerTo(func(_ int, conn net.Conn, _ *http.Request) bool {
			arrived <- struct{}{}
			_, _ = conn.Read(make([]byte, 1)) // until the client closes
			return false
		}))
		ctx, cancel := context.WithCancel(bg)
		go func() { <-arrived; cancel() }()
		_, err := send(ctx, "GET", nil)
		Expect(written(err)).To(BeTrue())
		ctx, cancel = context.WithTimeout(bg, 20*time.Millisecond)
		defer cancel()
		_, err = send(ctx, "GET", nil)
		Expect(written(err)).To(BeTrue())
	})

	It("passes on an answer that comes before the body was sent", func() {
		// Guards against a deadlock of two sides that wait for each other.
		answer.Store(answerTo(func(_ int, conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
			return true
		}))
		body, end := io.Pipe()
		Expect(send(bg, "POST", body)).To(Equal("no"))
		Expect(end.Close()).To(Succeed())
		Expect(t.pool.idle).To(BeEmpty())
	})
})
