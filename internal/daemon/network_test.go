package daemon

import (
	"context"
	"net/http"
	"sync"

	"github.com/boragegate/boragegate/internal/control"
	"github.com/boragegate/boragegate/ownership"
	"github.com/boragegate/boragegate/store"
)

// network cuts off isolated instances from other instances, and their control loops from
// servers. Messages between instances are dropped; calls of the control loop to servers and
// requests to forward listeners block until their context ends. Requests that the gateway
// sends to servers, and health checks, are not cut off.
type network struct {
	mu        sync.Mutex
	isolated  map[string]bool
	instances map[string]string // instance ID by forward address
}

func (n *network) setIsolated(id string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated == nil {
		n.isolated = map[string]bool{}
	}
	n.isolated[id] = isolated
}

func (n *network) setInstance(address, id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.instances == nil {
		n.instances = map[string]string{}
	}
	n.instances[address] = id
}

func (n *network) isIsolated(ids ...string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range ids {
		if n.isolated[id] {
			return true
		}
	}
	return false
}

func (n *network) instanceAt(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.instances[address]
}

func (n *network) wrappersFor(id string) transportWrappers {
	return transportWrappers{
		peers:   func(p control.Peers) control.Peers { return isolatedPeers{p, n, id} },
		servers: func(s control.Servers) control.Servers { return isolatedServers{s, n, id} },
		forward: func(t http.RoundTripper) http.RoundTripper { return isolatedForward{t, n, id} },
	}
}

type isolatedPeers struct {
	control.Peers
	network *network
	self    string
}

func (p isolatedPeers) Send(to ownership.Member, msg ownership.Message) {
	if !p.network.isIsolated(p.self, to.ID) {
		p.Peers.Send(to, msg)
	}
}

type isolatedServers struct {
	control.Servers
	network *network
	self    string
}

func (s isolatedServers) Call(ctx context.Context, address string, req ownership.ServerRequest) (ownership.ServerReply, error) {
	if s.network.isIsolated(s.self) {
		<-ctx.Done()
		return ownership.ServerReply{}, ctx.Err()
	}
	reply, err := s.Servers.Call(ctx, address, req)
	if s.network.isIsolated(s.self) {
		<-ctx.Done()
		return ownership.ServerReply{}, ctx.Err()
	}
	return reply, err
}

type isolatedForward struct {
	http.RoundTripper
	network *network
	self    string
}

func (f isolatedForward) RoundTrip(r *http.Request) (*http.Response, error) {
	if f.network.isIsolated(f.self, f.network.instanceAt(r.URL.Host)) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return f.RoundTripper.RoundTrip(r)
}

// failingStore is the store as one instance sees it. It can be made unavailable, except
// its methods Delete and Watch.
type failingStore struct {
	store.Store
	mu          sync.Mutex
	unavailable bool
}

func (s *failingStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

func (s *failingStore) check() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return store.ErrUnavailable
	}
	return nil
}

func (s *failingStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	if err := s.check(); err != nil {
		return store.Object{}, err
	}
	return s.Store.Get(ctx, kind, name)
}

func (s *failingStore) List(ctx context.Context, kind string) ([]store.Object, store.Version, error) {
	if err := s.check(); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, kind)
}

func (s *failingStore) Create(ctx context.Context, obj store.Object) (store.Object, error) {
	if err := s.check(); err != nil {
		return store.Object{}, err
	}
	return s.Store.Create(ctx, obj)
}

func (s *failingStore) Update(ctx context.Context, obj store.Object) (store.Object, error) {
	if err := s.check(); err != nil {
		return store.Object{}, err
	}
	return s.Store.Update(ctx, obj)
}

func (s *failingStore) Instances(ctx context.Context) ([]store.Instance, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	return s.Store.Instances(ctx)
}

// Register and Deregister implement store.Registrar.
func (s *failingStore) Register(ctx context.Context, in store.Instance) error {
	if err := s.check(); err != nil {
		return err
	}
	return s.Store.(store.Registrar).Register(ctx, in)
}

func (s *failingStore) Deregister(ctx context.Context, id string) error {
	if err := s.check(); err != nil {
		return err
	}
	return s.Store.(store.Registrar).Deregister(ctx, id)
}
