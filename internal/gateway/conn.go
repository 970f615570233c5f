package gateway

import (
	"crypto/tls"

	"github.com/boragegate/boragegate/internal/http1"
)

// forwardConnections is the number of idle connections to another instance.
const forwardConnections = 512

// NewTransport returns a pool of HTTP/1.1 connections that keeps at most the
// given number of idle connections to each address. It is used for servers and,
// with TLS, for the forward listeners of other instances.
func NewTransport(tlsConfig *tls.Config, connections int) *http1.Transport {
	return http1.New(tlsConfig, connections)
}
