package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/boragegate/boragegate/internal/httpwire"
)

const (
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 4 << 10
	// wholeBodyBytes is the size of the largest body that is buffered before the
	// request starts, if memory is available. A buffered body can be sent again to
	// another target, and a caller that sends slowly does not occupy a concurrency slot.
	wholeBodyBytes = 256 << 10
	// headBytes is the number of bytes of a larger body that are read before the
	// request starts.
	headBytes = 8 << 10
	// maxAhead is the number of requests of one connection that are handled concurrently.
	maxAhead = 16
	// bodyTimeout bounds the time between two reads of a request body.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds a write to a caller that does not read.
	writeTimeout = 10 * time.Second
	// lingerTime is the time for which a connection that is being closed is still
	// read: closing it with unread bytes would reset it before the caller has received
	// the response.
	lingerTime = 500 * time.Millisecond
)

// exchange is a request with its response.
type exchange struct {
	request *Request
	// response is valid once done is set; nil then means that the connection must be
	// closed without a response.
	response *Response
	done     bool
	// last reports whether the connection closes after this response.
	last bool
	// rest is the part of the body that the handler reads; nil if the body is
	// buffered completely.
	rest *restReader
	// bodyRead is closed when the rest of the body is no longer read.
	bodyRead chan struct{}
	// reserved is the body memory that is reserved for the request.
	reserved int64
	// first is closed when all earlier requests are answered.
	first chan struct{}
}

// conn is a connection from a caller.
type conn struct {
	s   *Server
	nc  net.Conn
	br  *bufio.Reader
	in  httpwire.HeaderLimit
	ctx context.Context
	end context.CancelFunc

	mu      sync.Mutex
	queue   []*exchange
	writing bool
	closing bool // the last response has been or is being written
	idleAt  time.Time
	room    sync.Cond
	work    sync.WaitGroup
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{s: s, nc: nc, in: httpwire.HeaderLimit{R: nc}, idleAt: time.Now()}
	c.br = bufio.NewReaderSize(&c.in, bufferBytes)
	c.ctx, c.end = context.WithCancel(context.Background())
	c.room.L = &c.mu
	return c
}

// serve reads requests until the connection ends, and returns when all handlers have
// returned.
func (c *conn) serve() {
	reason := c.readAll()
	c.end()
	c.work.Wait()
	c.mu.Lock()
	unanswered := len(c.queue)
	c.mu.Unlock()
	if unanswered > 0 && c.s.OnAbort != nil {
		c.s.OnAbort(reason, unanswered)
	}
	_ = c.nc.Close()
}

// readAll reads and starts requests until the connection ends. It returns the
// reason, which is passed to OnAbort.
func (c *conn) readAll() string {
	for {
		if reason := c.await(); reason != "" {
			return reason
		}
		x, failure := c.read()
		if failure != nil {
			c.enqueue(failure)
			c.finish(failure, failure.response)
			return c.linger()
		}
		if x == nil {
			return "read"
		}
		if !c.enqueue(x) {
			return c.linger()
		}
		c.start(x)
		if x.bodyRead != nil {
			<-x.bodyRead
		}
		if x.last {
			return c.linger()
		}
	}
}

// await waits for the first byte of a request. It returns an empty string, or the
// reason why no further request is read.
func (c *conn) await() string {
	for {
		c.mu.Lock()
		if c.closing {
			c.mu.Unlock()
			return c.linger()
		}
		limits := c.s.Limits()
		deadline := time.Time{}
		if len(c.queue) == 0 {
			deadline = c.idleAt.Add(limits.IdleTimeout)
		}
		_ = c.nc.SetReadDeadline(deadline)
		c.mu.Unlock()
		c.in.Left = int64(limits.HeaderBytes) + bufferBytes
		_, err := c.br.Peek(1)
		switch {
		case err == nil:
			return ""
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return "caller_closed"
		}
		c.mu.Lock()
		idle := len(c.queue) == 0 && time.Since(c.idleAt) >= limits.IdleTimeout
		closing := c.closing
		c.mu.Unlock()
		if idle && !closing {
			return "idle"
		}
	}
}

