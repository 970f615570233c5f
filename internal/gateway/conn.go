package gateway

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// Constants of connection pools.
const (
	maxIdleForwardConns    = 512 // idle connections to another instance
	idleTimeout            = 60 * time.Second
	keepAliveInterval      = 15 * time.Second
	readBufferSize         = 8 << 10
	writeBufferSize        = 4 << 10
	maxResponseHeaderBytes = 64 << 10
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial opens a connection to a server or another instance.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: DefaultDialTimeout, KeepAlive: keepAliveInterval}
	return d.DialContext(ctx, network, address)
}

// NewTransport returns a pool of HTTP/1.1 connections, one exchange at a time on
// each, that keeps at most the given number of idle connections to each address.
// It is used for servers and for the forward listeners of other instances. A
// DialTLSContext that is set for these has to come from Tracked.
func NewTransport(idle int) *http.Transport {
	return &http.Transport{
		DialContext:            TrackConnections(Dial),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idle,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         readBufferSize,
		WriteBufferSize:        writeBufferSize,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{}, // no HTTP/2
	}
}

// TrackConnections lets a pool prove for the connections of dial whether a request was
// written and whether an answer belongs to it.
func TrackConnections(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newTrackedConn(c), nil
	}
}
