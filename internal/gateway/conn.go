package gateway

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// Settings of connections and connection pools. Sizes are in bytes.
const (
	maxIdleForwardConns    = 512 // to each other instance
	idleTimeout            = 60 * time.Second
	keepAliveInterval      = 15 * time.Second
	readBufferSize         = 8 << 10
	writeBufferSize        = 4 << 10
	maxResponseHeaderBytes = 64 << 10
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial opens a TCP connection to a server or another instance. It fails after
// DefaultDialTimeout or when the context ends.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: DefaultDialTimeout, KeepAlive: keepAliveInterval}
	return d.DialContext(ctx, network, address)
}

// NewTransport returns an HTTP/1.1 transport with a connection pool that keeps at
// most idle unused connections to each address. Each connection has one exchange at
// a time. The transport is used for backend servers and for the forward listeners
// of other instances. A function that is set as its DialTLSContext must be wrapped
// with TrackConnections.
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

// TrackConnections wraps the connections that dial opens, so that the gateway
// can tell whether a request was written and whether a response belongs to it.
func TrackConnections(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newTrackedConn(c), nil
	}
}
