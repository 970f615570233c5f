package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/boragegate/boragegate/internal/framing"
	"github.com/boragegate/boragegate/internal/mtls"
	"github.com/boragegate/boragegate/internal/mtls/mtlstest"
	"github.com/boragegate/boragegate/ownership"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

// testTransport is a transport with what it received and logged.
type testTransport struct {
	*Transport
	received  chan any
	logOutput *bytes.Buffer
}

type delivery struct {
	from string
	msg  ownership.Message
}

func startTransport(cfg Config) *testTransport {
	GinkgoHelper()
	n := &testTransport{received: make(chan any, 1000), logOutput: &bytes.Buffer{}}
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	if cfg.Cell == "" {
		cfg.Cell = "c1"
	}
	cfg.Plain = cfg.TLS == mtls.Files{}
	cfg.Logger = zerolog.New(zerolog.SyncWriter(n.logOutput))
	cfg.Deliver = func(from string, msg ownership.Message) { n.received <- delivery{from, msg} }
	var err error
	n.Transport, err = New(cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(n.Close)
	return n
}

func (n *testTransport) member() ownership.Member {
	return ownership.Member{ID: n.cfg.Self, PeerAddress: n.Addr().String()}
}

func (n *testTransport) counter(name string) func() int64 {
	return func() int64 { return metrics.GetOrRegisterCounter("peer."+name, n.cfg.Metrics).Count() }
}

var _ = Describe("transport", func() {
	BeforeEach(func() {
		known := goleak.IgnoreCurrent()
		DeferCleanup(func() { Eventually(func() error { return goleak.Find(known) }).Should(Succeed()) })
	})

	It("must be told by name to run without authentication", func() {
		_, err := New(Config{Self: "a", Deliver: func(string, ownership.Message) {}})
		Expect(err).To(MatchError(ContainSubstring("plain mode")))
	})

	It("reaches a member that starts late or restarts at another address", func() {
		a := startTransport(Config{Self: "a"})
		b := startTransport(Config{Self: "b"})
		member := b.member()
		Expect(b.Close()).To(Succeed())
		a.Send(member, ownership.AssignmentRequest{Service: "1"})
		Eventually(a.counter("connect_errors")).Should(BeNumerically(">", 0))
		b = startTransport(Config{Self: "b", Listen: member.PeerAddress})
		Eventually(b.received, "5s").Should(Receive(Equal(delivery{"a", ownership.AssignmentRequest{Service: "1"}})))
		moved := startTransport(Config{Self: "b"})
		a.Send(moved.member(), ownership.AssignmentRequest{Service: "2"})
		Eventually(moved.received, "5s").Should(Receive(Equal(delivery{"a", ownership.AssignmentRequest{Service: "2"}})))
	})

	It("closes the older of two connections of one peer, which may be half open", func() {
		b := startTransport(Config{Self: "b"})
		old := dial(b)
		Expect(writeHandshake(old, handshake{Instance: "a", Cell: "c1"})).To(Succeed())
		_, err := readHandshake(old)
		Expect(err).NotTo(HaveOccurred())
		startTransport(Config{Self: "a"}).Send(b.member(), ownership.LeaveRequest{})
		Eventually(b.received).Should(Receive())
		_, err = old.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})

	It("does not block the caller while a peer is unreachable, and counts what it drops", func() {
		a := startTransport(Config{Self: "a"})
		for range 2 * maxQueuedFrames {
			a.Send(ownership.Member{ID: "b", PeerAddress: "127.0.0.1:1"}, ownership.TableRequest{Version: 1})
		}
		Expect(a.counter("dropped_low")()).To(BeEquivalentTo(maxQueuedFrames))
	})

	It("gives up on a former member that cannot be reached, so that replaced instances leave nothing behind", func() {
		a := startTransport(Config{Self: "a"})
		l := newOutboundConnection(a.Transport, "gone")
		l.setAddress("127.0.0.1:1")
		l.queue.enqueueText(time.Now().Add(-idleTimeout), kindLow, "low")
		done := make(chan struct{})
		go func() { _ = l.maintain(); close(done) }()
		Eventually(done).Should(BeClosed())
	})

	heartbeat := func() []byte { b, _, _ := encode(ownership.Heartbeat{Stamp: 1}); return b }()
	raw := func(length uint32, rest ...byte) []byte {
		return append(binary.BigEndian.AppendUint32(nil, length), rest...)
	}
	DescribeTable("closes a connection with hostile input, counts it, logs it and delivers nothing after it",
		func(first handshake, input []byte, counter string) {
			b := startTransport(Config{Self: "b", Allow: func(id string) bool { return id != "stranger" }})
			conn := dial(b)
			Expect(writeHandshake(conn, first)).To(Succeed())
			_, _ = conn.Write(append(input, heartbeat...))
			Eventually(b.counter("rejected." + counter)).Should(BeEquivalentTo(1))
			_, _ = io.Copy(io.Discard, conn)
			Expect(b.received).NotTo(Receive())
			startTransport(Config{Self: "a"}).Send(b.member(), ownership.LeaveRequest{})
			Eventually(b.received).Should(Receive(Equal(delivery{"a", ownership.LeaveRequest{}})))
			Expect(b.Close()).To(Succeed())
			Expect(b.logOutput.String()).To(ContainSubstring(`"reason":"` + counter + `"`))
		},
		Entry("protocol version", handshake{Instance: "a", Cell: "c1"}, raw(3, 9, 1, 0x80), "version"),
		Entry("frame above the limit", handshake{Instance: "a", Cell: "c1"}, raw(framing.MaxBytes+1, framing.Version, 1), "frame_size"),
		Entry("frame below the header", handshake{Instance: "a", Cell: "c1"}, raw(1, framing.Version, 1), "frame_size"),
		Entry("message type", handshake{Instance: "a", Cell: "c1"}, raw(3, framing.Version, 99, 0x80), "unknown_type"),
		Entry("second hello", handshake{Instance: "a", Cell: "c1"}, raw(3, framing.Version, typeHandshake, 0x80), "unknown_type"),
		Entry("body", handshake{Instance: "a", Cell: "c1"}, raw(3, framing.Version, 1, 0xc1), "malformed"),
		Entry("join for another instance", handshake{Instance: "a", Cell: "c1"}, func() []byte {
			b, _, _ := encode(ownership.JoinRequest{Member: ownership.Member{ID: "x"}})
			return b
		}(), "unknown_sender"),
		Entry("unknown instance", handshake{Instance: "stranger", Cell: "c1"}, nil, "unknown_sender"),
		Entry("own ID", handshake{Instance: "b", Cell: "c1"}, nil, "unknown_sender"),
		Entry("no ID", handshake{Instance: "", Cell: "c1"}, nil, "unknown_sender"),
		Entry("another cell", handshake{Instance: "a", Cell: "c2"}, nil, "wrong_cell"),
	)

	It("bounds the log lines that a hostile peer can cause", func() {
		b := startTransport(Config{Self: "b"})
		const attempts = 3 * logBurst
		for range attempts {
			_, _ = dial(b).Write(raw(2, 9, 0))
		}
		Eventually(b.counter("rejected.version")).Should(BeEquivalentTo(attempts))
		Expect(b.Close()).To(Succeed())
		Expect(bytes.Count(b.logOutput.Bytes(), []byte("\n"))).To(BeNumerically("<", attempts))
	})
})

var _ = Describe("transport with TLS", func() {
	var authority, foreign *mtlstest.Authority
	issue := func(a *mtlstest.Authority, id string) mtls.Files {
		GinkgoHelper()
		f, err := a.Issue(GinkgoT().TempDir(), id)
		Expect(err).NotTo(HaveOccurred())
		return f
	}
	BeforeEach(func() {
		var err error
		authority, err = mtlstest.NewAuthority()
		Expect(err).NotTo(HaveOccurred())
		foreign, err = mtlstest.NewAuthority()
		Expect(err).NotTo(HaveOccurred())
	})

	It("delivers under the authenticated ID with the sender's incarnation, and states the bytes of a heartbeat", func() {
		a := startTransport(Config{Self: "a", Incarnation: "a-1", TLS: issue(authority, "a")})
		b := startTransport(Config{Self: "b", Incarnation: "b-1", TLS: issue(authority, "b")})
		stamp := ownership.Heartbeat{Stamp: 1 << 50, CellVersion: 1 << 40, Incarnation: "a-1", InContact: true}
		a.Send(b.member(), stamp)
		Eventually(b.received).Should(Receive(Equal(delivery{"a", stamp})))
		before := b.counter("bytes_received")()
		a.Send(b.member(), stamp)
		Eventually(b.received).Should(Receive())
		GinkgoWriter.Printf("heartbeat with TLS: %d bytes\n", b.counter("bytes_received")()-before)
	})

	DescribeTable("refuses peers whose certificate does not name them",
		func(self string, files func() mtls.Files, counter string) {
			a := startTransport(Config{Self: self, TLS: files()})
			b := startTransport(Config{Self: "b", TLS: issue(authority, "b")})
			a.Send(b.member(), ownership.LeaveRequest{})
			Eventually(func() int64 { return b.counter(counter)() + a.counter(counter)() }).Should(BeNumerically(">", 0))
			Expect(b.received).NotTo(Receive())
		},
		Entry("claims another ID", "c", func() mtls.Files { return issue(authority, "a") }, "rejected.unknown_sender"),
		Entry("signed by a foreign authority", "a", func() mtls.Files { return issue(foreign, "a") }, "rejected.handshake"),
	)

	It("does not talk to a listener with another instance's certificate", func() {
		a := startTransport(Config{Self: "a", TLS: issue(authority, "a")})
		b := startTransport(Config{Self: "b", TLS: issue(authority, "x")})
		a.Send(b.member(), ownership.LeaveRequest{})
		Eventually(a.counter("connect_errors")).Should(BeNumerically(">", 0))
		Expect(b.received).NotTo(Receive())
	})

	It("uses replaced key files without a restart and keeps the old ones while new ones are faulty", func() {
		files := issue(foreign, "a")
		a := startTransport(Config{Self: "a", TLS: files})
		b := startTransport(Config{Self: "b", TLS: issue(authority, "b")})
		a.Send(b.member(), ownership.LeaveRequest{})
		Eventually(a.counter("connect_errors")).Should(BeNumerically(">", 0))
		replacement := issue(authority, "a")
		for from, to := range map[string]string{replacement.Certificate: files.Certificate, replacement.Key: files.Key, replacement.Authority: files.Authority} {
			Expect(os.Rename(from, to)).To(Succeed())
		}
		Eventually(b.received, "5s").Should(Receive(Equal(delivery{"a", ownership.LeaveRequest{}})))
		Expect(os.WriteFile(files.Certificate, []byte("cut"), 0o600)).To(Succeed())
		Expect(os.Chtimes(files.Certificate, time.Time{}, time.Now().Add(time.Hour))).To(Succeed())
		a.material.ClientConfig("b")
		Expect(a.material.Err()).To(HaveOccurred())
		c := startTransport(Config{Self: "c", TLS: issue(authority, "c")})
		a.Send(c.member(), ownership.LeaveRequest{})
		Eventually(c.received, "5s").Should(Receive())
	})
})

func dial(n *testTransport) net.Conn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", n.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return conn
}
