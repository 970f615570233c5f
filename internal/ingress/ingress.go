// Package ingress serves callers over HTTP/1.1. Requests that a caller sends
// ahead of earlier answers are handled at the same time, and answered in order.
// The connection is read all the while, so that a handler learns at once that
// its caller has gone.
//
// Each connection has one goroutine that reads and one for each request. Requests
// that must not be repeated start only when all earlier ones are answered, because
// a caller sends again what stood behind an answer that closed the connection.
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

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultLimits apply before the operator's are known.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Request is one request of a caller.
type Request struct {
	*http.Request
	// Body is the whole body, or its beginning if Rest is not nil.
	Body []byte
	// BodyStream reads what follows Body; it is nil if Body is all. Its Close may be called
	// on any goroutine and ends a Read that waits.
	BodyStream io.ReadCloser
	// Length is the length of the whole body, or -1 if it is unknown.
	Length int64
	// Arrived is the time at which the header had been read.
	Arrived time.Time
}

// Response is the answer to a request.
type Response = httpwire.Response

// Handler answers a request. The context ends when the caller has gone. A nil
// response ends the connection without an answer.
type Handler func(ctx context.Context, r *Request) *Response

// Server accepts connections of callers.
type Server struct {
	// Handler answers the requests.
	Handler Handler
	// Limits returns the limits in force.
	Limits func() Limits
	// MustStartAlone says that a request starts only when those before it are answered.
	MustStartAlone func(r *http.Request) bool
	// MaxConnections bounds the open connections; 0 means no limit. Further ones are
	// closed at once, so that descriptors are left for targets and the store.
	MaxConnections int
	// OnAbort is told of connections that end with requests unanswered; it may be nil.
	OnAbort func(reason string, unanswered int)

	draining  atomic.Bool
	mu        sync.Mutex
	conns     map[*conn]struct{}
	connGroup sync.WaitGroup
	inFlight  atomic.Int64
	// reservedBodyBytes is the memory in bytes that is reserved for bodies.
	reservedBodyBytes atomic.Int64
}

// bodyMemoryBytes is the memory in bytes for bodies that are read before their requests
// start. Without room in it, a body is passed on as it comes.
const bodyMemoryBytes = 8 << 20

// reserveBodyMemory takes memory for a body, if there is room.
func (s *Server) reserveBodyMemory(n int64) bool {
	if s.reservedBodyBytes.Add(n) <= bodyMemoryBytes {
		return true
	}
	s.reservedBodyBytes.Add(-n)
	return false
}

// acceptRetryDelay is the time after a failed accept, for example without descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts connections until the listener closes.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.mu.Unlock()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if s.MaxConnections > 0 && s.Connections() >= s.MaxConnections {
			_ = c.Close()
			continue
		}
		s.startConn(c)
	}
}

func (s *Server) startConn(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.connGroup.Add(1)
	go func() {
		defer s.connGroup.Done()
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// Drain makes every further answer close its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// InFlight is the number of requests that are not answered yet.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Connections is the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// shutdownPollInterval is the pace at which Shutdown looks for connections without requests.
const shutdownPollInterval = 5 * time.Millisecond

// Shutdown closes each connection as soon as all requests that were read from it are
// answered, and returns when no connection is left or the context ends. A request
// that comes meanwhile on such a connection counts as not read.
func (s *Server) Shutdown(ctx context.Context) {
	s.draining.Store(true)
	for ctx.Err() == nil {
		s.mu.Lock()
		left := len(s.conns)
		for c := range s.conns {
			c.closeIdle()
		}
		s.mu.Unlock()
		if left == 0 {
			return
		}
		time.Sleep(shutdownPollInterval)
	}
}

// Close ends all connections, answered or not, and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	for c := range s.conns {
		_ = c.nc.Close()
	}
	s.mu.Unlock()
	s.connGroup.Wait()
}
