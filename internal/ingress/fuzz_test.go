package ingress_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/boragegate/boragegate/internal/ingress"
)

// pipeListener is a listener for in-memory connections.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (p pipeListener) Close() error   { return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// FuzzRequests guards against input from a caller that crashes the process, and against
// requests with two lengths, which a backend server could interpret differently.
func FuzzRequests(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nokGET / HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc")
	f.Fuzz(func(t *testing.T, text string) {
		listener := make(pipeListener, 1)
		server := &ingress.Server{
			Limits: func() ingress.Limits {
				l := ingress.DefaultLimits
				l.HeaderTimeout, l.IdleTimeout = 20*time.Millisecond, 20*time.Millisecond
				return l
			},
			MustStartInOrder: func(*http.Request) bool { return true },
			Handler: func(_ context.Context, r *ingress.Request) *ingress.Response {
				if len(r.Header.Values("Content-Length")) > 1 || r.Header.Get("Content-Length") != "" && len(r.TransferEncoding) > 0 {
					t.Errorf("request with two lengths: %q", text)
				}
				if strings.ContainsAny(r.RequestURI, " \r\n") {
					t.Errorf("space or line break in the request URI %q", r.RequestURI)
				}
				return &ingress.Response{Status: http.StatusOK, Header: http.Header{}}
			},
		}
		done := make(chan error, 1)
		go func() { done <- server.Serve(listener) }()
		clientConn, serverConn := net.Pipe()
		listener <- serverConn
		go func() { _, _ = io.Copy(io.Discard, clientConn) }()
		_ = clientConn.SetDeadline(time.Now().Add(200 * time.Millisecond))
		_, _ = io.WriteString(clientConn, text) // the server may close first
		_ = clientConn.Close()
		close(listener)
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		server.Close()
	})
}
