// Package server is a sample backend server that implements the contract in
// docs/backend-contract.md. It stores one counter per key, and runs a request
// only while the partition of the key is granted to it and its lease is valid.
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

// bootIDLength is the number of base32 characters of a boot ID; they hold 60
// random bits.
const bootIDLength = 12

// Config holds the settings of a server.
type Config struct {
	// Service and Target are the names of the service and the target in the
	// operators' table.
	Service, Target string
	// Slots is the number of requests that run concurrently. Default 6.
	Slots int
	// QueueLimit is the number of requests that may wait for a slot before the
	// server sheds load. Default 4 times Slots.
	QueueLimit int
	// WorkTime is the processing time of each request. Default 1 ms.
	WorkTime time.Duration
	// IgnoreGrants means that requests are run without a grant, as on a server
	// of a service with checks_grants false.
	IgnoreGrants bool
	// Observe, if set, is called for every request that was run, including reads,
	// before its reply is sent. Calls may be concurrent.
	Observe func(Effect)
}

// Effect describes a request that was run. Partition and Epoch are 0 if the request had
// none. Begin is the time at which the request got a slot, End the time just before
// its lease was checked and it took effect.
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

// Server is a sample backend server. It runs requests concurrently.
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

// now returns the monotonic time since the server was created. It is at least 1,
// because a stamp of 0 means that there is none.
func (s *Server) now() lease.Instant { return time.Since(s.startTime) + 1 }

// Handler returns the HTTP handler for the contract and the application. It is
// safe for concurrent use.
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

// Start listens on the TCP address and serves in the background until Stop or
// Kill is called. It returns an error if it cannot listen.
func (s *Server) Start(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.Serve(ln)
	return nil
}

// Serve serves HTTP/1.1 and unencrypted HTTP/2 on a listener, in the background,
// until Stop or Kill is called. It returns at once.
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

// Address returns the address on which the server listens. It may be called only
// after Start or Serve.
func (s *Server) Address() string { return s.ln.Addr().String() }

// Stop closes the listener and waits until the requests in flight have finished. It
// returns the error of the context if the context is done first.
func (s *Server) Stop(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Kill closes the listener and all connections at once, as a crash does.
func (s *Server) Kill() { _ = s.http.Close() }

// KeyCount returns the number of keys for which the server has a counter.
func (s *Server) KeyCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.keys)
}

// Running returns the number of requests that occupy a slot.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}
