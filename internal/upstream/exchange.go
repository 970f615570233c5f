package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/boragegate/boragegate/internal/httpwire"
	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/routing"
)

const (
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 4 << 10
	// maxMismatched is the maximum number of responses to other requests that are skipped.
	maxMismatched = 4
	// maxMismatchedBytes bounds the body of a response to another request that is skipped.
	maxMismatchedBytes = 64 << 10
	// maxInformational is the maximum number of 1xx responses that are skipped.
	maxInformational = 8
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
	// copyBufferBytes is the size of the buffer through which a streamed body is copied.
	copyBufferBytes = 16 << 10
	// maxInlineBodyBytes is the size of the largest request body that is written before
	// the response is read. It fits into the socket buffers, so that the write does not
	// wait for the server.
	maxInlineBodyBytes = 16 << 10
)

// conn is a connection to a backend server.
type conn struct {
	client      *Client
	pool        *pool
	nc          net.Conn
	br          *bufio.Reader
	head        httpwire.HeadReader
	idleSince   time.Time     // start of the idle period
	idleUntil   time.Time     // time at which the connection expires
	idleTime    time.Duration // idle time before the current request
	idleTimeout time.Duration // from the last response's Keep-Alive header
	reused      bool          // has carried an earlier request
}

func newConn(c *Client, p *pool, nc net.Conn) *conn {
	cn := &conn{client: c, pool: p, nc: nc, head: httpwire.HeadReader{R: nc}}
	cn.br = bufio.NewReaderSize(&cn.head, bufferBytes)
	return cn
}

// Do sends a request to a target and returns its response. The error wraps
// ErrNotSent if the target cannot have received any of the request. When the context
// is done, the connection is closed, which makes most servers cancel the request. A
// Stream in the response must be closed. It ends at the deadline of the context, but does
// not depend on its cancellation.
func (c *Client) Do(ctx context.Context, t *routing.Target, r *Request) (*Response, error) {
	cn, err := c.acquire(ctx, t, r.Used)
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		c.release(cn, cn.reused)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	r.Used.add(cn)
	_ = cn.nc.SetDeadline(time.Time{})
	stop := context.AfterFunc(ctx, func() { _ = cn.nc.SetDeadline(time.Unix(1, 0)) })
	resp, reusable, err := cn.roundTrip(r)
	reusable = stop() && reusable
	if resp != nil && resp.Stream != nil {
		resp.Deadline, _ = ctx.Deadline()
		resp.Stream = newResponseStream(resp.Stream, cn, resp.Deadline)
		return resp, nil
	}
	if err != nil {
		if !r.TargetBusy && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF)) {
			c.recordReset(t.Service, cn)
		}
		if errors.Is(err, syscall.ECONNRESET) && !cn.reused {
			err = fmt.Errorf("%w: %w", ErrNewConnReset, err)
		}
		c.release(cn, false)
		return nil, err
	}
	c.release(cn, reusable)
	return resp, nil
}

// roundTrip writes the request and reads the response. It reports whether the
// connection can be reused.
func (cn *conn) roundTrip(r *Request) (*Response, bool, error) {
	write, err := cn.writeRequest(r)
	requestWritten := write == nil
	defer func() {
		if write == nil {
			return
		}
		if !requestWritten {
			write.abort()
		}
		if write.wait() != nil {
			_ = cn.nc.Close() // the server must not wait for the remaining body
		}
	}()
	if err != nil {
		return nil, false, err
	}
	resp, err := cn.readResponse(r) //nolint:bodyclose // read to its end or closed with the connection
	if err != nil {
		return nil, false, fmt.Errorf("read response: %w", err)
	}
	if write != nil {
		requestWritten = write.hasSucceeded() // otherwise the server may still expect the rest
	}
	out, complete, err := cn.readBody(resp)
	endsWithConnection := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
	if err == nil && complete && endsWithConnection && write != nil {
		write.abort() // it may have got the error of the connection that ended the body
		if err = socket.ResetError(write.wait()); err != nil {
			_ = out.Release()
		}
	}
	if err != nil {
		requestWritten = false
		return nil, false, fmt.Errorf("read response body: %w", err)
	}
	cn.idleTimeout = keepAliveTimeout(resp.Header)
	reusable := complete && requestWritten && !endsWithConnection && !resp.Close && cn.br.Buffered() == 0 && cn.idleTimeout > 0
	return out, reusable, nil
}

