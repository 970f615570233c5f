package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/boragegate/boragegate/internal/upstream"
	"github.com/boragegate/boragegate/routing"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream")
}

// scriptedResponses are texts that a server sends after each request of a connection; "ID"
// stands for the request's ID and "\n" for CRLF. Without a text it closes.
type scriptedResponses []string

var _ = Describe("Client", func() {
	var (
		client  *upstream.Client
		target  *routing.Target
		script  atomic.Value // answers
		dialled atomic.Int64
	)
	BeforeEach(func() {
		ignore := goleak.IgnoreCurrent()
		DeferCleanup(func() { goleak.VerifyNone(GinkgoTB(), ignore) })
		dialled.Store(0)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				texts, _ := script.Load().(scriptedResponses)
				if dialled.Add(1) > 1 && len(texts) > 1 {
					texts = texts[1:] // the first text is for the first connection only
				}
				go serveScript(c, texts)
			}
		}()
		target = &routing.Target{ID: "t", Incarnation: 1, Address: l.Addr().String()}
		client = &upstream.Client{IDHeader: "X-Id", MaxConnections: func(string) int { return 3 }}
		DeferCleanup(func() { client.RetainTargets(nil); _ = l.Close() })
	})
	do := func(ctx context.Context, id string) (string, error) {
		resp, err := client.Do(ctx, target, &upstream.Request{Method: "GET", URI: "/" + id, Host: "h", Header: http.Header{"X-Id": {id}}, ID: id})
		if err != nil {
			return "", err
		}
		return string(resp.Body), nil
	}
	const own = "HTTP/1.1 200 OK\nX-Id: ID\nContent-Length: 2\n\nok"
	const other = "HTTP/1.1 200 OK\nX-Id: other\nContent-Length: 4\n\nevil"
	bg := context.Background()

	DescribeTable("gives a request its own whole answer or none",
		// Guards against answers to other requests, and broken ones that look complete.
		func(first string, fails bool, connections int) {
			script.Store(scriptedResponses{first, own, own})
			got, err := do(bg, "1")
			Expect(err != nil).To(Equal(fails))
			if !fails {
				Expect(got).To(Equal("ok"))
			}
			time.Sleep(20 * time.Millisecond) // what is left over arrives
			Expect(do(bg, "2")).To(Equal("ok"))
			Expect(dialled.Load()).To(BeEquivalentTo(connections))
		},
		Entry("whole", own, false, 1),
		Entry("second answer behind it", own+other, false, 2),
		Entry("another answer before it", other+own, false, 1),
		Entry("only another answer", other+"close", true, 2),
		Entry("informational answer before it", "HTTP/1.1 103 Early\n\n"+own, false, 1),
		Entry("short", "HTTP/1.1 200 OK\nX-Id: ID\nContent-Length: 5\n\nokclose", true, 2),
		Entry("no HTTP", "garbage\n\n", true, 2),
		Entry("until the end of the connection", "HTTP/1.1 200 OK\nX-Id: ID\n\nokclose", false, 2),
		Entry("announced close", "HTTP/1.1 200 OK\nX-Id: ID\nConnection: close\nContent-Length: 2\n\nok", false, 2),
		Entry("keep-alive that is over", "HTTP/1.1 200 OK\nX-Id: ID\nKeep-Alive: timeout=0\nContent-Length: 2\n\nok", false, 2),
	)

	It("passes on the rest of a large answer after the exchange's context has ended", func() {
		// Guards against large downloads that break when the request's handler returns.
		size := 3 << 20
		script.Store(scriptedResponses{"HTTP/1.1 200 OK\nX-Id: ID\nContent-Length: " + strconv.Itoa(size) + "\n\n" + strings.Repeat("x", size)})
		ctx, cancel := context.WithCancel(bg)
		resp, err := client.Do(ctx, target, &upstream.Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{"X-Id": {"1"}}, ID: "1"})
		Expect(err).NotTo(HaveOccurred())
		cancel()
		rest, err := io.ReadAll(resp.Stream)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(resp.Body) + len(rest)).To(Equal(size))
		Expect(resp.Stream.Close()).To(Succeed())
		Expect(client.Connections()).To(BeZero())
	})

	It("says that nothing was sent if there is no connection", func() {
		// Guards against requests that are given up although they may be sent elsewhere.
		target.Address = "127.0.0.1:1"
		_, err := do(bg, "1")
		Expect(err).To(MatchError(upstream.ErrNotSent))
	})

	It("does not say so once the request is out", func() {
		// Guards against requests that run twice.
		script.Store(scriptedResponses{"close"})
		_, err := do(bg, "1")
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, upstream.ErrNotSent)).To(BeFalse())
	})

	It("closes the connection of a caller that has gone, at once", func() {
		// Guards against targets that work on for nobody.
		script.Store(scriptedResponses{"silence"})
		ctx, cancel := context.WithTimeout(bg, 30*time.Millisecond)
		defer cancel()
		_, err := do(ctx, "1")
		Expect(err).To(HaveOccurred())
		Expect(client.Connections()).To(BeZero())
	})

	It("keeps the number of connections to a target within the limit", func() {
		script.Store(scriptedResponses{"silence"})
		ctx, cancel := context.WithCancel(bg)
		done := make(chan error, 3)
		for range 3 {
			go func() { _, err := do(ctx, "1"); done <- err }()
		}
		Eventually(client.Connections).Should(Equal(3))
		_, err := do(bg, "2")
		Expect(err).To(MatchError(upstream.ErrTooManyConnections))
		cancel()
		for range 3 {
			Eventually(done).Should(Receive())
		}
	})
})

func serveScript(c net.Conn, texts scriptedResponses) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, text := range texts {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if text == "silence" {
			_, _ = r.ReadByte()
			return
		}
		text, shut := strings.CutSuffix(text, "close")
		text = strings.ReplaceAll(strings.ReplaceAll(text, "X-Id: ID", "X-Id: "+req.Header.Get("X-Id")), "\n", "\r\n")
		if _, err := io.WriteString(c, text); err != nil || shut {
			return
		}
	}
	_, _ = r.ReadByte()
}
