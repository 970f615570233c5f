package http1

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// exchange is the use of a connection for one request.
type exchange struct {
	conn    *conn
	stop    func() bool   // ends the watch of the request's context
	sending chan struct{} // closed when a streamed body was sent; nil if none
	failed  bool          // sending failed; valid after sending was closed
	once    sync.Once
}

// send writes the request. A body that can be sent again is in memory and is
// written at once; another one is written while the answer is awaited, because
// the server may answer before it has read everything.
func (x *exchange) send(req *http.Request) error {
	if req.Body == nil || req.Body == http.NoBody || req.GetBody != nil {
		return x.write(req)
	}
	x.sending = make(chan struct{})
	x.conn.written.Store(true) // nothing can be proved while another goroutine writes
	go func() {
		defer close(x.sending)
		x.failed = x.write(req) != nil
	}()
	return nil
}

func (x *exchange) write(req *http.Request) error {
	if err := req.Write(x.conn.out); err != nil {
		return err
	}
	return x.conn.out.Flush()
}

// attach lets the end of the body end the exchange.
func (x *exchange) attach(req *http.Request, resp *http.Response) {
	if req.Method == http.MethodHead || resp.ContentLength == 0 || resp.Body == http.NoBody {
		_ = resp.Body.Close()
		resp.Body = http.NoBody
		x.finish(!resp.Close)
		return
	}
	resp.Body = &body{x: x, inner: resp.Body, keep: !resp.Close}
}

// finish keeps the connection if the exchange is complete on both sides and the
// server sent nothing beyond its answer.
func (x *exchange) finish(keep bool) {
	x.once.Do(func() {
		c := x.conn
		if !keep || c.in.Buffered() > 0 || !x.sent() || !x.stop() {
			x.close()
			return
		}
		c.idleSince = time.Now()
		if !c.transport.pool.put(c) {
			_ = c.net.Close()
		}
	})
}

// sent reports whether the whole request was sent.
func (x *exchange) sent() bool {
	if x.sending == nil {
		return true
	}
	select {
	case <-x.sending:
		return !x.failed
	default:
		return false
	}
}

// giveUp ends the exchange without an answer.
func (x *exchange) giveUp() { x.once.Do(x.close) }

func (x *exchange) close() {
	x.stop()
	_ = x.conn.net.Close()
}

// body is the body of an answer.
type body struct {
	x     *exchange
	inner io.ReadCloser
	keep  bool
}

// Read ends the exchange with the end of the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if err != nil {
		b.x.finish(b.keep && errors.Is(err, io.EOF))
	}
	return n, err
}

// Close closes the connection unless the body was read to its end.
func (b *body) Close() error {
	b.x.giveUp()
	return nil
}
