package socket

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// IsWriteError reports whether err is the error of a write to a connection. An error of a copy may be one of
// the source instead.
func IsWriteError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op != "read"
}

// ResetError returns err, the result of a write to a connection, if the connection was reset or has timed
// out, and otherwise nil. The kernel reports such an error once: a read after it returns io.EOF, as if the
// peer had closed the connection. EPIPE means that the peer had closed it before.
func ResetError(err error) error {
	if !IsWriteError(err) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
