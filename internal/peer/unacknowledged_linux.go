package peer

import (
	"syscall"
	"time"
)

// unacknowledgedLimit ends a connection whose data the peer has not acknowledged
// for that long. Without it the kernel retransmits with growing pauses, so that
// messages would arrive many seconds late after a short network partition.
const unacknowledgedLimit = 2 * time.Second

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, which package syscall lacks.
const tcpUserTimeout = 18

func limitUnacknowledged(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedLimit.Milliseconds())) //nolint:gosec // a file descriptor fits an int
	})
	if err != nil {
		return err
	}
	return failed
}
