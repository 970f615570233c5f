package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/boragegate/boragegate/internal/httpwire"
)

var (
	errBodyTooLarge = errors.New("body exceeds the limit")
	errBodyClosed   = errors.New("body is no longer read")
)

// readBody reads the beginning of a body, which is all of it as a rule. It returns
// the finished exchange of a body that cannot be read. If the caller has gone, the
// request is removed from the exchange.
func (c *conn) readBody(x *exchange, limits Limits) (failure *exchange) {
	r := x.request
	gone := func() *exchange { r.Request = nil; return nil }
	c.headerLimit.Remaining = httpwire.Unlimited
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		r.Header.Del("Expect")
		if !c.sendContinue() {
			return gone()
		}
	}
	body := &limitedBody{r: r.Request.Body, remaining: limits.BodyBytes}
	whole, err := c.bufferBody(x, body)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return rejectRequest(http.StatusRequestTimeout)
	case errors.Is(err, errBodyTooLarge):
		return rejectRequest(http.StatusRequestEntityTooLarge)
	case err != nil && !isNetworkError(err) && !errors.Is(err, io.ErrUnexpectedEOF):
		return rejectRequest(http.StatusBadRequest)
	case err != nil:
		return gone()
	case whole:
		r.Length = int64(len(r.Body))
		return nil
	}
	x.bodyStream = &bodyStreamReader{c: c, r: body}
	r.BodyStream = x.bodyStream
	x.bodyDone = make(chan struct{})
	return nil
}

// bufferBody reads a body that fits the memory for bodies, and bodyPrefixBytes of others.
// It reports whether the body is whole.
func (c *conn) bufferBody(x *exchange, body io.Reader) (whole bool, err error) {
	r, n := x.request, x.request.ContentLength
	if n >= 0 {
		if n <= maxBufferedBodyBytes && c.s.reserveBodyMemory(n) {
			x.reservedBytes = n
		} else {
			n = min(n, bodyPrefixBytes)
		}
		r.Body = make([]byte, n)
		_, err = io.ReadFull(body, r.Body)
		return n == r.ContentLength, err
	}
	n = bodyPrefixBytes
	if c.s.reserveBodyMemory(maxBufferedBodyBytes) {
		n, x.reservedBytes = maxBufferedBodyBytes, maxBufferedBodyBytes
	}
	r.Body, err = io.ReadAll(io.LimitReader(body, n))
	return int64(len(r.Body)) < n, err
}

// sendContinue asks the caller for the body once everything before it is answered.
// It reports whether the connection is still open.
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

// closeBody ends the reading of a body when its request has an answer. What is left
// of the body must not be taken for the next request, so the connection closes
// behind the answer.
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
		status = http.StatusBadRequest // chunks that cannot be read
	}
	if status == 0 || response == nil || response.Status < http.StatusInternalServerError {
		return response
	}
	if response.Stream != nil {
		_ = response.Stream.Close()
	}
	return &Response{Status: status, Header: http.Header{}, Close: true}
}

// limitedBody reads a body and fails where it exceeds its limit.
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

// bodyStreamReader reads the part of a body that is not read ahead.
type bodyStreamReader struct {
	c *conn
	r io.Reader

	mu     sync.Mutex
	closed bool
	err    error // the end of the body, nil if it has not been reached
}

// Read ends the connection's context if the caller has gone.
func (b *bodyStreamReader) Read(p []byte) (int, error) {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return 0, errBodyClosed
	}
	_ = b.c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	b.mu.Unlock()
	n, err := b.r.Read(p)
	if err == nil {
		return n, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return n, errBodyClosed
	}
	b.err = err
	if gone := isNetworkError(err) || errors.Is(err, io.ErrUnexpectedEOF); gone && !errors.Is(err, os.ErrDeadlineExceeded) {
		b.c.cancel()
	}
	return n, err
}

// Close ends a Read that waits for the caller, and all later ones.
func (b *bodyStreamReader) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil
	}
	b.closed = true
	return b.c.nc.SetReadDeadline(time.Unix(1, 0))
}

// readError is the error that ended the body, io.EOF if it was read whole, or nil.
func (b *bodyStreamReader) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}
