package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// minBodyRate is the rate, in bytes per second, at which a streamed body has to arrive, apart from bodyTimeout that the
// caller may take in addition. The time in which the target does not read does not count.
const minBodyRate = 4 << 10

// bodyMemoryLimit returns the memory for bodies beyond their first bodyPrefixBytes.
func (s *Server) bodyMemoryLimit() int64 {
	if s.MemoryBytes > 0 {
		return min(bodyMemoryBytes, s.MemoryBytes/4)
	}
	return bodyMemoryBytes
}

var (
	errBodyTooLarge = errors.New("request body exceeds the limit")
	errBodyClosed   = errors.New("read of request body after close")
)

// readBody buffers the body or its beginning, and sets up a stream for the remaining
// bytes. If the part that it buffers is malformed, too large or not received within
// bodyTimeout, it returns a completed exchange with the error response. If the caller has
// disconnected, it returns nil and sets x.request.Request to nil.
func (c *conn) readBody(x *exchange, limits Limits) (rejected *exchange) {
	r := x.request
	markDisconnected := func() *exchange { r.Request = nil; return nil }
	c.head.EndHead()
	c.setReadDeadline(time.Now().Add(bodyTimeout))
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		r.Header.Del("Expect")
		if !c.sendContinue() {
			return markDisconnected()
		}
	}
	body := &limitedBody{r: r.Request.Body, remaining: limits.BodyBytes}
	complete, err := c.bufferBody(x, body)
	switch {
	case errors.Is(err, errMemoryExhausted):
		return c.rejectMemory()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return rejectRequest(http.StatusRequestTimeout)
	case errors.Is(err, errBodyTooLarge):
		return rejectRequest(http.StatusRequestEntityTooLarge)
	case err != nil && !isNetworkError(err) && !errors.Is(err, io.ErrUnexpectedEOF):
		return rejectRequest(http.StatusBadRequest)
	case err != nil:
		return markDisconnected()
	case complete:
		r.Length = int64(len(r.Body))
		return nil
	}
	x.bodyStream = &bodyStreamReader{c: c, r: body, allowance: bodyTimeout}
	r.BodyStream = x.bodyStream
	x.bodyDone = make(chan struct{})
	return nil
}

// bufferBody reads the whole body if it is at most maxBufferedBodyBytes long and memory for it is available, and
// otherwise its beginning: at least bodyPrefixBytes. The buffer grows with the bytes received, not with the announced
// length. It reports whether it has read the body to its end.
func (c *conn) bufferBody(x *exchange, body io.Reader) (complete bool, err error) {
	r, length := x.request, x.request.ContentLength
	limit := int64(maxBufferedBodyBytes)
	if length > maxBufferedBodyBytes {
		limit = bodyPrefixBytes // it is streamed in any case
	} else if length >= 0 {
		limit = length
	}
	size := min(limit, bodyPrefixBytes)
	if !c.s.charge(c, size) {
		return false, errMemoryExhausted
	}
	x.charged += size
	r.Body = make([]byte, 0, size)
	for int64(len(r.Body)) < limit {
		if len(r.Body) == cap(r.Body) && !c.growBody(x, limit) {
			return false, nil
		}
		n, err := body.Read(r.Body[len(r.Body):cap(r.Body)])
		r.Body = r.Body[:len(r.Body)+n]
		switch {
		case errors.Is(err, io.EOF) && (length < 0 || int64(len(r.Body)) == length):
			return true, nil
		case errors.Is(err, io.EOF):
			return false, io.ErrUnexpectedEOF
		case err != nil:
			return false, err
		}
	}
	return int64(len(r.Body)) == length, nil
}

// growBody doubles the size of the buffer for a body, up to limit. It reports whether the memory was available.
func (c *conn) growBody(x *exchange, limit int64) bool {
	r := x.request
	size := int64(cap(r.Body))
	more := min(size, limit-size)
	if !c.s.bodyMemory.Reserve(more, c.s.bodyMemoryLimit()) {
		return false
	}
	if !c.s.charge(c, more) {
		c.s.bodyMemory.Free(more)
		return false
	}
	x.reservedBytes += more
	x.charged += more
	r.Body = append(make([]byte, 0, size+more), r.Body...)
	return true
}

// sendContinue sends "100 Continue" once all earlier requests are answered. It
// reports whether the connection is still open.
func (c *conn) sendContinue() bool {
	c.mu.Lock()
	for (len(c.queue) > 0 || c.writing) && !c.closing {
		c.queueChanged.Wait()
	}
	closing := c.closing
	c.mu.Unlock()
	if closing {
		return false
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	return err == nil
}

// closeBody stops reading a body when its request has a response. Unless the body was read
// to its end, the connection closes after the response, because the remaining bytes must
// not be parsed as the next request. If the body was too large or its chunks were malformed,
// a response with a 5xx status is replaced by one with status 413 or 400.
func (c *conn) closeBody(x *exchange, response *Response) *Response {
	_ = x.bodyStream.Close()
	err := x.bodyStream.readError()
	if errors.Is(err, io.EOF) {
		return response
	}
	x.closeAfter = true
	status := 0
	switch {
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case err == nil, isNetworkError(err), errors.Is(err, io.ErrUnexpectedEOF):
	default:
		status = http.StatusBadRequest // malformed chunks
	}
	if status == 0 || response == nil || response.Status < http.StatusInternalServerError {
		return response
	}
	_ = response.Release()
	return &Response{Status: status, Header: http.Header{}, Close: true}
}

// limitedBody reads a body and returns errBodyTooLarge if it exceeds its limit.
type limitedBody struct {
	r         io.Reader
	remaining int64
}

func (b *limitedBody) Read(p []byte) (int, error) {
	if int64(len(p)) > b.remaining+1 {
		p = p[:b.remaining+1]
	}
	n, err := b.r.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// bodyStreamReader reads the part of a body that was not buffered before the request
// started.
type bodyStreamReader struct {
	c *conn
	r io.Reader

	mu     sync.Mutex
	closed bool
	// allowance is the time that the caller may still take, see minBodyRate.
	allowance time.Duration
	err       error // error that ended the body, io.EOF at its end; nil until then
}

// Read returns the next bytes of the body. It cancels the connection's context if the
// caller has disconnected.
func (b *bodyStreamReader) Read(p []byte) (int, error) {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return 0, errBodyClosed
	}
	started := time.Now()
	_ = b.c.nc.SetReadDeadline(started.Add(min(b.allowance, bodyTimeout)))
	b.mu.Unlock()
	n, err := b.r.Read(p)
	b.allowance += time.Duration(n)*time.Second/minBodyRate - time.Since(started)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		b.c.s.limitedUnlessClosed(b)
	}
	if err == nil {
		return n, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return n, errBodyClosed
	}
	b.err = err
	if disconnected := isNetworkError(err) || errors.Is(err, io.ErrUnexpectedEOF); disconnected && !errors.Is(err, os.ErrDeadlineExceeded) {
		b.c.cancel()
	}
	return n, err
}

// limitedUnlessClosed reports that the body was too slow, unless its read ended because it was closed.
func (s *Server) limitedUnlessClosed(b *bodyStreamReader) {
	b.mu.Lock()
	closed := b.closed
	b.mu.Unlock()
	if !closed {
		s.limited(reasonSlowBody)
	}
}

// Close makes a pending Read and all later ones return an error.
func (b *bodyStreamReader) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil
	}
	b.closed = true
	return b.c.nc.SetReadDeadline(time.Unix(1, 0))
}

// readError returns the error that ended the body, io.EOF if the whole body was read,
// or nil if its end was not reached.
func (b *bodyStreamReader) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}
