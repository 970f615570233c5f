// Package httpwire contains the HTTP/1.1 helpers beyond package net/http that both the
// ingress and the upstream side use: a limit on header sizes, chunked encoding,
// hop-by-hop headers, and the values of some headers.
package httpwire

import (
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
)

// Unlimited is the Remaining value that disables the limit of a HeaderLimitReader while
// a body is read.
const Unlimited = 1 << 62

// ErrHeaderTooLarge means that a header exceeds its limit.
var ErrHeaderTooLarge = errors.New("HTTP header exceeds the limit")

// HeaderLimitReader reads at most Remaining bytes from R, and then fails with
// ErrHeaderTooLarge instead of io.EOF.
type HeaderLimitReader struct {
	R         io.Reader
	Remaining int64
}

// Read returns ErrHeaderTooLarge when Remaining is used up.
func (l *HeaderLimitReader) Read(p []byte) (int, error) {
	if l.Remaining <= 0 {
		return 0, ErrHeaderTooLarge
	}
	if int64(len(p)) > l.Remaining {
		p = p[:l.Remaining]
	}
	n, err := l.R.Read(p)
	l.Remaining -= int64(n)
	return n, err
}

var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true, "Te": true,
	"Trailer": true, "Upgrade": true, "Content-Length": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// IsHopByHop reports whether a header, given in canonical form, is not forwarded because
// it applies to one connection only or is set anew for each message.
func IsHopByHop(name string) bool { return hopByHop[name] }

// ParseFlag parses the value of a Boolean header. A missing or malformed value counts as false.
func ParseFlag(value string) bool {
	set, err := strconv.ParseBool(strings.TrimSpace(value))
	return err == nil && set
}

// ChunkWriter encodes a body with chunked transfer encoding. Close writes the final
// empty chunk.
type ChunkWriter struct{ W io.Writer }

// Write writes p as one chunk. It writes nothing if p is empty, since an empty chunk
// would end the body.
func (c *ChunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	buffers := net.Buffers{[]byte(strconv.FormatInt(int64(len(p)), 16) + "\r\n"), p, []byte("\r\n")}
	if _, err := buffers.WriteTo(c.W); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close ends the body. It does not close W.
func (c *ChunkWriter) Close() error {
	_, err := io.WriteString(c.W, "0\r\n\r\n")
	return err
}
