// Package server is a sample backend server that keeps the contract in
// docs/backend-contract.md. It stores one counter per key and runs a request
// only while it holds the key's partition under a valid lease.
package server

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/boragegate/boragegate/lease"
)

// bootIDLength is the length of a boot identifier: 60 random bits in base 32.
const bootIDLength = 12

// Config holds the settings of a server.
type Config struct {
	// Service and Target are the names in the operators' table.
	Service, Target string
	// Slots is the number of requests that run at a time. Default 6.
	Slots int
	// QueueLimit is the number of requests that may wait for a slot before the
	// server sheds load. Default 4 times Slots.
	QueueLimit int
	// WorkTime is the time that a request takes. Default 1 ms.
	WorkTime time.Duration
	// IgnoreGrants runs every request, as a server of a service with
	// checks_grants false does.
	IgnoreGrants bool
	// Observe, if set, is called for every request that took effect.
	Observe func(Effect)
}

// Effect describes one request that took effect.
type Effect struct {
	Service        string
	Target         string
	Key            string
	Partition      int
	Epoch          uint64
	Method         string
	IdempotencyKey string
	Begin, End     time.Time
}

// Server is a sample backend server. Its handler is safe for concurrent use.
type Server struct {
	cfg       Config
	bootID    string
	startTime time.Time
	slots     chan struct{}

	pauser pauser

	mu      sync.Mutex
	grants  grantSet
	keys    map[string]uint64
	queued  int
	running int

	http *http.Server
	ln   net.Listener
}

// New returns a server that holds no grants.
func New(cfg Config) *Server {
	if cfg.Slots == 0 {
		cfg.Slots = 6
	}
	if cfg.QueueLimit == 0 {
		cfg.QueueLimit = 4 * cfg.Slots
	}
	if cfg.WorkTime == 0 {
		cfg.WorkTime = time.Millisecond
	}
	return &Server{
		cfg:       cfg,
		bootID:    rand.Text()[:bootIDLength],
		startTime: time.Now(),
		slots:     make(chan struct{}, cfg.Slots),
		grants:    newGrantSet(),
		keys:      map[string]uint64{},
	}
}

// now is the server's own monotonic time; at least 1 so that a stamp is never 0.
func (s *Server) now() lease.Instant { return time.Since(s.startTime) + 1 }

// Handler returns the HTTP handler of the contract and the application.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /boragegate/v1/lease", s.handleLease)
	mux.HandleFunc("POST /boragegate/v1/release", s.handleRelease)
	mux.HandleFunc("POST /boragegate/v1/drain", s.handleDrain)
	mux.HandleFunc("GET /boragegate/v1/health", s.handleHealth)
	mux.HandleFunc("GET /boragegate/v1/load", s.handleLoad)
	mux.HandleFunc("/", s.handleApplication)
	return s.pausable(mux)
}

// Start listens on the address and serves until Stop or Kill.
func (s *Server) Start(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.Serve(ln)
	return nil
}

// Serve serves on a listener, in goroutines of its own, until Stop or Kill.
func (s *Server) Serve(ln net.Listener) {
	s.ln = ln
	s.http = &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 5 * time.Second, Protocols: new(http.Protocols)}
	s.http.Protocols.SetHTTP1(true)
	s.http.Protocols.SetUnencryptedHTTP2(true)
	go func() {
		if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			_ = ln.Close()
		}
	}()
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.ln.Addr().String() }

// Stop finishes the requests in flight and closes the listener.
func (s *Server) Stop(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Kill closes all connections at once, as a crash does.
func (s *Server) Kill() { _ = s.http.Close() }

// KeyCount returns the number of keys that the server keeps.
func (s *Server) KeyCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.keys)
}

// Running returns the number of requests that have a slot.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}