// writeRequest writes the header and a body of at most maxInlineBodyBytes, and returns nil.
// A larger or streamed body is written while the response is read; writeRequest then returns
// that write.
func (cn *conn) writeRequest(r *Request) (*bodyWrite, error) {
	var b bytes.Buffer
	b.Grow(768)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		if httpwire.IsHopByHop(name) || name == "Host" {
			continue
		}
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	switch {
	case r.Length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		b.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	}
	b.WriteString("\r\n")
	if r.BodyStream == nil && len(r.Body) <= maxInlineBodyBytes {
		b.Write(r.Body)
		n, err := cn.nc.Write(b.Bytes())
		return nil, wrapWriteError(n, err)
	}
	if n, err := cn.nc.Write(b.Bytes()); err != nil {
		return nil, wrapWriteError(n, err)
	}
	w := &bodyWrite{cn: cn, stream: r.BodyStream, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.err = cn.writeBody(r)
	}()
	return w, nil
}

// bodyWrite is the write of a request body in a goroutine of its own.
type bodyWrite struct {
	cn     *conn
	stream io.Closer // nil if the body is not streamed
	done   chan struct{}
	err    error // valid once done is closed
}

// hasSucceeded reports whether the whole body has been written.
func (w *bodyWrite) hasSucceeded() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// wait returns the result of the write when it has ended.
func (w *bodyWrite) wait() error {
	<-w.done
	return w.err
}

// abort makes a write that has not ended fail.
func (w *bodyWrite) abort() {
	_ = w.cn.nc.SetWriteDeadline(time.Unix(1, 0))
	if w.stream != nil {
		_ = w.stream.Close()
	}
}

// wrapWriteError returns nil if err is nil. Otherwise it wraps err, the error of a write of
// n bytes of the request, and adds ErrNotSent if n is 0.
func wrapWriteError(n int, err error) error {
	if err == nil {
		return nil
	}
	if n == 0 {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("write request: %w", err)
}

func (cn *conn) writeBody(r *Request) error {
	if r.Length >= 0 {
		if _, err := cn.nc.Write(r.Body); err != nil || r.BodyStream == nil {
			return err
		}
		n, err := copyBody(cn.nc, r.BodyStream)
		if err == nil && n != r.Length-int64(len(r.Body)) {
			err = io.ErrUnexpectedEOF
		}
		return cn.endBody(err)
	}
	w := &httpwire.ChunkWriter{W: cn.nc}
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	if r.BodyStream != nil {
		if _, err := copyBody(w, r.BodyStream); err != nil {
			return cn.endBody(err)
		}
	}
	return w.Close()
}

// endBody ends the connection if the source of a body has failed, so that the server does not take an
// incomplete body for a complete one. After a failed write the response, which the server may have sent
// before, can still be read. It returns err, the result of the write.
func (cn *conn) endBody(err error) error {
	if err != nil && !socket.IsWriteError(err) {
		_ = cn.nc.Close()
	}
	return err
}

// copyBody copies through a buffer of copyBufferBytes. It hides ReadFrom and WriteTo of
// its arguments, which would allocate a larger buffer.
func copyBody(w io.Writer, r io.Reader) (int64, error) {
	return io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{r}, make([]byte, copyBufferBytes))
}

// readResponse reads response headers until one has the request's ID. On a new connection
// it also accepts a first response without an ID, because no earlier request was sent on
// it that the response could belong to.
func (cn *conn) readResponse(r *Request) (*http.Response, error) {
	mismatched, informational := 0, 0
	for {
		resp, err := cn.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		if !httpwire.IsValidStatus(resp.StatusCode) {
			return nil, fmt.Errorf("%w: %.20q", ErrInvalidStatus, resp.Status)
		}
		if resp.StatusCode < http.StatusOK {
			if informational++; informational > maxInformational || resp.StatusCode == http.StatusSwitchingProtocols {
				return nil, fmt.Errorf("too many informational responses or an unrequested protocol switch: status %d", resp.StatusCode)
			}
			continue
		}
		ids := resp.Header.Values(cn.client.IDHeader)
		matches := !slices.ContainsFunc(ids, func(id string) bool { return id != r.ID || id == "" })
		if matches && (len(ids) > 0 || !cn.reused && mismatched == 0) {
			return resp, nil
		}
		if mismatched++; mismatched > maxMismatched {
			return nil, ErrResponseMismatch
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxMismatchedBytes))
		if err != nil || n == maxMismatchedBytes || resp.Close {
			return nil, errors.Join(ErrResponseMismatch, err)
		}
	}
}

// readHead reads the head of the next response.
func (cn *conn) readHead(method string) (*http.Response, error) {
	cn.head.Limit(maxHeaderBytes)
	buffered, _ := cn.br.Peek(cn.br.Buffered())
	if err := cn.head.BeginHead(buffered); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(cn.br, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	cn.head.EndHead()
	return resp, cn.head.CheckVersion(resp.ProtoMajor, resp.ProtoMinor)
}
