// Package httpwire contains the HTTP/1.1 helpers beyond package net/http that both the
// ingress and the upstream side use: a limit on and a check of headers, chunked encoding,
// hop-by-hop headers, and the values of some headers.
package httpwire

import (
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
)

// ErrHeaderTooLarge means that a header exceeds its limit.
var ErrHeaderTooLarge = errors.New("HTTP header exceeds the limit")

// HeadReader reads from R. It limits and checks the heads of messages, which package net/http parses.
type HeadReader struct {
	R io.Reader

	remaining int64 // bytes that may be read; used only while isLimited is true
	isLimited bool
	check     HeadCheck
}

// Limit limits the bytes that are read from now on. Then reads fail with ErrHeaderTooLarge.
func (l *HeadReader) Limit(bytes int64) { l.remaining, l.isLimited = bytes, true }

// EndHead ends the limit and the check.
func (l *HeadReader) EndHead() {
	l.isLimited = false
	l.check.End()
}

// BeginHead begins the check of a head. buffered has the bytes of it that have been read already. It returns
// ErrMalformedHead if these are not valid; later bytes make Read return that error.
func (l *HeadReader) BeginHead(buffered []byte) error {
	l.check.Begin()
	return l.check.Scan(buffered)
}

// Fields returns the number of fields of the head whose names have been read.
func (l *HeadReader) Fields() int { return l.check.fields }

// CheckVersion is HeadCheck.CheckVersion for the last head.
func (l *HeadReader) CheckVersion(major, minor int) error { return l.check.CheckVersion(major, minor) }

// Read implements io.Reader.
func (l *HeadReader) Read(p []byte) (int, error) {
	if l.isLimited {
		if l.remaining <= 0 {
			return 0, ErrHeaderTooLarge
		}
		p = p[:min(int64(len(p)), l.remaining)]
	}
	n, err := l.R.Read(p)
	l.remaining -= int64(n)
	if malformed := l.check.Scan(p[:n]); malformed != nil {
		return 0, malformed
	}
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
