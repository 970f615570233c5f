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

// bodyPrefixSize is the maximum number of bytes of a request body that are
// buffered before the request takes a slot; with an idempotency key it is
// maxIdempotentBody. A body that fits can be sent again in a retry, and its caller
// cannot occupy a slot by sending slowly.
const bodyPrefixSize = 64 << 10

// maxIdempotentBody is the maximum body size in bytes of a request with an
// idempotency key. The whole body is needed for the fingerprint that distinguishes
// the request from another one with the same key.
const maxIdempotentBody = 1 << 20

// body is a request body that can be sent again unless more than its buffered
// prefix was read.
type body struct {
	prefix   []byte
	rest     io.Reader // nil if the prefix is the whole body
	restRead atomic.Bool
	length   int64 // -1 if unknown
	// reserved is the part of Config.MaxBodyMemory that the prefix holds.
	reserved int64
	gateway  *Gateway
}

// readBody buffers the prefix of the request's body. It returns a nil body if the
// request has none. The failure is body-too-large, body-incomplete or body-memory.
func (g *Gateway) readBody(w http.ResponseWriter, c *call) (*body, *failure) {
	r := c.request
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > g.cfg.MaxBody {
		return nil, bodyTooLarge()
	}
	limited := http.MaxBytesReader(w, r.Body, g.cfg.MaxBody)
	reader := &stallReader{r: limited, controller: http.NewResponseController(w), timeout: g.cfg.StallTimeout}
	reader.deadline = c.deadline
	size := int64(bodyPrefixSize)
	if c.idempotencyKey != "" {
		size = maxIdempotentBody
	}
	if r.ContentLength > 0 {
		size = min(size, r.ContentLength)
	}
	b := &body{length: r.ContentLength, gateway: g}
	var err error
	b.prefix, err = readUpTo(reader, int(size), b.reserve)
	n := len(b.prefix)
	f := b.complete(c, reader, n, err)
	if f != nil {
		b.detach()
		return nil, f
	}
	return b, nil
}

// complete sets length and rest after the first n bytes of the body were read with the result err.
func (b *body) complete(c *call, reader *stallReader, n int, err error) *failure {
	switch {
	case errors.Is(err, io.EOF):
		b.length = int64(n)
	case errors.Is(err, errBodyMemory) && c.idempotencyKey != "":
		return unavailable("body-memory", "too much memory is in use for request bodies")
	case errors.Is(err, errBodyMemory):
		b.rest = reader
	case err != nil:
		return bodyFailure(err)
	case int64(n) == c.request.ContentLength:
	case c.idempotencyKey != "":
		return bodyTooLarge()
	default:
		b.rest = reader
	}
	return nil
}

// errBodyMemory means that Config.MaxBodyMemory is used up.
var errBodyMemory = errors.New("memory for request bodies is exhausted")

// reserve reserves n more bytes for the prefix, and reports whether they were available.
func (b *body) reserve(n int) bool {
	if !b.gateway.bodyMemory.Reserve(int64(n), b.gateway.cfg.MaxBodyMemory) {
		return false
	}
	b.reserved += int64(n)
	return true
}

// initialBufferSize is the initial size in bytes of the buffer for a body.
const initialBufferSize = 4 << 10

// readUpTo reads at most size bytes. The buffer grows with the bytes received,
// not with the announced length. Unlike io.ReadFull it returns the reader's own
// error, so that a truncated body is not mistaken for a complete one.
//
// It returns errBodyMemory if reserve refuses memory beyond initialBufferSize.
func readUpTo(r io.Reader, size int, reserve func(n int) bool) (p []byte, err error) {
	p = make([]byte, 0, min(size, initialBufferSize))
	for len(p) < size && err == nil {
		if len(p) == cap(p) {
			n := min(cap(p), size-len(p))
			if !reserve(n) {
				return p, errBodyMemory
			}
			p = slices.Grow(p, n)
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

// retryable reports whether the body can be sent again.
func (b *body) retryable() bool { return b == nil || !b.restRead.Load() }

// attach sets the body of the request that an attempt sends. GetBody is set only if
// the whole body is in memory.
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

// unreadBodyTimeout limits how long net/http reads the rest of a rejected
// request's body.
const unreadBodyTimeout = time.Second

// limitUnreadBody limits how much net/http reads of a rejected request's body
// that was not read to its end. Without a time limit, a stalled caller would
// occupy the goroutine. If the body is large, of unknown length or could not be
// read, the connection is closed as well; otherwise net/http would read the rest
// before it sends the response.
func limitUnreadBody(w http.ResponseWriter, r *http.Request, b *body, f *failure) {
	if r.ContentLength == 0 || b != nil && b.rest == nil {
		return
	}
	if r.ContentLength < 0 || r.ContentLength > bodyPrefixSize || f.slug == slugBodyIncomplete {
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // not supported by recorders in tests
}

// detach returns the memory of the prefix, and prevents attempts that are still sending the body from changing the read
// deadline of the caller's connection, which may serve another request from now
// on.
func (b *body) detach() {
	if b == nil {
		return
	}
	b.gateway.bodyMemory.Free(b.reserved)
	b.reserved = 0
	if s, ok := b.rest.(*stallReader); ok {
		s.mu.Lock()
		s.released = true
		s.mu.Unlock()
	}
}

// restReader records that the part of the body that is not buffered was read.
type restReader struct{ body *body }

func (r *restReader) Read(p []byte) (int, error) {
	r.body.restRead.Store(true)
	return r.body.rest.Read(p)
}

// stallReader reads a request body. A read fails if the caller sends no byte
// within the timeout or before the deadline of the request.
type stallReader struct {
	r          io.Reader
	controller *http.ResponseController
	timeout    time.Duration
	deadline   time.Time

	mu       sync.Mutex
	released bool // the connection may serve another request
}

// Read implements io.Reader.
func (s *stallReader) Read(p []byte) (int, error) {
	deadline := time.Now().Add(s.timeout)
	if s.deadline.Before(deadline) {
		deadline = s.deadline
	}
	s.setDeadline(deadline)
	n, err := s.r.Read(p)
	if errors.Is(err, io.EOF) {
		s.setDeadline(time.Time{}) // allows net/http to detect from now on that the caller disconnects
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
