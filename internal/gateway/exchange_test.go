package gateway

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

// responder responds to the nth request of a connection and reports whether the
// connection stays open.
type responder func(n int, conn net.Conn, req *http.Request) (keep bool)

// raw returns a responder that writes bytes after each request; "\n" stands for
// CRLF.
func raw(text string, keep bool) responder {
	return func(_ int, conn net.Conn, req *http.Request) bool {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "\n", "\r\n"))
		return keep
	}
}

var _ = Describe("exchange", func() {
	const complete = "HTTP/1.1 200 OK\nContent-Length: 2\n\nab"
	var (
		g               *Gateway
		t               *http.Transport
		address         string
		scheme          string
		connectionCount atomic.Int64
		requestCounts   sync.Map     // path of a request to its *atomic.Int64
		respond         atomic.Value // responder
	)
	receivedCount := func(path string) int64 {
		n, _ := requestCounts.LoadOrStore(path, new(atomic.Int64))
		return n.(*atomic.Int64).Load()
	}
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		for n := 0; ; n++ {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			count, _ := requestCounts.LoadOrStore(req.URL.Path, new(atomic.Int64))
			count.(*atomic.Int64).Add(1)
			if !respond.Load().(responder)(n, conn, req) {
				return
			}
		}
	}
	BeforeEach(func() {
		ignore := goleak.IgnoreCurrent()
		DeferCleanup(func() { goleak.VerifyNone(GinkgoTB(), ignore) })
		connectionCount.Store(0)
		scheme = "http"
		requestCounts.Clear()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = l.Addr().String()
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				connectionCount.Add(1)
				go serve(conn)
			}
		}()
		g, t = New(Config{}), NewTransport(4)
		DeferCleanup(func() { t.CloseIdleConnections(); _ = l.Close() })
	})
	sendHeader := func(ctx context.Context, method, path string, b *body, h http.Header) (string, *failure) {
		request, err := http.NewRequestWithContext(ctx, method, "http://x"+path, nil)
		if err != nil {
			return "", g.exchangeFailure(nil, true)
		}
		deadline, ok := ctx.Deadline()
		if !ok {
			deadline = time.Now().Add(5 * time.Second)
		}
		c := &call{request: request, ctx: &deadlineContext{ctx, deadline}, deadline: deadline, body: b}
		defer c.cancelAttempt()
		resp, f := g.exchange(c, t, &url.URL{Scheme: scheme, Host: address, Path: path}, h)
		if f != nil {
			return "", f
		}
		defer func() { _ = resp.Body.Close() }()
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			return string(text), &failure{outcome: OutcomeUnknown}
		}
		return string(text), nil
	}
	send := func(ctx context.Context, method, path string, b *body) (string, *failure) {
		return sendHeader(ctx, method, path, b, http.Header{})
	}
	bg := context.Background()

	DescribeTable("uses a connection again only after a whole answer",
		// Guards against a response that contains bytes of another one.
		func(a responder, want string, fails bool, connections int) {
			respond.Store(a)
			for range 2 {
				got, f := send(bg, "GET", "/x", nil)
				Expect(got).To(Equal(want))
				Expect(f != nil).To(Equal(fails))
			}
			Expect(connectionCount.Load()).To(BeEquivalentTo(connections))
		},
		Entry("whole", raw(complete, true), "ab", false, 1),
		Entry("chunked", raw("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n2\nab\n0\n\n", true), "ab", false, 1),
		Entry("after an informational answer", raw("HTTP/1.1 103 Early Hints\n\n"+complete, true), "ab", false, 1),
		Entry("no content", raw("HTTP/1.1 204 No Content\n\n", true), "", false, 1),
		Entry("close announced", raw("HTTP/1.1 200 OK\nConnection: close\nContent-Length: 2\n\nab", false), "ab", false, 2),
		Entry("bytes after the answer", raw(complete+"HTTP/1.1 200 OK\n", true), "ab", false, 2),
		Entry("short", raw("HTTP/1.1 200 OK\nContent-Length: 3\n\nab", false), "ab", true, 2),
		Entry("status 000", raw("HTTP/1.1 000 X\nContent-Length: 2\n\nab", true), "", true, 2),
		Entry("status 099", raw("HTTP/1.1 099 X\nContent-Length: 2\n\nab", true), "", true, 2),
		Entry("status +20", raw("HTTP/1.1 +20 X\nContent-Length: 2\n\nab", true), "", true, 2),
		Entry("status 600", raw("HTTP/1.1 600 X\nContent-Length: 2\n\nab", true), "", true, 2),
		Entry("status 999", raw("HTTP/1.1 999 X\nContent-Length: 2\n\nab", true), "", true, 2),
		Entry("blank in the name of a field", raw("HTTP/1.1 200 OK\nodd name: x\nContent-Length: 2\n\nab", true), "", true, 2),
		Entry("blank after the name of the length", raw("HTTP/1.1 200 OK\nContent-Length : 2\n\nab", false), "", true, 2),
		Entry("folded line", raw("HTTP/1.1 200 OK\nX: y\n Content-Length: 2\n\nab", false), "", true, 2),
		Entry("encoding in HTTP/1.0", raw("HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n\n2\nab\n0\n\n", false), "", true, 2),
		Entry("malformed after an informational answer", raw("HTTP/1.1 103 Early Hints\n\nHTTP/1.1 200 OK\nodd name: x\nContent-Length: 2\n\nab", true), "", true, 2),
		Entry("upgrade", raw("HTTP/1.1 101 Switching Protocols\n\n", true), "", true, 2),
		Entry("large header", raw("HTTP/1.1 200 OK\nX: "+strings.Repeat("x", 80<<10)+"\nContent-Length: 2\n\nab", false), "", true, 2),
	)

	DescribeTable("never relays unsolicited bytes as a response",
		// Guards against the response to another request: the transport itself takes
		// bytes that follow a response for the next response if a request is waiting
		// for the connection.
		func(unsolicited string) {
			respond.Store(responder(func(n int, conn net.Conn, req *http.Request) bool {
				text := "HTTP/1.1 200 OK\nContent-Length: " + strconv.Itoa(len(req.URL.Path)) + "\n\n" + req.URL.Path
				return raw(text+unsolicited, true)(n, conn, req)
			}))
			t.MaxConnsPerHost = 1 // each request waits for the connection of the previous one
			var wg sync.WaitGroup
			wrong := make(chan string, 100)
			for worker := range 4 {
				wg.Go(func() {
					for i := range 25 {
						path := "/" + strconv.Itoa(worker) + "/" + strconv.Itoa(i)
						if got, f := send(bg, "POST", path, nil); f == nil && got != path || f != nil && f.outcome != OutcomeNotRun {
							wrong <- path + " got " + got
						}
					}
				})
			}
			wg.Wait()
			Expect(wrong).To(BeEmpty())
		},
		Entry("a complete response", "HTTP/1.1 200 OK\nContent-Length: 4\n\nevil"),
		Entry("a response without a body", "HTTP/1.1 204 No Content\n\n"),
		Entry("the beginning of a header", "HTTP/1.1 200 OK\nX-Evil: "),
		Entry("a whole status line", "HTTP/1.1 200 OK\n"),
	)

	It("does not reuse a connection whose response is late", func() {
		// Guards against a response that arrives after its request timed out and is
		// taken for the response to the next request.
		release := make(chan struct{})
		respond.Store(responder(func(n int, conn net.Conn, req *http.Request) bool {
			if req.URL.Path == "/late" {
				<-release
				return raw("HTTP/1.1 200 OK\nContent-Length: 4\n\nlate", true)(n, conn, req)
			}
			return raw(complete, true)(n, conn, req)
		}))
		_, f := send(bg, "GET", "/first", nil)
		Expect(f).To(BeNil())
		short, cancel := context.WithTimeout(bg, 20*time.Millisecond)
		defer cancel()
		_, f = send(short, "GET", "/late", nil)
		Expect(f.outcome).To(Equal(OutcomeUnknown))
		close(release)
		for range 10 {
			got, f := send(bg, "GET", "/next", nil)
			Expect(f).To(BeNil())
			Expect(got).To(Equal("ab"))
		}
		Expect(connectionCount.Load()).To(BeEquivalentTo(2))
	})

	DescribeTable("sends a request only once if its pooled connection breaks",
		// Guards against the retries that the transport makes by itself.
		func(method string, b *body, h http.Header) {
			respond.Store(responder(func(n int, conn net.Conn, req *http.Request) bool {
				return n == 0 && req.URL.Path == "/first" && raw(complete, true)(n, conn, req)
			}))
			var wg sync.WaitGroup
			for range 3 { // opens idle connections that a retry could use
				wg.Go(func() { _, _ = send(bg, "GET", "/first", nil) })
			}
			wg.Wait()
			_, f := sendHeader(bg, method, "/once", b, h)
			Expect(f.outcome).To(Equal(OutcomeUnknown))
			Expect(f.slug).To(Equal("server-lost"))
			Expect(receivedCount("/once")).To(BeEquivalentTo(1))
		},
		Entry("safe method", "GET", nil, http.Header{}),
		Entry("no body", "POST", nil, http.Header{}),
		Entry("body", "POST", &body{prefix: []byte("ab"), length: 2}, http.Header{}),
		Entry("idempotency key", "POST", &body{prefix: []byte("ab"), length: 2}, http.Header{headerIdempotency: {"k"}}),
		Entry("another header with an idempotency key", "POST", nil, http.Header{"X-Idempotency-Key": {"k"}}),
	)

	It("reports the correct outcome when the server closes pooled connections as they are used", func() {
		// Guards against requests that run twice, and against the outcome not-run for
		// requests that ran.
		respond.Store(responder(func(n int, conn net.Conn, req *http.Request) bool {
			raw(complete, true)(n, conn, req)
			return n%3 != 1 // closes the connection while the next request uses it
		}))
		var wg sync.WaitGroup
		wrong := make(chan string, 200)
		for worker := range 4 {
			wg.Go(func() {
				for i := range 50 {
					path := "/" + strconv.Itoa(worker) + "/" + strconv.Itoa(i)
					_, f := sendHeader(bg, "GET", path, nil, http.Header{headerIdempotency: {"k"}})
					n := receivedCount(path)
					if n > 1 || f == nil && n != 1 || f != nil && f.outcome == OutcomeNotRun && n != 0 {
						wrong <- path
					}
				}
			})
		}
		wg.Wait()
		Expect(wrong).To(BeEmpty())
	})

	It("reports whether a failed request was sent, and ends with its context and deadline", func() {
		// Guards against the outcome not-run for a request that may have run, and
		// against connections that stay open for callers that have disconnected.
		arrived, ended := make(chan struct{}, 2), make(chan struct{}, 2)
		respond.Store(responder(func(_ int, conn net.Conn, _ *http.Request) bool {
			arrived <- struct{}{}
			_, _ = conn.Read(make([]byte, 1)) // until the client closes
			ended <- struct{}{}
			return false
		}))
		callerCtx, cancel := context.WithCancel(bg)
		go func() { <-arrived; cancel() }()
		_, f := send(callerCtx, "GET", "/x", nil)
		Expect(f.outcome).To(Equal(OutcomeUnknown))
		Expect(f.slug).To(Equal("caller-gone"))
		Eventually(ended).Should(Receive())
		_, f = send(callerCtx, "GET", "/y", nil)
		Expect(f.outcome).To(Equal(OutcomeNotRun))
		short, cancel := context.WithTimeout(bg, 20*time.Millisecond)
		defer cancel()
		_, f = send(short, "GET", "/z", nil)
		Expect(f.outcome).To(Equal(OutcomeUnknown))
		Eventually(ended).Should(Receive())
	})

	It("returns a response that arrives before the body was sent", func() {
		// Guards against a deadlock in which the gateway waits for the rest of the body
		// and the caller waits for the response before it sends more.
		respond.Store(responder(func(_ int, conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
			return true
		}))
		rest, pipeWriter := io.Pipe()
		got, f := send(bg, "POST", "/x", &body{rest: rest, length: -1})
		Expect(f).To(BeNil())
		Expect(got).To(Equal("no"))
		Expect(pipeWriter.Close()).To(Succeed())
	})

	It("reports the correct outcome over TLS, and sends nothing to a server whose certificate has another name", func() {
		// Guards against the outcome not-run for a request that was sent over TLS, and
		// against requests that are sent to another instance that now has the address.
		server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/lost" {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "ab")
		}))
		DeferCleanup(server.Close)
		config := server.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
		address = server.Listener.Addr().String()
		t.DialTLSContext = TrackConnections(func(ctx context.Context, network, address string) (net.Conn, error) {
			connectionCount.Add(1)
			return (&tls.Dialer{Config: config}).DialContext(ctx, network, address)
		})
		scheme = "https"
		for range 3 {
			got, f := send(bg, "GET", "/x", nil)
			Expect(f).To(BeNil())
			Expect(got).To(Equal("ab"))
		}
		Expect(connectionCount.Load()).To(BeEquivalentTo(1))
		_, f := send(bg, "GET", "/lost", nil)
		Expect(f.outcome).To(Equal(OutcomeUnknown))
		config.ServerName = "another.example"
		_, f = send(bg, "GET", "/x", nil)
		Expect(f.outcome).To(Equal(OutcomeNotRun))
		t.CloseIdleConnections()
	})
})
