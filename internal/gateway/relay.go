package gateway

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

const copyBufferSize = 32 << 10 // bytes

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}

// relay copies a response to w, adds the headers in extra, and closes the response
// body. Hop-by-hop headers must have been removed from the response before. If the
// body cannot be read or written to its end, relay panics with
// http.ErrAbortHandler, which aborts the connection, so that the client never takes
// a truncated response for a complete one.
func (g *Gateway) relay(w http.ResponseWriter, resp *http.Response, extra http.Header) {
	defer func() { _ = resp.Body.Close() }()
	h := w.Header()
	maps.Copy(h, resp.Header)
	maps.Copy(h, extra)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // prevents net/http from detecting one
	}
	w.WriteHeader(resp.StatusCode)
	if err := g.copyBody(w, resp); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (g *Gateway) copyBody(w http.ResponseWriter, resp *http.Response) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	rc := http.NewResponseController(w)
	streamed := resp.ContentLength < 0
	// A small response fits into the socket's buffers and cannot stall.
	large := streamed || resp.ContentLength > copyBufferSize
	var deadline time.Time
	for {
		n, err := resp.Body.Read(*buffer)
		if n > 0 {
			if now := time.Now(); large && deadline.Sub(now) < g.cfg.StallTimeout/2 {
				deadline = now.Add(g.cfg.StallTimeout)
				_ = rc.SetWriteDeadline(deadline) // not supported by recorders in tests
			}
			if _, err := w.Write((*buffer)[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if streamed {
			if err := rc.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
				return err
			}
		}
	}
}
