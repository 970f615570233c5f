package ingress

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// What connections hold in the process and in the kernel is charged to Server.MemoryBytes, in bytes.
const (
	// ReceiveBufferBytes and SendBufferBytes are the sizes of the buffers of a caller's socket. An upload of 64 MiB
	// over the loopback interface took 79 to 89 ms with 16 KiB, 135 to 141 ms with 8 KiB, and 42 to 44 ms with the
	// sizes of the kernel, which adapts them to up to 32 MB.
	ReceiveBufferBytes = 16 << 10
	SendBufferBytes    = 32 << 10
	// connBytes is the cost of an open connection: a goroutine stack of 8 KiB, the read buffer and the objects.
	connBytes = 16 << 10
	// headerFactor times the size of a header is the cost of the header: it is held as text and as a map.
	headerFactor = 2
	// fieldBytes is the additional cost of each field of a header: an entry in the map, and one in the copy of the map for
	// an attempt at a target. An entry takes up to 118 bytes beside its text.
	fieldBytes = 256
	// receiveBytes is the cost of the receive buffer of a connection from the first byte of a request to the last
	// response. It is more than twice the size, which the kernel doubles, because callers can fill the buffer before the
	// connection is charged: with 32 KiB, a crowd exceeded the memory limit in one of two runs.
	receiveBytes = 44 << 10
	// exchangeBytes is the cost of a request that is being handled until its response is written: goroutine stacks
	// and the header as it is sent to the target.
	exchangeBytes = 16 << 10
	// streamBytes is the additional cost of a body that is streamed: the copy buffer and the send buffer of the
	// connection to the target.
	streamBytes = 48 << 10
	// responseStreamBytes is the cost of a response that is streamed: the copy buffer and the receive buffer of the
	// connection to the target.
	responseStreamBytes = 80 << 10
	// unsentBytes is the cost of a response in the send buffer of a caller that does not read.
	unsentBytes = 44 << 10
	// unsentCheckInterval is the interval at which sent responses are checked for unacknowledged bytes.
	unsentCheckInterval = 500 * time.Millisecond
	// memoryRetryAfter is the mean Retry-After of a request that is rejected because the budget is exhausted. The
	// actual one is between half and one and a half times that, so that callers do not return at the same time.
	memoryRetryAfter = time.Second
)

// Reasons that are passed to Server.OnLimit.
const (
	reasonDescriptors      = "descriptors"       // connection closed when it was accepted: MaxConnections
	reasonMemoryConnection = "memory_connection" // connection closed when it was accepted: MemoryBytes
	reasonMemoryRequest    = "memory_request"    // request rejected with 503
	reasonStalled          = "stalled"           // connection closed in the middle of a header or body, with 408
	reasonIdle             = "idle"              // connection without a request closed
	reasonSlowBody         = "slow_body"         // body slower than minBodyRate
)

// errMemoryExhausted means that the budget for connections is exhausted.
var errMemoryExhausted = errors.New("memory for connections is exhausted")

func (s *Server) limited(reason string) {
	if s.OnLimit != nil {
		s.OnLimit(reason)
	}
}

// charge charges n bytes to the connection. It reports whether they are within the budget, if necessary after
// connections that make no progress were closed.
func (s *Server) charge(c *conn, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.evicted {
		return false
	}
	if s.MemoryBytes > 0 && s.heldBytes+n > s.MemoryBytes {
		s.evict(c, s.heldBytes+n-s.MemoryBytes, 0)
		if s.heldBytes+n > s.MemoryBytes {
			return false
		}
	}
	s.heldBytes += n
	c.charged += n
	return true
}

// chargeAlways charges n bytes that are in use already.
func (s *Server) chargeAlways(c *conn, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.evicted {
		s.heldBytes += n
		c.charged += n
	}
}

// free returns n charged bytes. An evicted connection has none.
func (s *Server) free(c *conn, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = min(n, c.charged)
	s.heldBytes -= n
	c.charged -= n
}

// setReading records whether the connection is in the middle of a header or the buffered part of a body.
func (c *conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
	if reading {
		c.lastRead.Store(time.Now().UnixNano())
	}
}

// setReadDeadline sets the read deadline unless the connection is being evicted.
func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending {
		_ = c.nc.SetReadDeadline(t)
	}
}

