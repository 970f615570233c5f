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

var _ = Describe("large bodies", func() {
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
		small := ingress.DefaultLimits
		small.BodyBytes = 1 << 20
		limits.Store(small)
		server = &ingress.Server{
			Limits:         func() ingress.Limits { return limits.Load().(ingress.Limits) }, //nolint:forcetypeassert // only this type is stored
			MustStartAlone: func(*http.Request) bool { return true },
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
				rest, err := io.Copy(io.Discard, r.BodyStream)
				if err != nil {
					return &ingress.Response{Status: http.StatusBadGateway, Header: http.Header{}}
				}
				n += int(rest)
			}
			return &ingress.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte(strconv.Itoa(n))}
		}
		var err error
		l, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		served := make(chan struct{})
		go func() { defer close(served); _ = server.Serve(l) }()
		DeferCleanup(func() { _ = l.Close(); <-served; server.Close() })
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
	answer := func(r *bufio.Reader) (*http.Response, string) {
		resp, err := http.ReadResponse(r, nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp, string(body)
	}
	head := func(path string, length int) string {
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"
	}

	It("does not take the rest of a body for the next request after an early answer", func() {
		// Guards against a request that is smuggled in a body: a target answers before
		// the body is in, and what follows on the connection is parsed as a request.
		const smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
		c, r := dial()
		send(c, head("/early", 300<<10)+strings.Repeat("x", 280<<10))
		resp, body := answer(r)
		Expect(body).To(Equal("early"))
		Expect(resp.Close).To(BeTrue())
		_, _ = io.WriteString(c, smuggled) // the other side may have closed
		_, err := http.ReadResponse(r, nil)
		Expect(err).To(HaveOccurred())
		Expect(<-paths).To(Equal("/early"))
		Consistently(paths, "100ms").ShouldNot(Receive())
	})

	It("answers early while the caller stalls in the middle of its body", func() {
		// Guards against an answer that waits for a caller which sends nothing more.
		c, r := dial()
		began := time.Now()
		send(c, head("/early", 300<<10)+strings.Repeat("x", 20<<10))
		_, body := answer(r)
		Expect(body).To(Equal("early"))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})

	It("tells the handler that its caller has left in the middle of a body", func() {
		// Guards against requests that hold a target's slot for a caller that has gone.
		c, _ := dial()
		send(c, head("/body", 300<<10)+strings.Repeat("x", 20<<10))
		Eventually(paths).Should(Receive())
		Expect(c.Close()).To(Succeed())
		Eventually(server.Connections).Should(BeZero())
		Expect(server.InFlight()).To(BeZero())
	})

	DescribeTable("refuses a chunked body that exceeds the limit instead of cutting it off",
		// Guards against a truncated body that looks complete to the target.
		func(limit int64) {
			small := ingress.DefaultLimits
			small.BodyBytes = limit
			limits.Store(small)
			c, r := dial()
			send(c, "POST /body HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
			chunk := "8000\r\n" + strings.Repeat("x", 0x8000) + "\r\n"
			for n := int64(0); n <= limit; n += 0x8000 {
				send(c, chunk)
			}
			resp, _ := answer(r)
			Expect(resp.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
			Expect(resp.Close).To(BeTrue())
		},
		Entry("that is read ahead", int64(64<<10)),
		Entry("that is passed on as it comes", int64(512<<10)),
	)

	It("refuses a body whose chunks cannot be read", func() {
		c, r := dial()
		send(c, "POST /body HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+
			"50000\r\n"+strings.Repeat("x", 0x50000)+"\r\nnonsense\r\n")
		resp, _ := answer(r)
		Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
	})

	It("asks for a body only when the answers before it are out", func() {
		// Guards against "100 Continue" in the middle of another answer.
		c, r := dial()
		send(c, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"+
			"POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
		resp, _ := answer(r)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		resp, err := http.ReadResponse(r, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusContinue))
		send(c, "abc")
		_, body := answer(r)
		Expect(body).To(Equal("3"))
	})

	It("keeps the connection when a large body was read to its end", func() {
		c, r := dial()
		for range 2 {
			send(c, head("/body", 400<<10)+strings.Repeat("x", 400<<10))
			resp, body := answer(r)
			Expect(body).To(Equal(strconv.Itoa(400 << 10)))
			Expect(resp.Close).To(BeFalse())
		}
	})

	It("holds 1,000 uploads of 10 MB at once in less than 64 MB", func() {
		// Guards against bodies that are gathered: an instance has 184 MB in all.
		big := ingress.DefaultLimits
		big.BodyBytes = 64 << 20
		limits.Store(big)
		server.Handler = func(_ context.Context, r *ingress.Request) *ingress.Response {
			paths <- r.URL.Path
			_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, r.BodyStream, make([]byte, 16<<10))
			return nil
		}
		p := make(pipeListener)
		served := make(chan struct{})
		go func() { defer close(served); _ = server.Serve(p) }()
		DeferCleanup(func() { close(p); <-served })
		heap := func() uint64 {
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			return m.HeapInuse + m.StackInuse
		}
		piece := []byte(strings.Repeat("x", 512<<10))
		before := heap()
		for i := range 1000 {
			c, theirs := net.Pipe()
			p <- theirs
			DeferCleanup(func() { _ = c.Close() })
			go func() {
				request := head("/upload", 10<<20)
				if i%2 == 1 {
					request = "POST /upload HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nA00000\r\n"
				}
				_, _ = io.WriteString(c, request)
				_, _ = c.Write(piece) // ends when the connection is closed
			}()
			Eventually(paths, "5s", "1ms").Should(Receive())
		}
		after := heap()
		GinkgoWriter.Printf("%d KB\n", (after-before)>>10)
		Expect(after - before).To(BeNumerically("<", 64<<20))
	})
})
