package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/boragegate/boragegate/internal/gateway"
	"github.com/boragegate/boragegate/internal/mtls"
)

// maxIdleForwardConnections is the maximum number of idle connections to the forward listener
// of each other instance.
const maxIdleForwardConnections = 256

// listeners holds the HTTP listeners of an instance and their servers. The peer transport
// has a listener of its own.
type listeners struct {
	caller   net.Listener
	forward  net.Listener
	operator net.Listener

	mu      sync.Mutex
	servers []*http.Server
}

func (l *listeners) open(a Addresses) error {
	var err error
	if l.caller, err = net.Listen("tcp", a.Caller); err != nil {
		return eris.Wrap(err, "open caller listener")
	}
	if l.forward, err = net.Listen("tcp", a.Forward); err != nil {
		return eris.Wrap(err, "open forward listener")
	}
	if l.operator, err = net.Listen("tcp", a.Operator); err != nil {
		return eris.Wrap(err, "open operator listener")
	}
	return nil
}

func (l *listeners) newServer(h http.Handler, t Timeouts) *http.Server {
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: t.ReadHeader,
		IdleTimeout:       t.Idle,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers = append(l.servers, srv)
	return srv
}

// close closes all listeners and connections immediately.
func (l *listeners) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, srv := range l.servers {
		_ = srv.Close()
	}
	for _, ln := range []net.Listener{l.caller, l.forward, l.operator} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// withTLS wraps a listener with TLS, or returns it unchanged if material is nil.
func withTLS(ln net.Listener, material *mtls.Material) net.Listener {
	if material == nil {
		return ln
	}
	return tls.NewListener(ln, material.ServerConfig())
}

func (i *Instance) forwardScheme() string {
	if i.internalTLS == nil {
		return "http"
	}
	return "https"
}

// forwardTransport returns the transport for requests to other instances. With TLS, the
// certificate of each connection must be that of the member with the dialled address.
func (i *Instance) forwardTransport() http.RoundTripper {
	t := gateway.NewTransport(maxIdleForwardConnections)
	if i.internalTLS == nil {
		return t
	}
	t.DialTLSContext = gateway.TrackConnections(func(ctx context.Context, network, address string) (net.Conn, error) {
		id, err := i.memberByAddress(address)
		if err != nil {
			return nil, err
		}
		conn, err := gateway.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secured := tls.Client(conn, i.internalTLS.ClientConfig(id))
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, err
		}
		return secured, nil
	})
	return t
}

// memberByAddress returns the ID of the member with the forward address.
func (i *Instance) memberByAddress(forwardAddress string) (string, error) {
	for _, m := range i.members() {
		if m.ForwardAddress == forwardAddress {
			return m.ID, nil
		}
	}
	return "", eris.Errorf("no member of the cell has the forward address %s", forwardAddress)
}
