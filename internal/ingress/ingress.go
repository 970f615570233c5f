// Package ingress serves callers over HTTP/1.1. Pipelined requests are handled
// concurrently and answered in order. The connection is read continuously, so that
// the handler's context is cancelled as soon as the caller disconnects.
//
// Each connection has one goroutine that reads and one for each request. Requests
// that must not be retried start only after all earlier ones are answered, because
// a caller retries requests that were pipelined behind a response that closed the
// connection.
package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragegate/boragegate/internal/httpwire"
)

// Limits bounds the size and timing of what a caller may send: the request header
// and body in bytes, the time to send a header, and the time that a connection may
// stay open without a request.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultLimits are used until the operator's configuration has been loaded.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Request is one request of a caller.
type Request struct {
	*http.Request
	// Body is the whole body, or its beginning if BodyStream is not nil.
	Body []byte
	// BodyStream reads the bytes that follow Body; it is nil if Body is complete. Its
	// Close may be called from any goroutine and unblocks a pending Read.
	BodyStream io.ReadCloser
	// Length is the length of the whole body, or -1 if it is unknown.
	Length int64
	// Arrived is the time at which the header was read completely.
	Arrived time.Time
}

// Response is the response to a request.
type Response = httpwire.Response

// Handler handles a request. The context is cancelled when the caller disconnects.
// A nil response closes the connection without a response.
type Handler func(ctx context.Context, r *Request) *Response

// Server accepts connections from callers and passes their requests to Handler.
// Its exported fields must be set before Serve is called.
type Server struct {
	// Handler handles the requests. It is called concurrently.
	Handler Handler
	// Limits returns the active limits.
	Limits func() Limits
	// MustStartInOrder reports whether a request may start only after all earlier
	// requests on its connection are answered.
	MustStartInOrder func(r *http.Request) bool
	// MayBreakOff reports whether the response to a request may be streamed, so that its connection is closed if it
	// breaks off; nil means that none is. Requests behind it start only after it is answered: their responses could not
	// be sent any more.
	MayBreakOff func(r *http.Request) bool
	// MaxConnections bounds the number of open connections; 0 means no limit.
	// Connections above it are closed immediately, so that file descriptors remain
	// for connections to targets and the store.
	MaxConnections int
	// MemoryBytes bounds what all connections hold together, in the process and in the buffers of their sockets; 0
	// means no limit.
	MemoryBytes int64
	// OnLimit is called when a connection is closed or a request is rejected to stay within a limit, with the reason.
	// It may be nil, and must not block.
	OnLimit func(reason string)
	// Unsent returns the number of bytes that were written to a connection and that the caller has not acknowledged. If
	// it is nil, they count as 0.
	Unsent func(net.Conn) int
	// OnAbort is called when a connection ends with unanswered requests; it may be nil.
	// The reason tells where reading ended: "caller_closed" between requests, "read"
	// within one, or "closed" while input was discarded before closing.
	OnAbort func(reason string, unanswered int)

	draining   atomic.Bool
	mu         sync.Mutex
	conns      map[*conn]struct{}
	connGroup  sync.WaitGroup
	inFlight   atomic.Int64
	bodyMemory httpwire.ReservedMemory // of bodyMemoryBytes
	// heldBytes is the part of MemoryBytes that is in use, and lastEviction the time of the last eviction. mu guards
	// both.
	heldBytes    int64
	lastEviction time.Time
}

// bodyMemoryBytes bounds the memory of a Server for bodies that are buffered before
// their requests start. When it is exhausted, bodies are streamed to the handler.
const bodyMemoryBytes = 8 << 20

// acceptRetryDelay is the delay after a failed accept, for example when the process is
// out of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts connections until the listener is closed, and then returns nil.
// Connections that are open at that time continue to be served. Failed accepts are retried.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.mu.Unlock()
	done := make(chan struct{})
	defer close(done)
	if s.MemoryBytes > 0 {
		go s.checkUnsent(done)
	}
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.makeRoom() {
			s.limited(reasonDescriptors)
			_ = c.Close()
			continue
		}
		s.startConn(c)
	}
}

func (s *Server) startConn(nc net.Conn) {
	c := newConn(s, nc)
	if !s.charge(c, connBytes) {
		s.limited(reasonMemoryConnection)
		_ = nc.Close()
		return
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.connGroup.Add(1)
	go func() {
		defer s.connGroup.Done()
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.heldBytes -= c.charged
		c.charged, c.evicted = 0, true // a later charge is not returned any more
		s.mu.Unlock()
	}()
}

// Drain makes the server close each connection after its next response, or after the
// responses to the requests that are pipelined behind it.
func (s *Server) Drain() { s.draining.Store(true) }

// InFlight returns the number of requests that are being handled. Those with a response that
// waits for earlier responses on its connection are not counted.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// shutdownPollInterval is the interval at which Shutdown checks for connections without requests.
const shutdownPollInterval = 5 * time.Millisecond

// Shutdown closes each connection once all requests that were read from it are
// answered, and returns when no connection remains or the context is done. A request
// that arrives while its connection is being closed is not handled.
func (s *Server) Shutdown(ctx context.Context) {
	s.draining.Store(true)
	for ctx.Err() == nil {
		s.mu.Lock()
		remaining := len(s.conns)
		for c := range s.conns {
			c.closeIdle()
		}
		s.mu.Unlock()
		if remaining == 0 {
			return
		}
		time.Sleep(shutdownPollInterval)
	}
}

// Close closes all connections, including those with unanswered requests, and waits
// for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	for c := range s.conns {
		_ = c.nc.Close()
	}
	s.mu.Unlock()
	s.connGroup.Wait()
}
