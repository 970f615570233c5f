package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// bodyPrefixSize is the number of bytes of a request body that are read before the
// request takes a slot. A body that fits can be sent again, and its caller
// cannot hold a slot by sending slowly.
const bodyPrefixSize = 64 << 10

// maxIdempotentBody is the largest body of a request with an idempotency key. The
// whole body has to be known to tell it from another request with the same key.
const maxIdempotentBody = 1 << 20

// body is a request body that can be sent again unless more than its prefix was used.
type body struct {
	prefix   []byte
	rest     io.Reader // nil if the prefix is everything
	restRead atomic.Bool
	length   int64 // -1 if unknown
}

// readBody reads the prefix of the request's body. It returns nil if there is no body.
func (g *Gateway) readBody(w http.ResponseWriter, c *call) (*body, *failure) {
	r := c.request
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > g.cfg.MaxBody {
		return nil, bodyTooLarge()
	}
	limited := http.MaxBytesReader(w, r.Body, g.cfg.MaxBody)
	in := &stallReader{r: limited, controller: http.NewResponseController(w), timeout: g.cfg.StallTimeout}
	in.deadline = c.deadline
	size := int64(bodyPrefixSize)
	if c.idempotencyKey != "" {
		size = maxIdempotentBody
	}
	if r.ContentLength > 0 {
		size = min(size, r.ContentLength)
	}
	b := &body{length: r.ContentLength}
	var err error
	b.prefix, err = readUpTo(in, int(size))
	n := len(b.prefix)
	switch {
	case errors.Is(err, io.EOF):
		b.length = int64(n)
	case err != nil:
		return nil, bodyFailure(err)
	case int64(n) == r.ContentLength:
	case c.idempotencyKey != "":
		return nil, bodyTooLarge()
	default:
		b.rest = in
	}
	return b, nil
}

// initialBufferSize is the size of the buffer for a body, before it grows.
const initialBufferSize = 4 << 10

// readUpTo reads at most size bytes. Memory grows with what has arrived, not
// with what was announced. Unlike io.ReadFull it keeps the reader's error, so
// that a truncated body is not taken for a complete one.
func readUpTo(r io.Reader, size int) (p []byte, err error) {
	p = make([]byte, 0, min(size, initialBufferSize))
	for len(p) < size && err == nil {
		if len(p) == cap(p) {
			p = slices.Grow(p, min(cap(p), size-len(p)))
		}
		var n int
		n, err = r.Read(p[len(p):min(cap(p), size)])
		p = p[:len(p)+n]
	}
	return p, err
}

func bodyTooLarge() *failure {
	return notRun(http.StatusRequestEntityTooLarge, "body-too-large", "the body exceeds the limit")
}

func bodyFailure(err error) *failure {
	if tooBig := new(http.MaxBytesError); errors.As(err, &tooBig) {
		return bodyTooLarge()
	}
	return notRun(http.StatusBadRequest, slugBodyIncomplete, "the body could not be read")
}

// retryable reports whether the body can be sent once more.
func (b *body) retryable() bool { return b == nil || !b.restRead.Load() }

// attach sets the body of one attempt. GetBody marks a body that is in memory.
func (b *body) attach(req *http.Request) {
	if b == nil || b.length == 0 {
		return
	}
	req.ContentLength = b.length
	if b.rest != nil {
		req.Body = io.NopCloser(io.MultiReader(bytes.NewReader(b.prefix), &restReader{b}))
		return
	}
	req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(b.prefix)), nil }
	req.Body, _ = req.GetBody()
}

const slugBodyIncomplete = "body-incomplete"

// unreadBodyTimeout bounds the time for which the rest of a refused body is read.
const unreadBodyTimeout = time.Second

// limitUnreadBody bounds what net/http reads of a refused body that was not read to
// its end. Without a limit of time, a caller that stalls would hold the
// goroutine. A body that is large or has stalled also ends the connection;
// otherwise net/http would read the rest before it answers.
func limitUnreadBody(w http.ResponseWriter, r *http.Request, b *body, f *failure) {
	if r.ContentLength == 0 || b != nil && b.rest == nil {
		return
	}
	if r.ContentLength < 0 || r.ContentLength > bodyPrefixSize || f.slug == slugBodyIncomplete {
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // not supported by recorders in tests
}

// detach ends the use of the caller's connection by attempts that still send.
func (b *body) detach() {
	if b == nil {
		return
	}
	if s, ok := b.rest.(*stallReader); ok {
		s.mu.Lock()
		s.released = true
		s.mu.Unlock()
	}
}

// restReader notes that the part of the body that is not kept was used.
type restReader struct{ body *body }

func (r *restReader) Read(p []byte) (int, error) {
	r.body.restRead.Store(true)
	return r.body.rest.Read(p)
}

// stallReader ends a request whose caller sends no byte for the limit.
type stallReader struct {
	r          io.Reader
	controller *http.ResponseController
	timeout    time.Duration
	deadline   time.Time

	mu       sync.Mutex
	released bool // the connection may serve another request
}

// Read reads from the caller.
func (s *stallReader) Read(p []byte) (int, error) {
	until := time.Now().Add(s.timeout)
	if s.deadline.Before(until) {
		until = s.deadline
	}
	s.setDeadline(until)
	n, err := s.r.Read(p)
	if errors.Is(err, io.EOF) {
		s.setDeadline(time.Time{}) // lets net/http notice a hang-up from here on
	}
	return n, err
}

func (s *stallReader) setDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.released {
		_ = s.controller.SetReadDeadline(t) // not supported by recorders in tests
	}
}
