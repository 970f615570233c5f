package daemon

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/boragegate/boragegate/internal/gateway"
)

// forwardConnections bounds the idle connections to each other instance.
const forwardConnections = 256

// listeners are the HTTP listeners of an instance and their servers.
type listeners struct {
	caller  net.Listener
	forward net.Listener

	mu      sync.Mutex
	servers []*http.Server
}

func (l *listeners) open(a Addresses) error {
	var err error
	if l.caller, err = net.Listen("tcp", a.Caller); err != nil {
		return eris.Wrap(err, "caller listener")
	}
	if l.forward, err = net.Listen("tcp", a.Forward); err != nil {
		return eris.Wrap(err, "forward listener")
	}
	return nil
}

func (l *listeners) server(_ net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers = append(l.servers, srv)
	return srv
}

// close ends all listeners and connections at once.
func (l *listeners) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, srv := range l.servers {
		_ = srv.Close()
	}
	for _, ln := range []net.Listener{l.caller, l.forward} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// secure wraps a listener with mutual TLS unless the instance runs in plain mode.
func (i *Instance) secure(ln net.Listener) net.Listener {
	if i.keys == nil {
		return ln
	}
	return tls.NewListener(ln, i.keys.ServerConfig())
}

func (i *Instance) forwardScheme() string {
	if i.keys == nil {
		return "http"
	}
	return "https"
}

func (i *Instance) forwardTransport() http.RoundTripper {
	return gateway.NewTransport(nil, forwardConnections)
}
