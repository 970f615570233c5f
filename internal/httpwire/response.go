package httpwire

import (
	"io"
	"net/http"
	"time"
)

// Response is an HTTP response that is forwarded from a backend server to a caller.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body if Stream is nil, and otherwise the part before Stream.
	Body []byte
	// Stream provides the remaining body. It is read to its end. If a read fails, the
	// caller's connection is closed with an incomplete response. Release closes it.
	Stream io.ReadCloser
	// Deadline is the time by which a response with a Stream has to be written; then Stream
	// ends with an error. The zero value means none.
	Deadline time.Time
	// Length is the length of the whole body including Stream, or -1 if it is unknown.
	Length int64
	// Close closes the caller's connection after the response, unless pipelined requests
	// are queued on it.
	Close bool
	// OnRelease is called by the first call of Release; it may be nil.
	OnRelease func()
}

// Release closes Stream and calls OnRelease. It has to be called once the response is written
// or no longer needed, and may be called again, but not concurrently.
func (r *Response) Release() error {
	if r == nil {
		return nil
	}
	if r.OnRelease != nil {
		r.OnRelease()
		r.OnRelease = nil
	}
	if r.Stream == nil {
		return nil
	}
	return r.Stream.Close()
}