// callerReader reads from the connection. It records progress, and charges a header as it arrives.
type callerReader struct{ c *conn }

func (r callerReader) Read(p []byte) (int, error) {
	c := r.c
	n, err := c.head.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	if n > 0 && c.inHeader && !c.chargeHeader(n) {
		return 0, errMemoryExhausted
	}
	return n, err
}

// chargeHeader charges n bytes that have been read of a header, and the fields that have ended since its last call. It
// reports whether they are within the budget.
func (c *conn) chargeHeader(n int) bool {
	fields := c.head.Fields()
	charge := headerFactor*int64(n) + fieldBytes*int64(fields-c.chargedFields)
	if !c.s.charge(c, charge) {
		return false
	}
	c.headerCharge += charge
	c.chargedFields = fields
	return true
}

// chargeReceive charges the receive buffer unless it is charged already. It reports whether it is.
func (c *conn) chargeReceive() bool {
	c.mu.Lock()
	charged := c.receiveCharged
	c.receiveCharged = true
	c.mu.Unlock()
	if charged || c.s.charge(c, receiveBytes) {
		return true
	}
	c.mu.Lock()
	c.receiveCharged = false
	c.mu.Unlock()
	return false
}

// freeReceive returns the charge of the receive buffer if the connection has neither a request nor the beginning of one.
func (c *conn) freeReceive() {
	c.mu.Lock()
	free := c.receiveCharged && !c.reading && !c.closing && len(c.queue) == 0
	if free {
		c.receiveCharged = false
	}
	c.mu.Unlock()
	if free {
		c.s.free(c, receiveBytes)
	}
}

// lingers reports whether a connection that is being closed may still be read. Otherwise it is closed at once, unless
// requests on it are unanswered.
func (c *conn) lingers() bool {
	if c.chargeReceive() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0
}

// chargeExchange charges the handling of a request that was read completely. Its header and body are charged already.
func (c *conn) chargeExchange(x *exchange) bool {
	n := int64(exchangeBytes)
	if x.bodyStream != nil {
		n += streamBytes
	}
	if !c.s.charge(c, n) {
		return false
	}
	x.charged += n
	return true
}

// chargeResponse charges a response that is streamed, while it waits for earlier ones and while it is written. It is open
// already, so that further requests are rejected instead.
func (c *conn) chargeResponse(x *exchange, r *Response) {
	if r != nil && r.Stream != nil {
		c.mu.Lock()
		x.mayBreakOff = true // also of a request of which that was not expected
		c.mu.Unlock()
		c.s.chargeAlways(c, responseStreamBytes)
		x.charged += responseStreamBytes
	}
}

// freeExchange returns what was charged for an exchange.
func (c *conn) freeExchange(x *exchange) {
	c.s.free(c, x.charged)
	x.charged = 0
}

// rejectMemory returns the response to a request for which no memory is left. It has not been passed on.
func (c *conn) rejectMemory() *exchange {
	c.s.limited(reasonMemoryRequest)
	x := rejectRequest(http.StatusServiceUnavailable)
	after := memoryRetryAfter.Seconds() * (0.5 + rand.Float64()) //nolint:gosec // spreads retries
	x.response.Header.Set("Retry-After", strconv.FormatFloat(after, 'f', 3, 64))
	return x
}

// chargeUnsent charges the send buffer for a response that may fill it, until checkUnsent finds that the caller has
// acknowledged it.
func (c *conn) chargeUnsent() {
	if !c.unsent.Swap(true) {
		c.s.chargeAlways(c, unsentBytes)
	}
}

// checkUnsent returns the charges of send buffers that are empty, every unsentCheckInterval until done is closed.
func (s *Server) checkUnsent(done <-chan struct{}) {
	ticker := time.NewTicker(unsentCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		var waiting []*conn
		s.mu.Lock()
		for c := range s.conns {
			if c.unsent.Load() {
				waiting = append(waiting, c)
			}
		}
		s.mu.Unlock()
		for _, c := range waiting {
			if s.unsentBytes(c.nc) == 0 && c.unsent.Swap(false) {
				s.free(c, unsentBytes)
			}
		}
	}
}

func (s *Server) unsentBytes(nc net.Conn) int {
	if s.Unsent == nil {
		return 0
	}
	return s.Unsent(nc)
}
