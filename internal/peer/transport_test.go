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

// testTransport is a transport that records what it received and logged.
type testTransport struct {
	*Transport
	received  chan any
	logOutput *bytes.Buffer
}

// delivery is a message passed to Config.Deliver, with its sender.
type delivery struct {
	from string
	msg  ownership.Message
}

// startTransport starts a transport on a loopback port and closes it after the test.
func startTransport(cfg Config) *testTransport {
	GinkgoHelper()
	t := &testTransport{received: make(chan any, 1000), logOutput: &bytes.Buffer{}}
	if cfg.ListenAddress == "" {
		cfg.ListenAddress = "127.0.0.1:0"
	}
	if cfg.Cell == "" {
		cfg.Cell = "c1"
	}
	cfg.Plain = cfg.TLS == mtls.Files{}
	cfg.Logger = zerolog.New(zerolog.SyncWriter(t.logOutput))
	cfg.Deliver = func(from string, msg ownership.Message) { t.received <- delivery{from, msg} }
	var err error
	t.Transport, err = New(cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(t.Close)
	return t
}

func (t *testTransport) member() ownership.Member {
	return ownership.Member{ID: t.cfg.Self, PeerAddress: t.Addr().String()}
}

func (t *testTransport) counter(name string) func() int64 {
	return func() int64 { return metrics.GetOrRegisterCounter("peer."+name, t.cfg.Metrics).Count() }
}

var _ = Describe("transport", func() {
	BeforeEach(func() {
		existing := goleak.IgnoreCurrent()
		DeferCleanup(func() { Eventually(func() error { return goleak.Find(existing) }).Should(Succeed()) })
	})

	It("runs without authentication only if plain mode is set", func() {
		// Guards against a transport that accepts any peer because the TLS files are missing in
		// its configuration.
		_, err := New(Config{Self: "a", Deliver: func(string, ownership.Message) {}})
		Expect(err).To(MatchError(ContainSubstring("plain mode")))
	})

	It("connects to a member that starts later or restarts at another address", func() {
		// Guards against messages that never arrive because the connection was not retried, or
		// was retried at the former address.
		a := startTransport(Config{Self: "a"})
		b := startTransport(Config{Self: "b"})
		member := b.member()
		Expect(b.Close()).To(Succeed())
		a.Send(member, ownership.AssignmentRequest{Service: "1"})
		Eventually(a.counter("connect_errors")).Should(BeNumerically(">", 0))
		b = startTransport(Config{Self: "b", ListenAddress: member.PeerAddress})
		Eventually(b.received, "5s").Should(Receive(Equal(delivery{"a", ownership.AssignmentRequest{Service: "1"}})))
		relocated := startTransport(Config{Self: "b"})
		a.Send(relocated.member(), ownership.AssignmentRequest{Service: "2"})
		Eventually(relocated.received, "5s").Should(Receive(Equal(delivery{"a", ownership.AssignmentRequest{Service: "2"}})))
	})

	It("closes the older of two connections of one peer, which may be half open", func() {
		// Guards against connections that a restart or a network partition has left behind, and
		// whose messages could be delivered after newer ones.
		b := startTransport(Config{Self: "b"})
		oldConn := dial(b)
		Expect(writeHandshake(oldConn, handshake{Instance: "a", Cell: "c1"})).To(Succeed())
		_, err := readHandshake(oldConn)
		Expect(err).NotTo(HaveOccurred())
		startTransport(Config{Self: "a"}).Send(b.member(), ownership.LeaveRequest{})
		Eventually(b.received).Should(Receive())
		_, err = oldConn.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})

	It("does not block the caller while a peer is unreachable, and counts dropped messages", func() {
		// Guards against a control loop that stands still because one peer does not respond.
		a := startTransport(Config{Self: "a"})
		for range 2 * maxQueuedFrames {
			a.Send(ownership.Member{ID: "b", PeerAddress: "127.0.0.1:1"}, ownership.TableRequest{Version: 1})
		}
		Expect(a.counter("dropped_low")()).To(BeEquivalentTo(maxQueuedFrames))
	})

	It("stops reconnecting to an unreachable former member, so that replaced instances leak no goroutine", func() {
		a := startTransport(Config{Self: "a"})
		c := newOutboundConnection(a.Transport, "gone")
		c.setAddress("127.0.0.1:1")
		c.queue.enqueueText(time.Now().Add(-idleTimeout), typeLow, "low")
		done := make(chan struct{})
		go func() { _ = c.maintain(); close(done) }()
		Eventually(done).Should(BeClosed())
	})

	heartbeatFrame := func() []byte { b, _, _ := encode(ownership.Heartbeat{Stamp: 1}); return b }()
	rawFrame := func(length uint32, rest ...byte) []byte {
		return append(binary.BigEndian.AppendUint32(nil, length), rest...)
	}
	DescribeTable("closes, counts and logs a connection with invalid input and delivers nothing after it",
		// Guards against invalid input that goes unnoticed, or after which the peer can still send
		// messages on the same connection.
		func(first handshake, input []byte, reason string) {
			b := startTransport(Config{Self: "b", Allow: func(id string) bool { return id != "stranger" }})
			conn := dial(b)
			Expect(writeHandshake(conn, first)).To(Succeed())
			_, _ = conn.Write(append(input, heartbeatFrame...))
			Eventually(b.counter("rejected." + reason)).Should(BeEquivalentTo(1))
			_, _ = io.Copy(io.Discard, conn)
			Expect(b.received).NotTo(Receive())
			startTransport(Config{Self: "a"}).Send(b.member(), ownership.LeaveRequest{})
			Eventually(b.received).Should(Receive(Equal(delivery{"a", ownership.LeaveRequest{}})))
			Expect(b.Close()).To(Succeed())
			Expect(b.logOutput.String()).To(ContainSubstring(`"reason":"` + reason + `"`))
		},
		Entry("unknown protocol version", handshake{Instance: "a", Cell: "c1"}, rawFrame(3, 9, 1, 0x80), "version"),
		Entry("frame larger than the limit", handshake{Instance: "a", Cell: "c1"}, rawFrame(framing.MaxBytes+1, framing.Version, 1), "frame_size"),
		Entry("frame smaller than its header", handshake{Instance: "a", Cell: "c1"}, rawFrame(1, framing.Version, 1), "frame_size"),
		Entry("unknown message type", handshake{Instance: "a", Cell: "c1"}, rawFrame(3, framing.Version, 99, 0x80), "unknown_type"),
		Entry("second handshake", handshake{Instance: "a", Cell: "c1"}, rawFrame(3, framing.Version, typeHandshake, 0x80), "unknown_type"),
		Entry("body", handshake{Instance: "a", Cell: "c1"}, rawFrame(3, framing.Version, 1, 0xc1), "malformed"),
		Entry("join for another instance", handshake{Instance: "a", Cell: "c1"}, func() []byte {
			b, _, _ := encode(ownership.JoinRequest{Member: ownership.Member{ID: "x"}})
			return b
		}(), "unknown_sender"),
		Entry("unknown instance", handshake{Instance: "stranger", Cell: "c1"}, nil, "unknown_sender"),
		Entry("own ID", handshake{Instance: "b", Cell: "c1"}, nil, "unknown_sender"),
		Entry("no ID", handshake{Instance: "", Cell: "c1"}, nil, "unknown_sender"),
		Entry("another cell", handshake{Instance: "a", Cell: "c2"}, nil, "wrong_cell"),
	)

	It("limits the log lines that a malicious peer can cause", func() {
		b := startTransport(Config{Self: "b"})
		const attempts = 3 * logBurst
		for range attempts {
			_, _ = dial(b).Write(rawFrame(2, 9, 0))
		}
		Eventually(b.counter("rejected.version")).Should(BeEquivalentTo(attempts))
		Expect(b.Close()).To(Succeed())
		Expect(bytes.Count(b.logOutput.Bytes(), []byte("\n"))).To(BeNumerically("<", attempts))
	})
})

var _ = Describe("transport with TLS", func() {
	var authority, foreignAuthority *mtlstest.Authority
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
		foreignAuthority, err = mtlstest.NewAuthority()
		Expect(err).NotTo(HaveOccurred())
	})

	It("delivers messages with the authenticated sender ID and incarnation, and prints the size of a heartbeat", func() {
		// Guards against heartbeats that are delivered without their incarnation, which is not sent
		// with them but restored from the handshake.
		a := startTransport(Config{Self: "a", Incarnation: "a-1", TLS: issue(authority, "a")})
		b := startTransport(Config{Self: "b", Incarnation: "b-1", TLS: issue(authority, "b")})
		heartbeat := ownership.Heartbeat{Stamp: 1 << 50, CellVersion: 1 << 40, Incarnation: "a-1", InContact: true}
		a.Send(b.member(), heartbeat)
		Eventually(b.received).Should(Receive(Equal(delivery{"a", heartbeat})))
		bytesBefore := b.counter("bytes_received")()
		a.Send(b.member(), heartbeat)
		Eventually(b.received).Should(Receive())
		GinkgoWriter.Printf("heartbeat with TLS: %d bytes\n", b.counter("bytes_received")()-bytesBefore)
	})

	DescribeTable("rejects peers whose certificate does not match their ID",
		// Guards against peers that use the ID of another instance, or a certificate that this
		// instance's authority has not signed.
		func(self string, files func() mtls.Files, counter string) {
			a := startTransport(Config{Self: self, TLS: files()})
			b := startTransport(Config{Self: "b", TLS: issue(authority, "b")})
			a.Send(b.member(), ownership.LeaveRequest{})
			Eventually(func() int64 { return b.counter(counter)() + a.counter(counter)() }).Should(BeNumerically(">", 0))
			Expect(b.received).NotTo(Receive())
		},
		Entry("claims another ID", "c", func() mtls.Files { return issue(authority, "a") }, "rejected.unknown_sender"),
		Entry("signed by a foreign authority", "a", func() mtls.Files { return issue(foreignAuthority, "a") }, "rejected.handshake"),
	)

	It("does not connect to a listener with another instance's certificate", func() {
		// Guards against messages that are sent to another instance at a member's address.
		a := startTransport(Config{Self: "a", TLS: issue(authority, "a")})
		b := startTransport(Config{Self: "b", TLS: issue(authority, "x")})
		a.Send(b.member(), ownership.LeaveRequest{})
		Eventually(a.counter("connect_errors")).Should(BeNumerically(">", 0))
		Expect(b.received).NotTo(Receive())
	})

	It("reloads replaced key files without a restart and keeps the previous ones while the new ones are invalid", func() {
		// Guards against instances that lose contact after their certificates were renewed, or
		// because a new file is not complete yet.
		files := issue(foreignAuthority, "a")
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
		a.material.ClientConfig("b") // tries to load the changed file
		Expect(a.material.Err()).To(HaveOccurred())
		c := startTransport(Config{Self: "c", TLS: issue(authority, "c")})
		a.Send(c.member(), ownership.LeaveRequest{})
		Eventually(c.received, "5s").Should(Receive())
	})
})

// dial opens a TCP connection to the peer listener and closes it after the test.
func dial(t *testTransport) net.Conn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", t.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return conn
}
