package daemon

import (
	"context"
	"net/http"
	"sync"

	"github.com/boragegate/boragegate/internal/control"
	"github.com/boragegate/boragegate/ownership"
	"github.com/boragegate/boragegate/store"
)

// network drops the traffic between isolated instances and other instances or servers.
// Calls of an isolated instance block until their context ends.
type network struct {
	mu       sync.Mutex
	isolated map[string]bool
	owners   map[string]string // instance ID by forward address
}

func (n *network) isolate(id string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated == nil {
		n.isolated = map[string]bool{}
	}
	n.isolated[id] = cut
}

func (n *network) setOwner(address, id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owners == nil {
		n.owners = map[string]string{}
	}
	n.owners[address] = id
}

func (n *network) cut(ids ...string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range ids {
		if n.isolated[id] {
			return true
		}
	}
	return false
}

func (n *network) ownerOf(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owners[address]
}

func (n *network) edgesOf(id string) edges {
	return edges{
		peers:   func(p control.Peers) control.Peers { return cutPeers{p, n, id} },
		servers: func(s control.Servers) control.Servers { return cutServers{s, n, id} },
		forward: func(t http.RoundTripper) http.RoundTripper { return cutForward{t, n, id} },
	}
}

type cutPeers struct {
	control.Peers
	network *network
	self    string
}

func (p cutPeers) Send(to ownership.Member, msg ownership.Message) {
	if !p.network.cut(p.self, to.ID) {
		p.Peers.Send(to, msg)
	}
}

type cutServers struct {
	control.Servers
	network *network
	self    string
}

func (s cutServers) Call(ctx context.Context, address string, req ownership.ServerRequest) (ownership.ServerReply, error) {
	if s.network.cut(s.self) {
		<-ctx.Done()
		return ownership.ServerReply{}, ctx.Err()
	}
	reply, err := s.Servers.Call(ctx, address, req)
	if s.network.cut(s.self) {
		<-ctx.Done()
		return ownership.ServerReply{}, ctx.Err()
	}
	return reply, err
}

type cutForward struct {
	http.RoundTripper
	network *network
	self    string
}

func (f cutForward) RoundTrip(r *http.Request) (*http.Response, error) {
	if f.network.cut(f.self, f.network.ownerOf(r.URL.Host)) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return f.RoundTripper.RoundTrip(r)
}

// cutStore is the store as one instance sees it; it can be made unavailable.
type cutStore struct {
	store.Store
	mu sync.Mutex
	is bool
}

func (s *cutStore) cut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.is = cut
}

func (s *cutStore) check() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.is {
		return store.ErrUnavailable
	}
	return nil
}

func (s *cutStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	if err := s.check(); err != nil {
		return store.Object{}, err
	}
	return s.Store.Get(ctx, kind, name)
}

func (s *cutStore) List(ctx context.Context, kind string) ([]store.Object, store.Version, error) {
	if err := s.check(); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, kind)
}

func (s *cutStore) Create(ctx context.Context, obj store.Object) (store.Object, error) {
	if err := s.check(); err != nil {
		return store.Object{}, err
	}
	return s.Store.Create(ctx, obj)
}

func (s *cutStore) Update(ctx context.Context, obj store.Object) (store.Object, error) {
	if err := s.check(); err != nil {
		return store.Object{}, err
	}
	return s.Store.Update(ctx, obj)
}

func (s *cutStore) Instances(ctx context.Context) ([]store.Instance, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	return s.Store.Instances(ctx)
}

// Register and Deregister implement store.Registrar.
func (s *cutStore) Register(ctx context.Context, in store.Instance) error {
	if err := s.check(); err != nil {
		return err
	}
	return s.Store.(store.Registrar).Register(ctx, in)
}

func (s *cutStore) Deregister(ctx context.Context, id string) error {
	if err := s.check(); err != nil {
		return err
	}
	return s.Store.(store.Registrar).Deregister(ctx, id)
}
