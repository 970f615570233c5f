package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/boragegate/boragegate/internal/upstream"
	"github.com/boragegate/boragegate/routing"
)

// stalledBody is the body stream of a caller that sends nothing more.
type stalledBody struct {
	once   sync.Once
	closed chan struct{}
}

func newStalledBody() *stalledBody { return &stalledBody{closed: make(chan struct{})} }

func (b *stalledBody) Read([]byte) (int, error) { <-b.closed; return 0, errors.New("closed") }
func (b *stalledBody) Close() error             { b.once.Do(func() { close(b.closed) }); return nil }

var _ = Describe("Client with large request bodies", func() {
	var (
		client *upstream.Client
		target *routing.Target
	)
	serveWith := func(handle func(c net.Conn, r *bufio.Reader)) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = c.Close() }()
					handle(c, bufio.NewReader(c))
				}()
			}
		}()
		target = &routing.Target{ID: "t", Incarnation: 1, Address: l.Addr().String()}
		DeferCleanup(func() { client.RetainTargets(nil); _ = l.Close() })
	}
	BeforeEach(func() {
		ignore := goleak.IgnoreCurrent()
		DeferCleanup(func() { goleak.VerifyNone(GinkgoTB(), ignore) })
		client = &upstream.Client{IDHeader: "X-Id", MaxConnections: func(string) int { return 0 }}
	})
	upload := func(ctx context.Context, bodyStream io.ReadCloser) (*upstream.Response, error) {
		return client.Do(ctx, target, &upstream.Request{
			Method: "POST", URI: "/u", Host: "h", Header: http.Header{"X-Id": {"1"}}, ID: "1",
			Body: make([]byte, 20<<10), BodyStream: bodyStream, Length: 1 << 20,
		})
	}

	DescribeTable("returns an early response immediately and does not reuse the connection",
		// Guards against a response that is delayed by a stalled caller, and against a
		// next request on a connection on which the target still expects the body.
		func(status string) {
			ended := make(chan error, 4) // result of reading each connection to its end
			serveWith(func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok")
				_, err := io.Copy(io.Discard, r)
				ended <- err
			})
			start := time.Now()
			resp, err := upload(context.Background(), newStalledBody())
			Expect(err).NotTo(HaveOccurred())
			Expect(string(resp.Body)).To(Equal("ok"))
			Expect(time.Since(start)).To(BeNumerically("<", time.Second))
			Expect(client.Connections()).To(BeZero())
			Eventually(ended).Should(Receive())
		},
		Entry("success", "200 OK"), Entry("unavailable", "503 Service Unavailable"), Entry("error", "500 Internal Server Error"),
	)

	It("returns when its context is done while the caller stalls", func() {
		// Guards against a request that exceeds its deadline.
		serveWith(func(_ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err := upload(ctx, newStalledBody())
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, upstream.ErrNotSent)).To(BeFalse(), "part of the request was sent")
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		Expect(client.Connections()).To(BeZero())
	})

	It("does not present a body that breaks off as complete", func() {
		// Guards against a target that processes half an upload.
		complete := make(chan bool, 1)
		serveWith(func(_ net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, err = io.Copy(io.Discard, req.Body)
			complete <- err == nil
		})
		bodyStream := newStalledBody()
		Expect(bodyStream.Close()).To(Succeed())
		_, err := upload(context.Background(), bodyStream)
		Expect(err).To(HaveOccurred())
		Eventually(complete).Should(Receive(BeFalse()))
	})

	It("does not return ErrNotSent when the target closes in the middle of the body", func() {
		// Guards against an upload that is retried although the target may have processed it.
		serveWith(func(_ net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r) // closes with most of the body unread
		})
		_, err := upload(context.Background(), newStalledBody())
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, upstream.ErrNotSent)).To(BeFalse())
	})
})
