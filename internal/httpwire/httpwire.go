// Package httpwire has what both sides of a forwarder need of HTTP/1.1 beyond
// package net/http: a bound on headers, chunks, and the headers of one connection.
package httpwire

import (
	"errors"
	"io"
	"net"
	"strconv"
)

// Unlimited turns the bound of a HeaderLimitReader off while a body is read.
const Unlimited = 1 << 62

// ErrHeaderTooLarge means that a header exceeds its bound.
var ErrHeaderTooLarge = errors.New("header too large")

// HeaderLimitReader reads from R at most Left bytes.
type HeaderLimitReader struct {
	R         io.Reader
	Remaining int64
}

// Read returns ErrHeaderTooLarge when nothing is left.
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

// HopByHop reports whether a header, in canonical form, concerns one connection
// only or is set anew for each.
func HopByHop(name string) bool { return hopByHop[name] }

// ChunkWriter writes each piece as a chunk. Close writes the last, empty chunk.
type ChunkWriter struct{ W io.Writer }

// Write writes one chunk.
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