// read reads a request header and the buffered part of the body. For an invalid
// request it returns a failure: a done exchange with the error response. It returns
// neither if the caller has disconnected.
func (c *conn) read() (x, failure *exchange) {
	limits := c.s.Limits()
	_ = c.nc.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	r, err := http.ReadRequest(c.br)
	if err != nil {
		switch {
		case errors.Is(err, httpwire.ErrHeaderTooLarge):
			return nil, refuse(http.StatusRequestHeaderFieldsTooLarge)
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, refuse(http.StatusRequestTimeout)
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetwork(err):
			return nil, nil
		}
		return nil, refuse(http.StatusBadRequest)
	}
	if r.ContentLength > limits.BodyBytes {
		return nil, refuse(http.StatusRequestEntityTooLarge)
	}
	x = &exchange{
		request: &Request{Request: r, Length: r.ContentLength, Arrived: time.Now()},
		last:    r.Close || !r.ProtoAtLeast(1, 1),
		first:   make(chan struct{}),
	}
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return x, nil
	}
	if failure = c.readBody(x, limits); failure != nil || x.request.Request == nil {
		c.s.bodies.Add(-x.reserved)
		return nil, failure
	}
	return x, nil
}

func isNetwork(err error) bool {
	var n net.Error
	return errors.As(err, &n)
}

// refuse returns a done exchange with the error response for a request that cannot
// be read.
func refuse(status int) *exchange {
	return &exchange{done: true, last: true, first: make(chan struct{}), response: &Response{Status: status, Header: http.Header{}, Close: true}}
}

// enqueue adds an exchange, and waits while maxPipelined are queued. It returns false
// if the connection is closing; the request is then not handled.
func (c *conn) enqueue(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) >= maxAhead && !c.closing {
		c.room.Wait()
	}
	if c.closing {
		return false
	}
	if len(c.queue) == 0 {
		close(x.first)
	}
	c.queue = append(c.queue, x)
	return true
}

// start handles a request in a new goroutine.
func (c *conn) start(x *exchange) {
	c.work.Add(1)
	c.s.inFlight.Add(1)
	go func() {
		defer c.work.Done()
		defer c.s.inFlight.Add(-1)
		defer c.s.bodies.Add(-x.reserved)
		if x.bodyRead != nil {
			defer close(x.bodyRead)
		}
		if c.s.StartsAlone(x.request.Request) {
			select {
			case <-x.first:
			case <-c.ctx.Done():
				return
			}
		}
		c.mu.Lock()
		closing := c.closing
		c.mu.Unlock()
		if closing {
			return
		}
		response := c.s.Handler(c.ctx, x.request)
		if x.rest != nil {
			response = c.endBody(x, response)
		}
		c.finish(x, response)
	}()
}

// finish sets the response of an exchange and writes all responses at the front of
// the queue that are ready, unless another goroutine is writing: that one then writes
// this response too.
func (c *conn) finish(x *exchange, r *Response) {
	c.mu.Lock()
	x.response, x.done = r, true
	if c.writing {
		c.mu.Unlock()
		return
	}
	c.writing = true
	for len(c.queue) > 0 && c.queue[0].done && !c.closing {
		head := c.queue[0]
		alone := len(c.queue) == 1
		if head.response == nil {
			c.closing = true
			break
		}
		// Pipelined requests must be answered before the connection closes.
		shut := alone && (head.last || head.response.Close || c.s.draining.Load())
		if shut {
			c.closing = true
		}
		c.mu.Unlock()
		err := c.write(head, shut)
		c.mu.Lock()
		if err != nil {
			c.closing = true
			break
		}
		c.queue = c.queue[1:]
		c.idleAt = time.Now()
		c.room.Signal()
		if len(c.queue) > 0 {
			close(c.queue[0].first)
		}
	}
	c.writing = false
	closing := c.closing
	idle := len(c.queue) == 0
	if closing || idle {
		c.room.Broadcast()
	}
	c.mu.Unlock()
	switch {
	case closing:
		c.shut(idle)
	case idle:
		_ = c.nc.SetReadDeadline(time.Now().Add(c.s.Limits().IdleTimeout))
	}
}

// closeIdle closes the connection unless a request that was read is still unanswered.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 || c.writing {
		return
	}
	c.closing = true // a request that is being read now is not started
	_ = c.nc.Close()
}

// shut closes the write side of the connection and wakes the reading goroutine, which
// calls linger. If a response is missing or incomplete, it closes the connection
// immediately.
func (c *conn) shut(answered bool) {
	if !answered {
		_ = c.nc.Close()
		c.end()
		return
	}
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
}

// linger waits for the remaining responses and discards what the caller still sends.
func (c *conn) linger() string {
	buffer := make([]byte, 512)
	c.in.Left = httpwire.Unlimited
	for {
		if _, err := c.br.Read(buffer); err != nil {
			c.mu.Lock()
			pending := len(c.queue) > 0 && !c.closing
			c.mu.Unlock()
			if errors.Is(err, os.ErrDeadlineExceeded) && pending {
				_ = c.nc.SetReadDeadline(time.Time{})
				continue
			}
			return "closed"
		}
	}
}
