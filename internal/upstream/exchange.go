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
	"strconv"
	"syscall"
	"time"

	"github.com/boragegate/boragegate/internal/httpwire"
	"github.com/boragegate/boragegate/routing"
)

const (
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 4 << 10
	// maxBufferedBodyBytes is the largest answer that is read before it is passed on. A
	// broken one can then be replaced by another target's.
	maxBufferedBodyBytes = 1 << 20
	// streamTimeout bounds the pause between two parts of a large answer.
	streamTimeout = 10 * time.Second
	// maxMismatched is the number of answers to other requests that are skipped.
	maxMismatched = 4
	// maxMismatchedBytes is the largest answer to another request that is skipped.
	maxMismatchedBytes = 64 << 10
	// maxInformational is the number of 1xx answers that are skipped.
	maxInformational = 8
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// copyBufferBytes is the size of the buffer through which a large body is sent.
	copyBufferBytes = 16 << 10
	// maxInlineBodyBytes is the largest body that is written before the answer is
	// read. It fits the socket's buffers, so the write does not wait for the server.
	maxInlineBodyBytes = 16 << 10
)

// conn is one connection to a server.
type conn struct {
	client      *Client
	pool        *pool
	nc          net.Conn
	br          *bufio.Reader
	headerLimit httpwire.HeaderLimitReader
	idleSince   time.Time     // begin of the idle time
	idleUntil   time.Time     // end of the idle time
	idleTime    time.Duration // idle time before the present request
	idleTimeout time.Duration // as the server said
	reused      bool          // has carried a request before
}

func newConn(c *Client, p *pool, nc net.Conn) *conn {
	cn := &conn{client: c, pool: p, nc: nc, headerLimit: httpwire.HeaderLimitReader{R: nc}}
	cn.br = bufio.NewReaderSize(&cn.headerLimit, bufferBytes)
	return cn
}

// Do sends a request to a target and returns its answer. The error wraps
// ErrNotSent if the target cannot have received anything. The context's end
// closes the connection, which makes most servers drop the request.
func (c *Client) Do(ctx context.Context, t *routing.Target, r *Request) (*Response, error) {
	cn, err := c.acquire(ctx, t)
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		c.release(cn, cn.reused)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	_ = cn.nc.SetDeadline(time.Time{})
	stop := context.AfterFunc(ctx, func() { _ = cn.nc.SetDeadline(time.Unix(1, 0)) })
	resp, reusable, err := cn.roundTrip(r)
	reusable = stop() && reusable
	if resp != nil && resp.Stream != nil {
		resp.Stream = &responseStream{r: resp.Stream, cn: cn}
		return resp, nil
	}
	if err != nil {
		if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) {
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

// responseStream is the rest of a large answer. It does not depend on the context of its
// exchange, which ends when the answer is passed on. Its connection is not used again.
type responseStream struct {
	r  io.Reader
	cn *conn
}

// Read ends with an error if the server pauses for longer than streamTimeout.
func (s *responseStream) Read(p []byte) (int, error) {
	_ = s.cn.nc.SetReadDeadline(time.Now().Add(streamTimeout))
	return s.r.Read(p)
}

// Close ends the connection.
func (s *responseStream) Close() error {
	s.cn.client.release(s.cn, false)
	return nil
}

// roundTrip sends the request and reads the answer. It reports whether the
// connection can be used again.
func (cn *conn) roundTrip(r *Request) (*Response, bool, error) {
	sent, err := cn.writeRequest(r)
	written := true
	if sent != nil { // the body is still being written
		defer func() {
			if !written {
				_ = cn.nc.SetWriteDeadline(time.Unix(1, 0))
				if r.BodyStream != nil {
					_ = r.BodyStream.Close()
				}
			}
			if err := <-sent; err != nil {
				_ = cn.nc.Close() // the server must not wait for the rest of the body
			}
		}()
	}
	if err != nil {
		return nil, false, err
	}
	resp, err := cn.readResponse(r) //nolint:bodyclose // read to its end or closed with the connection
	if err != nil {
		written = false
		return nil, false, fmt.Errorf("read answer: %w", err)
	}
	if sent != nil {
		select {
		case err := <-sent:
			sent <- err
			written = err == nil
		default:
			written = false // answered before the body was in: the rest would be due
		}
	}
	out, whole, err := cn.readBody(resp)
	if err != nil {
		written = false
		return nil, false, fmt.Errorf("read body of the answer: %w", err)
	}
	cn.idleTimeout = keepAliveTimeout(resp.Header)
	reusable := whole && written && !resp.Close && cn.br.Buffered() == 0 && cn.idleTimeout > 0
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
		reusable = false // ended with the connection
	}
	return out, reusable, nil
}

// writeRequest writes the header and a small body at once. A larger body is written
// beside the reading of the answer; the channel then has its end.
func (cn *conn) writeRequest(r *Request) (chan error, error) {
	var b bytes.Buffer
	b.Grow(768)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		if httpwire.HopByHop(name) || name == "Host" {
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
		return nil, sendError(n, err)
	}
	if n, err := cn.nc.Write(b.Bytes()); err != nil {
		return nil, sendError(n, err)
	}
	done := make(chan error, 1)
	go func() { done <- cn.writeBody(r) }()
	return done, nil
}

func sendError(n int, err error) error {
	if err == nil {
		return nil
	}
	if n == 0 {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("send: %w", err)
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
		if err != nil {
			_ = cn.nc.Close() // an incomplete body must not look complete
		}
		return err
	}
	w := &httpwire.ChunkWriter{W: cn.nc}
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	if r.BodyStream != nil {
		if _, err := copyBody(w, r.BodyStream); err != nil {
			_ = cn.nc.Close()
			return err
		}
	}
	return w.Close()
}

// copyBody copies through a buffer of its own: the socket would take a larger one.
func copyBody(w io.Writer, r io.Reader) (int64, error) {
	return io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{r}, make([]byte, copyBufferBytes))
}

