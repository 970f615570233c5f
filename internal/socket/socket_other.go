//go:build !linux

// Package socket sets options of TCP connections and looks at them without reading.
package socket

import (
	"net"
	"syscall"
	"time"
)

// UnacknowledgedLimit has no effect where the socket option is missing.
func UnacknowledgedLimit(time.Duration) func(network, address string, c syscall.RawConn) error {
	return nil
}

// Quiet is not known here, so no idle connection is used again.
func Quiet(net.Conn) bool { return false }

var start = time.Now()

// BootTime does not count the time for which the machine was suspended here.
func BootTime() time.Duration { return time.Since(start) }
