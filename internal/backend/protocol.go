package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// protocol is the HTTP version that a server is known to support.
type protocol int

const (
	// protocolUnknown means that no request has succeeded over either version yet.
	protocolUnknown protocol = iota
	protocolHTTP2
	protocolHTTP1
)

// protocolTransport sends each request over HTTP/2 without TLS if the server
// supports it, and over HTTP/1.1 otherwise. The protocol of the first successful
// request to an address is used for all later ones. HTTP/2 compresses the headers,
// which are two thirds of the bytes of a renewal over HTTP/1.1.
type protocolTransport struct {
	http1, http2 *http.Transport
	protocols    sync.Map // address to protocol
}

func newProtocolTransport() *protocolTransport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	t := &protocolTransport{http1: newTransport(dialer), http2: newTransport(dialer)}
	t.http2.Protocols = new(http.Protocols)
	t.http2.Protocols.SetUnencryptedHTTP2(true)
	return t
}

func newTransport(dialer *net.Dialer) *http.Transport {
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     connectionsPerServer,
		MaxIdleConnsPerHost: connectionsPerServer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// RoundTrip implements http.RoundTripper. A request may be sent twice, once over
// each protocol; all calls of the contract are idempotent.
func (t *protocolTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	address := req.URL.Host
	serverProtocol, _ := t.protocols.LoadOrStore(address, protocolUnknown)
	if serverProtocol == protocolHTTP1 {
		return t.http1.RoundTrip(req)
	}
	resp, err := t.http2.RoundTrip(req)
	switch {
	case err == nil:
		t.protocols.Store(address, protocolHTTP2)
		return resp, nil
	case serverProtocol == protocolHTTP2 || isInconclusive(err):
		return nil, err
	}
	if req.Body, err = req.GetBody(); err != nil {
		return nil, err
	}
	resp, err = t.http1.RoundTrip(req)
	if err == nil {
		t.protocols.Store(address, protocolHTTP1)
	}
	return resp, err
}

// CloseIdleConnections closes the connections that no request uses.
func (t *protocolTransport) CloseIdleConnections() {
	t.http1.CloseIdleConnections()
	t.http2.CloseIdleConnections()
}

// isInconclusive reports whether an error says nothing about the protocols that the
// server supports: the connection was not opened, or the request timed out or was
// cancelled.
func isInconclusive(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" ||
		errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// idleTimeout is the time after which an unused connection is closed.
const idleTimeout = time.Minute
