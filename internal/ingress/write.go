package ingress

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/boragegate/boragegate/internal/httpwire"
)

// smallResponseBytes is the size up to which a response is not charged after it is written.
const smallResponseBytes = 4 << 10

// writeResponse writes a response, with "Connection: close" if the connection closes after it.
// It releases the response.
func (c *conn) writeResponse(x *exchange, closeConn bool) (err error) {
	r := x.response
	defer func() { err = errors.Join(err, r.Release()) }()
	_ = c.nc.SetWriteDeadline(writeDeadline(r))
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString("HTTP/1.1 " + strconv.Itoa(r.Status) + " " + http.StatusText(r.Status) + "\r\n")
	for name, values := range r.Header {
		if httpwire.IsHopByHop(name) {
			continue
		}
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	length := int64(len(r.Body))
	if r.Stream != nil {
		length = r.Length
	}
	hasBody := r.Status >= http.StatusOK && r.Status != http.StatusNoContent && r.Status != http.StatusNotModified
	chunked := length < 0
	if chunked || length > smallResponseBytes {
		c.chargeUnsent()
	}
	switch {
	case !hasBody:
	case chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	default:
		b.WriteString("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n")
	}
	if closeConn {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	if x.request != nil && x.request.Method == http.MethodHead || !hasBody {
		_, err := c.nc.Write(b.Bytes())
		return err
	}
	if !chunked {
		buffers := net.Buffers{b.Bytes(), r.Body}
		if _, err := buffers.WriteTo(c.nc); err != nil || r.Stream == nil {
			return err
		}
		return c.writeStream(c.nc, r)
	}
	w := &httpwire.ChunkWriter{W: c.nc}
	if _, err := c.nc.Write(b.Bytes()); err != nil {
		return err
	}
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	if err := c.writeStream(w, r); err != nil {
		return err
	}
	return w.Close()
}

// writeStream copies the remaining body of a response to w. It returns an error if the stream
// is not as long as r.Length requires.
func (c *conn) writeStream(w io.Writer, r *Response) error {
	remaining := r.Length - int64(len(r.Body))
	n, err := io.Copy(&deadlineWriter{c.nc, w, r}, r.Stream)
	if err == nil && r.Length >= 0 && n != remaining {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// writeDeadline returns the time by which a write of the response that begins now has to end:
// writeTimeout bounds it, and the deadline of a streamed response, because after that the rest
// cannot follow.
func writeDeadline(r *Response) time.Time {
	deadline := time.Now().Add(writeTimeout)
	if r.Stream != nil && !r.Deadline.IsZero() && r.Deadline.Before(deadline) {
		return r.Deadline
	}
	return deadline
}

// deadlineWriter sets a new deadline for each write of a response.
type deadlineWriter struct {
	nc net.Conn
	w  io.Writer
	r  *Response
}

func (d *deadlineWriter) Write(p []byte) (int, error) {
	_ = d.nc.SetWriteDeadline(writeDeadline(d.r))
	return d.w.Write(p)
}
