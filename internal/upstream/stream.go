package upstream

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// streamTimeout bounds the time between two reads of a streamed response body.
const streamTimeout = 10 * time.Second

// ErrDeadline means that a streamed response body had not ended at the deadline of its
// request.
var ErrDeadline = errors.New("response has not ended at the deadline of the request")

// responseStream is the remaining body of a large response. It is read after the handler of
// the request has returned, which cancels the context of Do, so it depends only on the
// deadline of that context. Its connection is not reused.
type responseStream struct {
	r        io.Reader
	cn       *conn
	deadline time.Time   // zero if there is none
	expiry   *time.Timer // closes the connection at the deadline, also if nothing is read; nil if there is none
	release  func()
}

func newResponseStream(r io.Reader, cn *conn, deadline time.Time) *responseStream {
	s := &responseStream{r: r, cn: cn, deadline: deadline}
	s.release = sync.OnceFunc(func() { cn.client.release(cn, false) })
	if !deadline.IsZero() {
		s.expiry = time.AfterFunc(time.Until(deadline), s.release)
	}
	return s
}

// Read returns an error if the server sends nothing for streamTimeout, and ErrDeadline after
// the deadline.
func (s *responseStream) Read(p []byte) (int, error) {
	_ = s.cn.nc.SetReadDeadline(time.Now().Add(streamTimeout))
	n, err := s.r.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && !s.deadline.IsZero() && !time.Now().Before(s.deadline) {
		err = fmt.Errorf("%w: %w", ErrDeadline, err)
	}
	return n, err
}

// Close closes the connection. It may be called from any goroutine, and makes a pending Read
// return an error.
func (s *responseStream) Close() error {
	if s.expiry != nil {
		s.expiry.Stop()
	}
	s.release()
	return nil
}
