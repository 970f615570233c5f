package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragegate/boragegate/internal/httpwire"
)

const (
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 4 << 10
	// maxBufferedBodyBytes is the size of the largest body that is buffered before the
	// request starts, if memory is available. A buffered body can be sent again to
	// another target, and a caller that sends slowly does not occupy a concurrency slot.
	maxBufferedBodyBytes = 256 << 10
	// bodyPrefixBytes is the number of bytes of a larger body that are read before the
	// request starts.
	bodyPrefixBytes = 8 << 10
	// maxPipelined is the maximum number of unanswered requests in the queue of one
	// connection. A further request starts only after one of them is answered.
	maxPipelined = 16
	// bodyTimeout bounds the time in which the buffered part of a request body is received,
	// and then the time of each read of the rest.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds a write to a caller that does not read.
	writeTimeout = 10 * time.Second
	// lingerTimeout is the time for which a connection that is being closed is still
	// read: closing it with unread bytes would reset it before the caller has received
	// the response.
	lingerTimeout = 500 * time.Millisecond
	// lingerBufferBytes is the size of the buffer for what is discarded. A smaller one leaves more unread.
	lingerBufferBytes = 2 << 10
	// evictedLingerTimeout is the same for a connection that is closed to make room for others.
	evictedLingerTimeout = 30 * time.Millisecond
)

// exchange is a request with its response.
type exchange struct {
	request *Request
	// response is valid once done is set; nil then means that the connection must be
	// closed without a response.
	response *Response
	done     bool
	// closeAfter reports whether the connection closes after this response.
	closeAfter bool
	// bodyStream is the part of the body that the handler reads; nil if the body is
	// buffered completely.
	bodyStream *bodyStreamReader
	// bodyDone is closed when the rest of the body is no longer read.
	bodyDone chan struct{}
	// reservedBytes is the body memory that is reserved for the request.
	reservedBytes int64
	// charged is what the request holds of Server.MemoryBytes.
	charged int64
	// atHead is closed when all earlier requests are answered.
	atHead chan struct{}
	// mayBreakOff is set if the response may break off, and startsAtHead if that of an earlier request may. conn.mu
	// guards both.
	mayBreakOff, startsAtHead bool
}

// conn is a connection from a caller.
type conn struct {
	s      *Server
	nc     net.Conn
	br     *bufio.Reader
	head   httpwire.HeadReader
	ctx    context.Context
	cancel context.CancelFunc

	mu           sync.Mutex
	queue        []*exchange
	writing      bool
	closing      bool      // the last response is being written or the connection is closed; no more requests start
	idleSince    time.Time // when the last response was written, initially when the connection was accepted
	queueChanged sync.Cond
	handlers     sync.WaitGroup

	// reading is set in the middle of a header or the buffered part of a body, and ending if the connection is evicted
	// there; mu guards both. lastRead is the time of the last byte, in Unix nanoseconds.
	reading, ending bool
	lastRead        atomic.Int64
	// inHeader is set while a header is read, headerCharge is what was charged for it, and chargedFields the number of
	// fields in that. They belong to the reading goroutine.
	inHeader      bool
	headerCharge  int64
	chargedFields int
	// receiveCharged is set while the receive buffer is charged; mu guards it.
	receiveCharged bool
	unsent         atomic.Bool // the send buffer is charged
	// charged is what the connection holds of Server.MemoryBytes; evicted is set if it was returned by an eviction.
	// Server.mu guards both.
	charged int64
	evicted bool
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{s: s, nc: nc, idleSince: time.Now()}
	c.head.R = nc
	c.br = bufio.NewReaderSize(callerReader{c}, bufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.queueChanged.L = &c.mu
	return c
}

// serve reads requests until the connection ends, and returns when all handlers have
// returned.
func (c *conn) serve() {
	reason := c.readRequests()
	c.cancel()
	c.handlers.Wait()
	c.mu.Lock()
	unanswered := len(c.queue)
	for _, x := range c.queue {
		_ = x.response.Release() // not written, or not completely
	}
	c.mu.Unlock()
	if unanswered > 0 && c.s.OnAbort != nil {
		c.s.OnAbort(reason, unanswered)
	}
	_ = c.nc.Close()
}

// readRequests reads requests and starts their handlers until the connection ends. It
// returns the reason, which is passed to OnAbort.
func (c *conn) readRequests() string {
	for {
		if reason := c.awaitRequest(); reason != "" {
			return reason
		}
		c.setReading(true)
		x, rejected := c.readRequest()
		c.setReading(false)
		if x != nil && !c.chargeExchange(x) {
			c.s.bodyMemory.Free(x.reservedBytes)
			c.freeExchange(x)
			x, rejected = nil, c.rejectMemory()
		}
		if rejected != nil {
			c.enqueue(rejected)
			c.completeExchange(rejected, rejected.response)
			return c.linger()
		}
		if x == nil {
			return "read"
		}
		if !c.enqueue(x) {
			return c.linger()
		}
		c.startHandler(x)
		if x.bodyDone != nil {
			<-x.bodyDone
		}
		if x.closeAfter {
			return c.linger()
		}
	}
}

// awaitRequest waits for the first byte of a request. It returns an empty string, or the
// reason why no further request is read.
func (c *conn) awaitRequest() string {
	for {
		c.mu.Lock()
		if c.closing {
			c.mu.Unlock()
			return c.linger()
		}
		limits := c.s.Limits()
		deadline := time.Time{}
		if len(c.queue) == 0 {
			deadline = c.idleSince.Add(limits.IdleTimeout)
		}
		_ = c.nc.SetReadDeadline(deadline)
		c.mu.Unlock()
		c.head.Limit(int64(limits.HeaderBytes) + bufferBytes)
		_, err := c.br.Peek(1)
		switch {
		case err == nil:
			return ""
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return "caller_closed"
		}
		c.mu.Lock()
		idle := len(c.queue) == 0 && time.Since(c.idleSince) >= limits.IdleTimeout
		closing := c.closing
		c.mu.Unlock()
		if idle && !closing {
			return "idle"
		}
	}
}

// readRequest reads a request header and the buffered part of the body. For an invalid
// request it returns only rejected, a completed exchange with the error response. It
// returns neither if the caller has disconnected.
func (c *conn) readRequest() (x, rejected *exchange) {
	limits := c.s.Limits()
	if !c.chargeReceive() {
		return nil, c.rejectMemory()
	}
	c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	r, err := c.readHead()
	if err != nil {
		c.s.free(c, c.headerCharge)
		switch {
		case errors.Is(err, errMemoryExhausted):
			return nil, c.rejectMemory()
		case errors.Is(err, httpwire.ErrHeaderTooLarge):
			return nil, rejectRequest(http.StatusRequestHeaderFieldsTooLarge)
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, rejectRequest(http.StatusRequestTimeout)
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetworkError(err):
			return nil, nil
		}
		return nil, rejectRequest(http.StatusBadRequest)
	}
	if r.ContentLength > limits.BodyBytes {
		c.s.free(c, c.headerCharge)
		return nil, rejectRequest(http.StatusRequestEntityTooLarge)
	}
	x = &exchange{
		request:    &Request{Request: r, Length: r.ContentLength, Arrived: time.Now()},
		closeAfter: r.Close || !r.ProtoAtLeast(1, 1),
		atHead:     make(chan struct{}),
		charged:    c.headerCharge,
	}
	x.mayBreakOff = c.s.MayBreakOff != nil && c.s.MayBreakOff(r)
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return x, nil
	}
	if rejected = c.readBody(x, limits); rejected != nil || x.request.Request == nil {
		c.s.bodyMemory.Free(x.reservedBytes)
		c.freeExchange(x)
		return nil, rejected
	}
	return x, nil
}

