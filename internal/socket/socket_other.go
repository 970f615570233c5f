//go:build !linux

// Package socket sets options of TCP connections, checks idle ones without consuming
// data, and reads the boot-time clock.
package socket

import (
	"net"
	"syscall"
	"time"
)

// TCPUserTimeout returns nil, since the socket option TCP_USER_TIMEOUT is specific
// to Linux.
func TCPUserTimeout(time.Duration) func(network, address string, c syscall.RawConn) error {
	return nil
}

// Reusable returns false, so that no idle connection is reused: this platform has no
// implementation of the check.
func Reusable(net.Conn) bool { return false }

// Buffers returns nil, since the default sizes differ between systems.
func Buffers(int, int) func(network, address string, c syscall.RawConn) error { return nil }

// Unsent returns 0: this platform has no implementation.
func Unsent(net.Conn) int { return 0 }

var start = time.Now()

// BootTime returns the time since the process started, from the monotonic clock of package
// time. Unlike on Linux, it need not include the time for which the machine was suspended.
func BootTime() time.Duration { return time.Since(start) }
