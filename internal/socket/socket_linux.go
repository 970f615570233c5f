// Package socket sets options of TCP connections and looks at them without reading.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCPUserTimeout returns a control function for net.Dialer that ends a
// connection whose data the peer has not acknowledged for that long. Without it
// the kernel retransmits with growing pauses, so that data would arrive many
// seconds late after a short network partition.
func TCPUserTimeout(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds())) //nolint:gosec // a file descriptor fits an int
		})
		return errors.Join(err, failed)
	}
}

// Reusable reports whether an idle connection is open and has nothing to read. An
// idle connection that has bytes waiting or was closed cannot be used again.
func Reusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT) //nolint:gosec // as above
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// BootTime is a steady clock that also counts the time for which the machine was
// suspended, unlike the clock of package time.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock has existed since Linux 2.6.39
	}
	return time.Duration(t.Nano())
}
