package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/boragegate/boragegate/internal/ingress"
)

func TestIngress(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ingress")
}

// readerFunc is an io.Reader.
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// closeSignal is a stream that closes a channel when it is closed for the first time.
type closeSignal struct {
	io.Reader
	once   sync.Once
	closed chan struct{}
}

func (s *closeSignal) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

var _ = Describe("Server", func() {
	var (
		server       *ingress.Server
		address      string
		listener     net.Listener
		disconnected chan string
		release      chan struct{}
		streamClosed chan struct{}
		idleTimeout  atomic.Int64 // idle timeout, as a time.Duration
	)
	BeforeEach(func() {
		ignore := goleak.IgnoreCurrent()
		DeferCleanup(func() { goleak.VerifyNone(GinkgoTB(), ignore) })
		idleTimeout.Store(int64(ingress.DefaultLimits.IdleTimeout))
		disconnected, release, streamClosed = make(chan string, 10), make(chan struct{}), make(chan struct{})
		server = &ingress.Server{
			Limits: func() ingress.Limits {
				l := ingress.DefaultLimits
				l.HeaderBytes, l.BodyBytes, l.IdleTimeout = 4<<10, 1<<20, time.Duration(idleTimeout.Load())
				return l
			},
			MustStartInOrder: func(r *http.Request) bool { return r.Method == http.MethodPost },
		}
		server.Handler = func(ctx context.Context, r *ingress.Request) *ingress.Response {
			body := []byte(r.URL.Path)
			switch {
			case strings.HasPrefix(r.URL.Path, "/slow"):
				select {
				case <-release:
				case <-ctx.Done():
					disconnected <- r.URL.Path
					return nil
				}
			case strings.HasPrefix(r.URL.Path, "/body"):
				body = r.Body
				if r.BodyStream != nil {
					streamed, err := io.ReadAll(r.BodyStream)
					if err != nil {
						return nil
					}
					body = []byte(strconv.Itoa(len(body) + len(streamed)))
				}
			case r.URL.Path == "/broken":
				return &ingress.Response{Status: 200, Header: http.Header{}, Length: 100, Stream: io.NopCloser(strings.NewReader("short"))}
			case r.URL.Path == "/stream":
				return &ingress.Response{Status: 200, Header: http.Header{}, Length: -1, Body: []byte("ab"), Stream: io.NopCloser(strings.NewReader("cd"))}
			case r.URL.Path == "/closer":
				return &ingress.Response{Status: 200, Header: http.Header{}, Length: -1, Stream: &closeSignal{Reader: strings.NewReader("x"), closed: streamClosed}}
			case r.URL.Path == "/endless":
				endless := io.NopCloser(readerFunc(func(p []byte) (int, error) { return len(p), nil }))
				return &ingress.Response{Status: 200, Header: http.Header{}, Length: -1, Stream: endless, Deadline: r.Arrived.Add(200 * time.Millisecond)}
			case r.URL.Path == "/refused":
				return &ingress.Response{Status: 503, Header: http.Header{"Retry-After": {"0.1"}}, Close: true}
			case r.URL.Path == "/nothing":
				return nil
			}
			return &ingress.Response{Status: 200, Header: http.Header{"Connection": {"X"}}, Body: body}
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address, listener = l.Addr().String(), l
		serveDone := make(chan struct{})
		go func() { defer close(serveDone); _ = server.Serve(l) }()
		DeferCleanup(func() { _ = l.Close(); <-serveDone; server.Close() })
	})
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		return c, bufio.NewReader(c)
	}
	send := func(c net.Conn, text string) {
		_, err := io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
		Expect(err).NotTo(HaveOccurred())
	}
	readResponse := func(r *bufio.Reader) (*http.Response, string, error) {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return nil, "", err
		}
		body, err := io.ReadAll(resp.Body)
		return resp, string(body), err
	}

	It("answers pipelined requests in order", func() {
		// Guards against a response that is sent in the place of another request's.
		c, r := dial()
		send(c, "GET /slow HTTP/1.1\nHost: h\n\nGET /b HTTP/1.1\nHost: h\n\nGET /c HTTP/1.1\nHost: h\n\n")
		Consistently(r.Buffered, "50ms").Should(BeZero())
		close(release)
		for _, want := range []string{"/slow", "/b", "/c"} {
			_, body, err := readResponse(r)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(want))
		}
	})

	It("closes the stream of a response that it does not write", func() {
		// Guards against connections to targets that stay open and count against the limit of the target, because the caller
		// disconnected while the response waited behind an earlier one.
		c, _ := dial()
		send(c, "GET /slow HTTP/1.1\nHost: h\n\nGET /closer HTTP/1.1\nHost: h\n\n")
		Eventually(server.InFlight, "1s", "1ms").Should(Equal(1)) // the second handler has returned
		Consistently(streamClosed, "50ms").ShouldNot(BeClosed())
		Expect(c.Close()).To(Succeed())
		Eventually(streamClosed, "1s").Should(BeClosed())
	})

	It("stops writing a streamed response at its deadline to a caller that does not read", func() {
		// Guards against a response that holds its goroutine and its target's connection for as long as a slow caller likes.
		c, r := dial()
		start := time.Now()
		send(c, "GET /endless HTTP/1.1\nHost: h\n\n")
		Eventually(server.InFlight, "1s", "1ms").Should(Equal(1))
		Eventually(server.InFlight, "2s", "5ms").Should(BeZero())
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		_, _, err := readResponse(r)
		Expect(err).To(HaveOccurred(), "the response must not look whole")
	})

	It("cancels all handlers of a connection when the caller disconnects", func() {
		// Guards against requests that are forwarded for callers that have disconnected.
		c, _ := dial()
		send(c, "GET /slow/1 HTTP/1.1\nHost: h\n\nGET /slow/2 HTTP/1.1\nHost: h\n\n")
		Eventually(server.InFlight).Should(Equal(2))
		Expect(c.Close()).To(Succeed())
		Eventually(disconnected).Should(Receive())
		Eventually(disconnected).Should(Receive())
		Eventually(server.Connections).Should(BeZero())
	})

	DescribeTable("does not start a request behind a response that may break off",
		// Guards against requests that targets have run and whose responses are lost, because the connection is closed when a
		// streamed response before them breaks off.
		func(first string, behind int) {
			server.MayBreakOff = func(r *http.Request) bool { return r.URL.Path == first && first == "/broken" }
			started := make(chan string, 10)
			handler := server.Handler
			server.Handler = func(ctx context.Context, r *ingress.Request) *ingress.Response {
				started <- r.URL.Path
				if r.URL.Path == first {
					time.Sleep(100 * time.Millisecond) // the others have arrived by then
				}
				return handler(ctx, r)
			}
			c, r := dial()
			send(c, "GET "+first+" HTTP/1.1\nHost: h\n\nGET /a HTTP/1.1\nHost: h\n\nGET /b HTTP/1.1\nHost: h\n\n")
			if first == "/broken" {
				_, _, err := readResponse(r)
				Expect(err).To(HaveOccurred())
			} else {
				for _, want := range []string{first, "/a", "/b"} {
					_, body, err := readResponse(r)
					Expect(err).NotTo(HaveOccurred())
					Expect(body).To(Equal(want))
				}
			}
			Eventually(started).Should(HaveLen(1 + behind))
			Consistently(started, "50ms").Should(HaveLen(1 + behind))
		},
		Entry("that does", "/broken", 0), Entry("but starts it behind another one", "/x", 2),
	)

	It("does not start a request that is pipelined behind one with Connection: close", func() {
		// Guards against a request that runs twice: it is pipelined behind one whose
		// response closes the connection, so the caller sends it again.
		c, r := dial()
		send(c, "GET /refused HTTP/1.1\nHost: h\nConnection: close\n\nPOST /slow HTTP/1.1\nHost: h\nContent-Length: 0\n\n")
		resp, _, err := readResponse(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Close).To(BeTrue())
		_, _, err = readResponse(r)
		Expect(err).To(HaveOccurred())
		Eventually(server.InFlight).Should(BeZero(), "the POST would wait for the release channel")
	})

	DescribeTable("does not present a broken response as complete",
		// Guards against a caller that takes a truncated response for a complete one.
		func(path string) {
			c, r := dial()
			send(c, "GET "+path+" HTTP/1.1\nHost: h\n\n")
			_, _, err := readResponse(r)
			Expect(err).To(HaveOccurred())
		},
		Entry("too short", "/broken"), Entry("no response", "/nothing"),
	)

	DescribeTable("transfers request and response bodies",
		func(request, want string) {
			c, r := dial()
			send(c, request)
			_, body, err := readResponse(r)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(want))
		},
		Entry("with a length", "POST /body HTTP/1.1\nHost: h\nContent-Length: 3\n\nabc", "abc"),
		Entry("in chunks", "POST /body HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n1\na\n2\nbc\n0\n\n", "abc"),
		Entry("larger than the buffered part", "POST /body HTTP/1.1\nHost: h\nContent-Length: 300000\n\n"+strings.Repeat("x", 300000), "300000"),
		Entry("without a length in the response", "GET /stream HTTP/1.1\nHost: h\n\n", "abcd"),
	)

	DescribeTable("rejects invalid requests and closes the connection",
		// Guards against request smuggling, and against callers that exhaust memory.
		func(request string, status int) {
			c, r := dial()
			send(c, request)
			resp, _, err := readResponse(r)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(status))
			_, _, err = readResponse(r)
			Expect(err).To(HaveOccurred())
		},
		Entry("not an HTTP request", "nonsense\n\n", 400),
		Entry("two different lengths", "POST / HTTP/1.1\nHost: h\nContent-Length: 3\nContent-Length: 4\n\nabc", 400),
		Entry("blank in the name of a field", "GET / HTTP/1.1\nHost: h\nodd name: x\n\n", 400),
		Entry("blank after the name of the encoding", "POST / HTTP/1.1\nHost: h\nTransfer-Encoding : chunked\n\n0\n\n", 400),
		Entry("control byte in the name of a field", "GET / HTTP/1.1\nHost: h\nX\x01: x\n\n", 400),
		Entry("folded line", "GET / HTTP/1.1\nHost: h\nX: x\n y: z\n\n", 400),
		Entry("field without a name", "GET / HTTP/1.1\nHost: h\n: z\n\n", 400),
		Entry("encoding and length", "POST / HTTP/1.1\nHost: h\nContent-Length: 3\nTransfer-Encoding: chunked\n\n0\n\n", 400),
		Entry("encoding in HTTP/1.0", "POST / HTTP/1.0\nHost: h\nTransfer-Encoding: chunked\n\n0\n\n", 400),
		Entry("another version", "PRI * HTTP/2.0\n\nSM\n\n", 400),
		Entry("large header", "GET / HTTP/1.1\nHost: h\nX: "+strings.Repeat("x", 20<<10)+"\n\n", 431),
		Entry("large body", "POST / HTTP/1.1\nHost: h\nContent-Length: 2000000\n\n", 413),
	)

	It("closes each connection after its next response while it drains", func() {
		// Guards against callers that keep their connections to an instance that is about
		// to stop.
		c, r := dial()
		server.Drain()
		send(c, "GET /a HTTP/1.1\nHost: h\n\n")
		resp, body, err := readResponse(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Close).To(BeTrue())
		Expect(body).To(Equal("/a"))
		Expect(resp.Header.Get("Connection")).NotTo(Equal("X"))
	})

	It("answers every request that it has started when it shuts down under load", func() {
		// Guards against requests that lose their connection to Shutdown because they
		// arrive when no other request is pending: a request that reached the handler must
		// be answered.
		var started, answered atomic.Int64
		server.Handler = func(context.Context, *ingress.Request) *ingress.Response {
			started.Add(1)
			time.Sleep(time.Millisecond)
			return &ingress.Response{Status: 200, Header: http.Header{}, Body: []byte("ok")}
		}
		var callers sync.WaitGroup
		for range 16 {
			callers.Go(func() {
				for range 400 {
					c, err := net.Dial("tcp", address)
					if err != nil {
						return
					}
					r := bufio.NewReader(c)
					for range 3 {
						if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
							break
						}
						if _, _, err := readResponse(r); err != nil {
							break
						}
						answered.Add(1)
					}
					_ = c.Close()
				}
			})
		}
		Eventually(started.Load).Should(BeNumerically(">", 100))
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		server.Shutdown(ctx) // callers continue until the listener is closed
		_ = listener.Close()
		ctx, cancel = context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		server.Shutdown(ctx)
		Expect(server.Connections()).To(BeZero())
		callers.Wait()
		Expect(answered.Load()).To(Equal(started.Load()))
	})

	It("closes connections that stay idle", func() {
		// Guards against idle connections that use up file descriptors.
		idleTimeout.Store(int64(50 * time.Millisecond))
		c, r := dial()
		send(c, "GET /a HTTP/1.1\nHost: h\n\n")
		_, _, err := readResponse(r)
		Expect(err).NotTo(HaveOccurred())
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err = r.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})
})
