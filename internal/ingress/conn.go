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
	// wholeBodyBytes is the largest body that is read before the request starts, if
	// there is memory for it. It can be sent to another target, and its caller cannot
	// hold a slot by sending slowly.
	wholeBodyBytes = 256 << 10
	// headBytes is the beginning of a larger body that is read before the request starts.
	headBytes = 8 << 10
	// maxAhead is the number of requests of one connection that are handled at the same time.
	maxAhead = 16
	// bodyTimeout bounds the pause between two parts of a body.
	bodyTimeout = 10 * time.Second
	// writeTimeout ends a connection whose caller does not read.
	writeTimeout = 10 * time.Second
	// lingerTime is the time for which a connection that is being closed is still
	// read, so that unread bytes do not reset it before the caller has the answer.
	lingerTime = 500 * time.Millisecond
)

// exchange is a request with its answer.
type exchange struct {
	request *Request
	// response is set when done; nil means that the connection has to end.
	response *Response
	done     bool
	// last says that nothing follows on the connection.
	last bool
	// rest is the part of the body that the handler reads; nil if there is none.
	rest *restReader
	// bodyRead closes when the rest of the body is no longer read.
	bodyRead chan struct{}
	// reserved is the memory in bytes that is reserved for the body.
	reserved int64
	// first closes when all earlier requests are answered.
	first chan struct{}
}

// conn is one connection of a caller.
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
	closing bool // the last answer was or is being written
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

// serve reads requests until the connection ends, and returns when all handlers have.
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

// readAll returns why it ended.
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

// await waits for the first byte of a request.
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

// read reads one request with its body, or as much as is read ahead. It returns
// a finished exchange if the request is not acceptable.
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

// refuse returns the finished exchange of a request that cannot be read.
func refuse(status int) *exchange {
	return &exchange{done: true, last: true, first: make(chan struct{}), response: &Response{Status: status, Header: http.Header{}, Close: true}}
}

// enqueue adds an exchange. It returns false if the connection is closing: then
// the request counts as not read.
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

// start handles a request.
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

// finish takes an answer and writes all that are due.
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
		// Requests that stand behind must get their answers first.
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

// closeIdle closes the connection unless a request has been read and is not answered.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 || c.writing {
		return
	}
	c.closing = true // a request that is being read now is not begun
	_ = c.nc.Close()
}

// shut ends the sending side and wakes the reader, which lingers. If an answer is
// missing or incomplete, it ends the connection at once.
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

// linger waits for the last answers and discards what the caller still sends.
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
