// Package socket sets options of TCP connections, checks idle ones without consuming
// data, and reads the boot-time clock.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCPUserTimeout returns a Control function for net.Dialer that sets the socket
// option TCP_USER_TIMEOUT, which closes a connection whose data the peer has not
// acknowledged for the given time, in whole milliseconds. Without it, the kernel
// retransmits with exponential backoff, so that after a short network partition data would
// arrive many seconds late.
func TCPUserTimeout(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds())) //nolint:gosec // a file descriptor fits an int
		})
		return errors.Join(err, optErr)
	}
}

// Buffers returns a Control function that sets the sizes of a socket's receive and send buffers in bytes. The kernel
// doubles them, for its own data about the bytes, and no longer adapts them. The sockets that a listener accepts have the
// same sizes.
func Buffers(receive, send int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = errors.Join(
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receive), //nolint:gosec // a file descriptor fits an int
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, send),    //nolint:gosec // as above
			)
		})
		return errors.Join(err, optErr)
	}
}

// Unsent returns the number of bytes in the send buffer of a connection, which the peer has not acknowledged. It returns
// 0 for a closed connection.
func Unsent(c net.Conn) int {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) //nolint:gosec // as above; 0 with an error
	})
	if err != nil {
		return 0
	}
	return n
}

// Reusable reports whether an idle connection is open and has no unread bytes. An idle
// connection with unread bytes, or one that the peer has closed, must not be reused.
func Reusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT) //nolint:gosec // as above
		reusable = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && reusable
}

// BootTime returns the time since the machine booted. It is a monotonic clock that,
// unlike that of package time, includes the time for which the machine was suspended.
// It panics if the clock is not available.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock has existed since Linux 2.6.39
	}
	return time.Duration(t.Nano())
}
