package gateway

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}

// relay sends an answer to whoever asked. An answer that breaks off ends the
// connection, so that the part is never taken for the whole. The answer's
// headers are end-to-end already.
func (g *Gateway) relay(w http.ResponseWriter, resp *http.Response, own http.Header) {
	defer func() { _ = resp.Body.Close() }()
	h := w.Header()
	maps.Copy(h, resp.Header)
	maps.Copy(h, own)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
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
	// A small answer fits into the buffers of the socket and cannot stall.
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