// readHead reads the head of a request, and charges it.
func (c *conn) readHead() (*http.Request, error) {
	c.headerCharge, c.chargedFields, c.inHeader = 0, 0, true
	defer func() { c.inHeader = false }()
	buffered, _ := c.br.Peek(c.br.Buffered())
	if err := c.head.BeginHead(buffered); err != nil {
		return nil, err
	}
	if !c.chargeHeader(len(buffered)) {
		return nil, errMemoryExhausted
	}
	r, err := http.ReadRequest(c.br)
	if err != nil {
		return nil, err
	}
	return r, c.head.CheckVersion(r.ProtoMajor, r.ProtoMinor)
}

func isNetworkError(err error) bool {
	var n net.Error
	return errors.As(err, &n)
}

// rejectRequest returns a completed exchange with an error response for a request that
// cannot be read.
func rejectRequest(status int) *exchange {
	return &exchange{done: true, closeAfter: true, atHead: make(chan struct{}), response: &Response{Status: status, Header: http.Header{}, Close: true}}
}

// enqueue adds an exchange, and waits while maxPipelined are queued. It returns false
// if the connection is closing; the request is then not handled.
func (c *conn) enqueue(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) >= maxPipelined && !c.closing {
		c.queueChanged.Wait()
	}
	if c.closing {
		return false
	}
	if len(c.queue) == 0 {
		close(x.atHead)
	}
	x.startsAtHead = slices.ContainsFunc(c.queue, func(earlier *exchange) bool { return earlier.mayBreakOff })
	c.queue = append(c.queue, x)
	return true
}

// startHandler handles a request in a new goroutine.
func (c *conn) startHandler(x *exchange) {
	c.handlers.Add(1)
	c.s.inFlight.Add(1)
	startsAtHead := x.startsAtHead || c.s.MustStartInOrder(x.request.Request)
	go func() {
		defer c.handlers.Done()
		defer c.s.inFlight.Add(-1)
		defer c.s.bodyMemory.Free(x.reservedBytes)
		if x.bodyDone != nil {
			defer close(x.bodyDone)
		}
		if startsAtHead {
			select {
			case <-x.atHead:
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
		if x.bodyStream != nil {
			response = c.closeBody(x, response)
		}
		c.chargeResponse(x, response)
		c.completeExchange(x, response)
	}()
}

// completeExchange sets the response of an exchange and writes all responses at the
// front of the queue that are ready, unless another goroutine is writing: that one then
// writes this response too.
func (c *conn) completeExchange(x *exchange, r *Response) {
	c.mu.Lock()
	x.response, x.done = r, true
	if c.writing {
		c.mu.Unlock()
		return
	}
	c.writing = true
	for len(c.queue) > 0 && c.queue[0].done && !c.closing {
		next := c.queue[0]
		lastQueued := len(c.queue) == 1
		if next.response == nil {
			c.closing = true
			break
		}
		// Pipelined requests must be answered before the connection closes.
		closeConn := lastQueued && (next.closeAfter || next.response.Close || c.s.draining.Load())
		if closeConn {
			c.closing = true
		}
		c.mu.Unlock()
		err := c.writeResponse(next, closeConn)
		c.freeExchange(next)
		c.mu.Lock()
		if err != nil {
			c.closing = true
			break
		}
		c.queue = c.queue[1:]
		c.idleSince = time.Now()
		c.queueChanged.Signal()
		if len(c.queue) > 0 {
			close(c.queue[0].atHead)
		}
	}
	c.writing = false
	closing := c.closing
	idle := len(c.queue) == 0
	if closing || idle {
		c.queueChanged.Broadcast()
	}
	c.mu.Unlock()
	switch {
	case closing:
		c.beginClose(idle)
	case idle:
		c.freeReceive()
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
