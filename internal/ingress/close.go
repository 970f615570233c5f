package ingress

import (
	"errors"
	"net"
	"os"
	"time"
)

// beginClose closes the write side of the connection and sets lingerTimeout as the read
// deadline of the reading goroutine, which calls linger. If a response is missing or
// incomplete, beginClose closes the connection immediately.
func (c *conn) beginClose(answered bool) {
	if !answered {
		_ = c.nc.Close()
		c.cancel()
		return
	}
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	timeout := lingerTimeout
	if c.ending {
		timeout = evictedLingerTimeout
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(timeout))
}

// linger discards what the caller still sends until the caller closes the connection, or
// until all responses are written and lingerTimeout has passed. It returns the reason for
// OnAbort. Without memory for the unread bytes it closes the connection at once.
func (c *conn) linger() string {
	if !c.lingers() {
		return "closed"
	}
	buffer := make([]byte, lingerBufferBytes)
	c.head.EndHead()
	for {
		if _, err := c.br.Read(buffer); err != nil {
			c.mu.Lock()
			pending := len(c.queue) > 0 && !c.closing
			c.mu.Unlock()
			if errors.Is(err, os.ErrDeadlineExceeded) && pending {
				_ = c.nc.SetReadDeadline(time.Time{})
				continue
			}
			return "closed"
		}
	}
}
