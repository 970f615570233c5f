//go:build !linux

package peer

import "syscall"

// limitUnacknowledged has no effect where the socket option is missing.
func limitUnacknowledged(_, _ string, _ syscall.RawConn) error { return nil }
