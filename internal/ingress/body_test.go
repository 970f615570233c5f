package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/boragegate/boragegate/internal/ingress"
)

var _ = Describe("large request bodies", func() {
	var (
		server *ingress.Server
		l      net.Listener
		limits atomic.Value
		paths  chan string
	)
	BeforeEach(func() {
		ignore := goleak.IgnoreCurrent()
		DeferCleanup(func() { goleak.VerifyNone(GinkgoTB(), ignore) })
		paths = make(chan string, 10)
		smallLimits := ingress.DefaultLimits
		smallLimits.BodyBytes = 1 << 20
		limits.Store(smallLimits)
		server = &ingress.Server{
			Limits:           func() ingress.Limits { return limits.Load().(ingress.Limits) }, //nolint:forcetypeassert // only this type is stored
			MustStartInOrder: func(*http.Request) bool { return true },
		}
		server.Handler = func(ctx context.Context, r *ingress.Request) *ingress.Response {
			paths <- r.URL.Path
			switch r.URL.Path {
			case "/early":
				return &ingress.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte("early")}
			case "/wait":
				<-ctx.Done()
				return nil
			case "/slow":
				time.Sleep(50 * time.Millisecond)
			}
			n := len(r.Body)
			if r.BodyStream != nil {
				streamed, err := io.Copy(io.Discard, r.BodyStream)
				if err != nil {
					return &ingress.Response{Status: http.StatusBadGateway, Header: http.Header{}}
				}
				n += int(streamed)
			}
			return &ingress.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte(strconv.Itoa(n))}
		}
		var err error
		l, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		serveDone := make(chan struct{})
		go func() { defer close(serveDone); _ = server.Serve(l) }()
		DeferCleanup(func() { _ = l.Close(); <-serveDone; server.Close() })
	})
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		return c, bufio.NewReader(c)
	}
	send := func(c net.Conn, text string) {
		_, err := io.WriteString(c, text)
		Expect(err).NotTo(HaveOccurred())
	}
	readResponse := func(r *bufio.Reader) (*http.Response, string) {
		resp, err := http.ReadResponse(r, nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp, string(body)
	}
	requestHeader := func(path string, length int) string {
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"
	}

	It("does not parse the remaining body as the next request after an early response", func() {
		// Guards against request smuggling: a target responds before it has received the
		// whole body, and the bytes that follow on the connection are parsed as a request.
		const smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
		c, r := dial()
		send(c, requestHeader("/early", 300<<10)+strings.Repeat("x", 280<<10))
		resp, body := readResponse(r)
		Expect(body).To(Equal("early"))
		Expect(resp.Close).To(BeTrue())
		_, _ = io.WriteString(c, smuggled) // the other side may have closed
		_, err := http.ReadResponse(r, nil)
		Expect(err).To(HaveOccurred())
		Expect(<-paths).To(Equal("/early"))
		Consistently(paths, "100ms").ShouldNot(Receive())
	})

	It("sends an early response while the caller stalls in the middle of its body", func() {
		// Guards against a response that is delayed until a stalled caller sends the rest
		// of its body.
		c, r := dial()
		start := time.Now()
		send(c, requestHeader("/early", 300<<10)+strings.Repeat("x", 20<<10))
		_, body := readResponse(r)
		Expect(body).To(Equal("early"))
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	})

	It("stops the handler when its caller disconnects in the middle of a body", func() {
		// Guards against requests that occupy a target's slot for a caller that has
		// disconnected.
		c, _ := dial()
		send(c, requestHeader("/body", 300<<10)+strings.Repeat("x", 20<<10))
		Eventually(paths).Should(Receive())
		Expect(c.Close()).To(Succeed())
		Eventually(server.Connections).Should(BeZero())
		Expect(server.InFlight()).To(BeZero())
	})

	DescribeTable("rejects a chunked body that exceeds the limit instead of truncating it",
		// Guards against a truncated body that the target takes for a complete one.
		func(limit int64) {
			smallLimits := ingress.DefaultLimits
			smallLimits.BodyBytes = limit
			limits.Store(smallLimits)
			c, r := dial()
			send(c, "POST /body HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
			chunk := "8000\r\n" + strings.Repeat("x", 0x8000) + "\r\n"
			for n := int64(0); n <= limit; n += 0x8000 {
				send(c, chunk)
			}
			resp, _ := readResponse(r)
			Expect(resp.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
			Expect(resp.Close).To(BeTrue())
		},
		Entry("that is buffered", int64(64<<10)),
		Entry("that is streamed", int64(512<<10)),
	)

	It("rejects a body with malformed chunks", func() {
		// Guards against a server error as the response to a mistake of the caller.
		c, r := dial()
		send(c, "POST /body HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+
			"50000\r\n"+strings.Repeat("x", 0x50000)+"\r\nnonsense\r\n")
		resp, _ := readResponse(r)
		Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
	})

	It("sends 100 Continue only after all earlier responses", func() {
		// Guards against "100 Continue" in the middle of another response.
		c, r := dial()
		send(c, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"+
			"POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
		resp, _ := readResponse(r)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		resp, err := http.ReadResponse(r, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusContinue))
		send(c, "abc")
		_, body := readResponse(r)
		Expect(body).To(Equal("3"))
	})

	It("keeps the connection open after a large body was read to its end", func() {
		// Guards against a new connection for each large upload.
		c, r := dial()
		for range 2 {
			send(c, requestHeader("/body", 400<<10)+strings.Repeat("x", 400<<10))
			resp, body := readResponse(r)
			Expect(body).To(Equal(strconv.Itoa(400 << 10)))
			Expect(resp.Close).To(BeFalse())
		}
	})

	It("uses less than 64 MB for 1,000 concurrent uploads of 10 MB", func() {
		// Guards against large bodies that are buffered as a whole: an instance has 184 MB
		// of memory in total.
		largeLimits := ingress.DefaultLimits
		largeLimits.BodyBytes = 64 << 20
		limits.Store(largeLimits)
		server.Handler = func(_ context.Context, r *ingress.Request) *ingress.Response {
			paths <- r.URL.Path
			_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, r.BodyStream, make([]byte, 16<<10))
			return nil
		}
		p := make(pipeListener)
		serveDone := make(chan struct{})
		go func() { defer close(serveDone); _ = server.Serve(p) }()
		DeferCleanup(func() { close(p); <-serveDone })
		heap := func() uint64 {
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			return m.HeapInuse + m.StackInuse
		}
		bodyPart := []byte(strings.Repeat("x", 512<<10))
		heapBefore := heap()
		for i := range 1000 {
			c, serverConn := net.Pipe()
			p <- serverConn
			DeferCleanup(func() { _ = c.Close() })
			go func() {
				request := requestHeader("/upload", 10<<20)
				if i%2 == 1 {
					request = "POST /upload HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nA00000\r\n"
				}
				_, _ = io.WriteString(c, request)
				_, _ = c.Write(bodyPart) // ends when the connection is closed
			}()
			Eventually(paths, "5s", "1ms").Should(Receive())
		}
		heapAfter := heap()
		GinkgoWriter.Printf("%d KB\n", (heapAfter-heapBefore)>>10)
		Expect(heapAfter - heapBefore).To(BeNumerically("<", 64<<20))
	})
})
