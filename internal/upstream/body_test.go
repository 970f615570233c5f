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

// stalledBody is the rest of a body whose caller sends nothing more.
type stalledBody struct {
	once   sync.Once
	closed chan struct{}
}

func newStalledBody() *stalledBody { return &stalledBody{closed: make(chan struct{})} }

func (b *stalledBody) Read([]byte) (int, error) { <-b.closed; return 0, errors.New("closed") }
func (b *stalledBody) Close() error             { b.once.Do(func() { close(b.closed) }); return nil }

var _ = Describe("large bodies", func() {
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
	upload := func(ctx context.Context, rest io.ReadCloser) (*upstream.Response, error) {
		return client.Do(ctx, target, &upstream.Request{
			Method: "POST", URI: "/u", Host: "h", Header: http.Header{"X-Id": {"1"}}, ID: "1",
			Body: make([]byte, 20<<10), BodyStream: rest, Length: 1 << 20,
		})
	}

	DescribeTable("passes on an early answer at once and does not use the connection again",
		// Guards against an answer that waits for a caller that stalls, and against another
		// request where the target waits for the rest of the body.
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
			began := time.Now()
			resp, err := upload(context.Background(), newStalledBody())
			Expect(err).NotTo(HaveOccurred())
			Expect(string(resp.Body)).To(Equal("ok"))
			Expect(time.Since(began)).To(BeNumerically("<", time.Second))
			Expect(client.Connections()).To(BeZero())
			Eventually(ended).Should(Receive())
		},
		Entry("success", "200 OK"), Entry("refusal", "503 Service Unavailable"), Entry("error", "500 Internal Server Error"),
	)

	It("ends with its context while the caller stalls", func() {
		// Guards against a request that is held beyond its deadline.
		serveWith(func(_ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := upload(ctx, newStalledBody())
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, upstream.ErrNotSent)).To(BeFalse(), "a part of it was sent")
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		Expect(client.Connections()).To(BeZero())
	})

	It("does not let a body that breaks off look complete", func() {
		// Guards against a target that runs half an upload.
		complete := make(chan bool, 1)
		serveWith(func(_ net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, err = io.Copy(io.Discard, req.Body)
			complete <- err == nil
		})
		rest := newStalledBody()
		Expect(rest.Close()).To(Succeed())
		_, err := upload(context.Background(), rest)
		Expect(err).To(HaveOccurred())
		Eventually(complete).Should(Receive(BeFalse()))
	})

	It("says that the outcome is unknown when the target closes in the middle of the body", func() {
		// Guards against an upload that runs twice.
		serveWith(func(_ net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r) // closes with most of the body unread
		})
		_, err := upload(context.Background(), newStalledBody())
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, upstream.ErrNotSent)).To(BeFalse())
	})
})
