// Package peer transports control messages between instances, as frames with
// msgpack bodies over one outgoing TCP connection per peer. Delivery is best
// effort: messages may be lost, but those of one priority that arrive from a peer
// arrive in the order in which they were queued.
//
// Send only queues a message. One goroutine per peer connects and writes, and one
// per incoming connection reads and calls Deliver.
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
	// DefaultLowPriorityBytesPerSecond is the default byte budget of low-priority messages
	// to all peers together.
	DefaultLowPriorityBytesPerSecond = 3000
	// DefaultLowPriorityBurstBytes is the default burst of that budget. It holds one round
	// of load reports.
	DefaultLowPriorityBurstBytes = 16 << 10
	// maxInbound is the maximum number of incoming connections.
	maxInbound = 1024
	// logRate, in lines per second, and logBurst, in lines, bound the log lines about
	// connections and about messages that could not be encoded.
	logRate  = rate.Limit(1)
	logBurst = 10
)

// Config configures a Transport.
type Config struct {
	// Self is the ID of this instance.
	Self string
	// Incarnation identifies this process. Heartbeats are sent without it, and the
	// receiver restores it from the handshake.
	Incarnation string
	// Cell is the name of this instance's cell.
	Cell string
	// ListenAddress is the host:port of the peer listener.
	ListenAddress string
	// TLS names the files for mutual authentication. The DNS name or common name of
	// a certificate must be the instance ID.
	TLS mtls.Files
	// Plain turns authentication and encryption off. Exactly one of Plain and TLS must be set.
	Plain bool
	// Allow reports whether the instance with the ID may connect. In plain mode the ID has
	// not been authenticated. By default every instance may connect.
	Allow func(id string) bool
	// Deliver is called with each message and the ID of its sender, which is authenticated
	// except in plain mode. It is called by several goroutines concurrently and must not
	// block for long.
	Deliver func(from string, msg ownership.Message)
	// LowPriorityBytesPerSecond and LowPriorityBurstBytes bound the low-priority
	// messages to all peers together. Values of 0 or less select the defaults.
	LowPriorityBytesPerSecond float64
	LowPriorityBurstBytes     int
	Logger                    zerolog.Logger
	// Metrics receives the counters "peer.…". By default the transport has its own registry.
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

// New validates cfg, opens the peer listener and starts accepting connections. It returns
// an error if cfg is invalid, the TLS files cannot be loaded or the address cannot be bound.
// The caller must call Close to release the listener and the connections.
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
	if t.listener, err = net.Listen("tcp", cfg.ListenAddress); err != nil {
		return nil, fmt.Errorf("open peer listener: %w", err)
	}
	t.tomb.Go(t.acceptConnections)
	return t, nil
}

// applyDefaults validates cfg and sets the defaults of optional fields.
func applyDefaults(cfg *Config) error {
	if cfg.Plain == (cfg.TLS != mtls.Files{}) {
		return errors.New("peer: exactly one of TLS files and plain mode must be set")
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

// Addr returns the address of the peer listener.
func (t *Transport) Addr() net.Addr { return t.listener.Addr() }

// Send queues a message for a member and returns without waiting for the network. A
// message that cannot be encoded is discarded, counted and logged. After Close, messages
// are discarded.
func (t *Transport) Send(to ownership.Member, msg ownership.Message) {
	frame, typeNumber, err := encode(omitIncarnation(msg, t.cfg.Incarnation))
	if err != nil {
		t.count("unencodable", 1)
		t.logPeerError(to.ID, "peer message could not be encoded and was not sent", err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.tomb.Alive() {
		return
	}
	c := t.outbound[to.ID]
	if c == nil {
		c = newOutboundConnection(t, to.ID)
		t.outbound[to.ID] = c
		t.tomb.Go(c.maintain)
	}
	c.setAddress(to.PeerAddress)
	c.queue.enqueue(time.Now(), typeNumber, messageTypes[typeNumber], frame)
}

// Close closes the listener and all connections and waits for the goroutines to
// end. Queued messages are discarded.
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

// count adds n to the counter "peer.<name>".
func (t *Transport) count(name string, n int) {
	metrics.GetOrRegisterCounter("peer."+name, t.cfg.Metrics).Inc(int64(n))
}

// logPeerError logs an error that concerns a peer, or counts the line as suppressed when
// the log rate is exceeded.
func (t *Transport) logPeerError(peer, message string, err error) {
	if t.logLimiter.Allow() {
		t.cfg.Logger.Warn().Str("peer", peer).Str("reason", rejectionReason(err)).Err(err).Msg(message)
	} else {
		t.count("log_lines_suppressed", 1)
	}
}