// readResponse reads headers until one belongs to the request.
func (cn *conn) readResponse(r *Request) (*http.Response, error) {
	foreign, informational := 0, 0
	for {
		cn.headerLimit.Remaining = maxHeaderBytes
		resp, err := http.ReadResponse(cn.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		cn.headerLimit.Remaining = httpwire.Unlimited
		if resp.StatusCode < http.StatusOK {
			if informational++; informational > maxInformational || resp.StatusCode == http.StatusSwitchingProtocols {
				return nil, fmt.Errorf("status %d", resp.StatusCode)
			}
			continue
		}
		id := resp.Header.Get(cn.client.IDHeader)
		if id == r.ID && id != "" || id == "" && !cn.reused && foreign == 0 {
			return resp, nil
		}
		if foreign++; foreign > maxMismatched {
			return nil, ErrResponseMismatch
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxMismatchedBytes))
		if err != nil || n == maxMismatchedBytes || resp.Close {
			return nil, errors.Join(ErrResponseMismatch, err)
		}
	}
}

// readBody reads the body, or the beginning of a large one.
func (cn *conn) readBody(resp *http.Response) (out *Response, whole bool, err error) {
	out = &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	if resp.Body == http.NoBody { // also the answer to HEAD, whatever its length says
		return out, true, nil
	}
	if n := resp.ContentLength; n >= 0 && n <= maxBufferedBodyBytes {
		out.Body = make([]byte, n)
		_, err = io.ReadFull(resp.Body, out.Body)
		return out, err == nil, err
	}
	out.Body, err = io.ReadAll(io.LimitReader(resp.Body, maxBufferedBodyBytes))
	if err != nil {
		return nil, false, err
	}
	if len(out.Body) < maxBufferedBodyBytes {
		out.Length = int64(len(out.Body))
		return out, true, nil
	}
	out.Stream = resp.Body
	return out, false, nil
}
