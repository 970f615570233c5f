// Package peer carries control messages between instances: frames with msgpack
// bodies over one outgoing TCP connection per peer. Messages may be lost;
// those that arrive from one peer arrive in the order of their priority's queue.
//
// Send only queues. One goroutine per peer connects and writes, one per
// incoming connection reads and calls Deliver.
package peer

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"github.com/boragegate/boragegate/internal/mtls"
	"github.com/boragegate/boragegate/ownership"
)

const (
	// DefaultLowPriorityBytesPerSecond is the budget of low-priority messages in bytes per second.
	DefaultLowPriorityBytesPerSecond = 3000
	// DefaultLowPriorityBurstBytes is the size in bytes of the budget's burst: one round of load reports.
	DefaultLowPriorityBurstBytes = 16 << 10
	// maxInbound bounds the incoming connections.
	maxInbound = 1024
	// logRate and logBurst bound the log lines about refused or broken connections.
	logRate  = rate.Limit(1)
	logBurst = 10
)

// Config configures a Transport.
type Config struct {
	// Self is the ID of this instance.
	Self string
	// Incarnation is that of this process. Heartbeats that carry it are sent
	// without it; the receiver takes it from the hello.
	Incarnation string
	// Cell is the name of this instance's cell.
	Cell string
	// Listen is the host:port of the peer listener.
	Listen string
	// TLS authenticates peers; the certificate's DNS name or common name is the instance ID.
	TLS mtls.Files
	// Plain turns authentication off. It excludes TLS.
	Plain bool
	// Allow reports whether an instance may connect. Default all that authenticate.
	Allow func(id string) bool
	// Deliver receives each message with its authenticated sender. It is called
	// by several goroutines at a time and must not block for long.
	Deliver func(from string, msg ownership.Message)
	// LowPriorityBytesPerSecond and LowPriorityBurstBytes bound the low-priority bytes to all peers together.
	LowPriorityBytesPerSecond float64
	LowPriorityBurstBytes     int
	Logger                    zerolog.Logger
	// Metrics receives the counters "peer.…". Default a registry of its own.
	Metrics metrics.Registry
}

// Transport sends and receives control messages. Its methods are safe for concurrent use.
type Transport struct {
	cfg        Config
	material   *mtls.Material // nil in plain mode
	listener   net.Listener
	budget     *budget
	logLimiter *rate.Limiter
	tomb       tomb.Tomb

	mu       sync.Mutex
	outbound map[string]*outboundConnection
	inbound  map[net.Conn]*inboundConnection
}

// New starts listening.
func New(cfg Config) (*Transport, error) {
	if err := applyDefaults(&cfg); err != nil {
		return nil, err
	}
	t := &Transport{
		cfg:        cfg,
		budget:     newBudget(cfg.LowPriorityBytesPerSecond, cfg.LowPriorityBurstBytes),
		logLimiter: rate.NewLimiter(logRate, logBurst),
		outbound:   map[string]*outboundConnection{},
		inbound:    map[net.Conn]*inboundConnection{},
	}
	var err error
	if !cfg.Plain {
		if t.material, err = mtls.Load(cfg.TLS); err != nil {
			return nil, err
		}
	}
	if t.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("peer listener: %w", err)
	}
	t.tomb.Go(t.acceptConnections)
	return t, nil
}

func applyDefaults(cfg *Config) error {
	if cfg.Plain == (cfg.TLS != mtls.Files{}) {
		return errors.New("peer: either TLS files or plain mode must be set")
	}
	if cfg.Self == "" || cfg.Deliver == nil {
		return errors.New("peer: Self and Deliver must be set")
	}
	if cfg.Allow == nil {
		cfg.Allow = func(string) bool { return true }
	}
	if cfg.LowPriorityBytesPerSecond <= 0 {
		cfg.LowPriorityBytesPerSecond = DefaultLowPriorityBytesPerSecond
	}
	if cfg.LowPriorityBurstBytes <= 0 {
		cfg.LowPriorityBurstBytes = DefaultLowPriorityBurstBytes
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	return nil
}

// Addr is the address of the peer listener.
func (t *Transport) Addr() net.Addr { return t.listener.Addr() }

// Send queues a message for a member and returns at once. A message that cannot
// be encoded is counted and logged.
func (t *Transport) Send(to ownership.Member, msg ownership.Message) {
	frame, kind, err := encode(omitIncarnation(msg, t.cfg.Incarnation))
	if err != nil {
		t.count("unencodable", 1)
		t.logPeerError(to.ID, "peer message not sent", err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.tomb.Alive() {
		return
	}
	l := t.outbound[to.ID]
	if l == nil {
		l = newOutboundConnection(t, to.ID)
		t.outbound[to.ID] = l
		t.tomb.Go(l.maintain)
	}
	l.setAddress(to.PeerAddress)
	l.queue.enqueue(time.Now(), kind, messageTypes[kind], frame)
}

// Close ends all connections and waits for the goroutines.
func (t *Transport) Close() error {
	t.mu.Lock()
	t.tomb.Kill(nil)
	_ = t.listener.Close()
	for conn := range t.inbound {
		_ = conn.Close()
	}
	t.mu.Unlock()
	return t.tomb.Wait()
}

func (t *Transport) count(name string, n int) {
	metrics.GetOrRegisterCounter("peer."+name, t.cfg.Metrics).Inc(int64(n))
}

// logPeerError writes a log line about a peer, within the log rate.
func (t *Transport) logPeerError(peer, message string, err error) {
	if t.logLimiter.Allow() {
		t.cfg.Logger.Warn().Str("peer", peer).Str("reason", rejectionReason(err)).Err(err).Msg(message)
	} else {
		t.count("log_lines_suppressed", 1)
	}
}
