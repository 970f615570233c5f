// Package daemon assembles an instance from its listeners, gateway, peer transport,
// control loop and table syncer. It starts the instance, stops it gracefully or kills it.
package daemon

import (
	"cmp"
	"context"
	"crypto/sha256"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"github.com/boragegate/boragegate/idempotency"
	"github.com/boragegate/boragegate/internal/audit"
	"github.com/boragegate/boragegate/internal/backend"
	"github.com/boragegate/boragegate/internal/control"
	"github.com/boragegate/boragegate/internal/gateway"
	"github.com/boragegate/boragegate/internal/logging"
	"github.com/boragegate/boragegate/internal/mtls"
	"github.com/boragegate/boragegate/internal/operator"
	"github.com/boragegate/boragegate/internal/peer"
	"github.com/boragegate/boragegate/internal/route"
	"github.com/boragegate/boragegate/internal/standard"
	"github.com/boragegate/boragegate/internal/tablesync"
	"github.com/boragegate/boragegate/ownership"
	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table"
	"github.com/boragegate/boragegate/table/tablestore"
)

const (
	maxHeaderBytes = 64 << 10
	// healthCheckInterval is the interval between health checks of a target whose server
	// does not check grants.
	healthCheckInterval = time.Second
	// healthCheckTimeout is the timeout of one health check.
	healthCheckTimeout = 500 * time.Millisecond
	// servingInterval is the interval between checks of whether the instance may accept requests.
	servingInterval = 100 * time.Millisecond
	// loadInterval is the interval between load reports to the planner.
	loadInterval = 10 * time.Second
)

// Addresses holds the host:port of each listener of an instance.
type Addresses struct{ Caller, Peer, Forward, Operator string }

// Options holds the settings and dependencies of an instance.
type Options struct {
	// Cell is the name of the cell that the instance joins, see package ownership.
	ID, Zone, Cell string
	// Listen holds the addresses to listen on; port 0 selects a free port.
	Listen Addresses
	// Advertise holds the addresses that other instances connect to. Only Peer and Forward
	// are used; an empty one defaults to the address of the open listener.
	Advertise Addresses
	Store     store.Store
	// Plain disables TLS and authentication between instances; otherwise InternalTLS is
	// required.
	Plain       bool
	InternalTLS mtls.Files
	// CallerTLS and OperatorTLS enable TLS on the listeners for callers and operators.
	// If they name a certificate authority, clients must present a certificate signed by it.
	CallerTLS, OperatorTLS mtls.Files
	// Policy creates the placement policy of each service.
	Policy standard.PolicyFactory
	// BalancerDelay is the time that a graceful stop gives the load balancer to notice
	// that the readiness check fails, before targets are handed over.
	BalancerDelay time.Duration
	// Timeouts holds time limits; zero fields get the defaults of the settings.
	Timeouts Timeouts
	Logger   zerolog.Logger
	// RecentEvents holds the most recent log events for the operator API; if nil, the API
	// reports none.
	RecentEvents *logging.RecentEvents
	// Release is the version of the program.
	Release string
	// Operators maps the SHA-256 of each operator's token to the operator's name.
	Operators map[[sha256.Size]byte]string
	// KnownZones lists the zones that the table may name; nil accepts every zone.
	KnownZones []string

	transportWrappers transportWrappers
}

// transportWrappers wraps the clients with which an instance reaches other instances and
// backend servers, so that tests can isolate it. A nil function leaves its client unwrapped.
type transportWrappers struct {
	peers   func(control.Peers) control.Peers
	servers func(control.Servers) control.Servers
	forward func(http.RoundTripper) http.RoundTripper
}

// wrap returns f(v), or v if f is nil.
func wrap[T any](f func(T) T, v T) T {
	if f == nil {
		return v
	}
	return f(v)
}

// Timeouts holds the time limits of an instance.
type Timeouts struct {
	// Store is the timeout of a call to the store. Default 2 s.
	Store time.Duration
	// ReadHeader is the timeout for reading the header of a request. Default 5 s.
	ReadHeader time.Duration
	// Idle is the time after which an idle connection is closed. Default 1 min.
	Idle time.Duration
	// ClockSkew is the maximum allowed difference between the clocks of callers and
	// instances. Default 2 s.
	ClockSkew time.Duration
	// IdempotencyRetention is the time for which idempotency records are kept. Default 1 h.
	IdempotencyRetention time.Duration
}

func (t *Timeouts) setDefaults() {
	t.Store = cmp.Or(t.Store, 2*time.Second)
	t.ReadHeader = cmp.Or(t.ReadHeader, 5*time.Second)
	t.Idle = cmp.Or(t.Idle, time.Minute)
	t.ClockSkew = cmp.Or(t.ClockSkew, 2*time.Second)
	t.IdempotencyRetention = cmp.Or(t.IdempotencyRetention, time.Hour)
}

// Instance is one running instance of boragegate.
type Instance struct {
	opts    Options
	logger  zerolog.Logger
	metrics metrics.Registry
	store   store.Store // opts.Store with metrics

	routes      route.AtomicSnapshot
	gateway     *gateway.Gateway
	peers       *peer.Transport
	runner      *control.Runner
	tableSyncer *tablesync.Syncer
	servers     *backend.Client // calls the backend servers
	internalTLS *mtls.Material  // nil without TLS, as are callerTLS and operatorTLS

	callerTLS   *mtls.Material
	operatorTLS *mtls.Material

	listeners listeners
	tables    *tablestore.Tables
	trail     *audit.Trail
	started   time.Time
	// incarnation distinguishes this process from earlier processes with the same ID.
	incarnation string

	t           tomb.Tomb
	stopping    atomic.Bool
	targetLoads atomic.Pointer[map[string]float64] // by target ID, from the last load report
}

// New creates an instance and opens its listeners. The instance handles no requests before
// Start.
func New(o Options) (*Instance, error) {
	o.Timeouts.setDefaults()
	i := &Instance{opts: o, metrics: metrics.NewRegistry(), servers: backend.New(), started: time.Now(), incarnation: uuid.NewString()}
	i.store = instrumentedStore{o.Store, i.metrics}
	i.logger = o.Logger.With().Str("instance", o.ID).Logger()
	if err := i.open(); err != nil {
		i.listeners.close()
		return nil, err
	}
	if err := i.assemble(); err != nil {
		i.listeners.close()
		return nil, err
	}
	return i, nil
}

// open loads the TLS files and opens the listeners, so that their addresses are known.
func (i *Instance) open() error {
	for material, files := range map[**mtls.Material]mtls.Files{
		&i.internalTLS: i.opts.InternalTLS, &i.callerTLS: i.opts.CallerTLS, &i.operatorTLS: i.opts.OperatorTLS,
	} {
		if files == (mtls.Files{}) {
			continue
		}
		var err error
		if *material, err = mtls.Load(files); err != nil {
			return err
		}
	}
	if err := i.listeners.open(i.opts.Listen); err != nil {
		return err
	}
	var err error
	i.peers, err = peer.New(peer.Config{
		Self: i.opts.ID, Cell: i.opts.Cell, ListenAddress: i.opts.Listen.Peer, Incarnation: i.incarnation,
		Plain: i.opts.Plain, TLS: i.opts.InternalTLS,
		Deliver: i.deliver, Logger: i.logger, Metrics: i.metrics,
	})
	return err
}

func (i *Instance) assemble() error {
	var err error
	cfg := ownership.DefaultConfig()
	cfg.Cell = i.opts.Cell
	cfg.Incarnation = i.incarnation
	i.trail, err = audit.New(audit.Config{
		Store: i.store, TrailName: i.opts.Cell, Instance: i.opts.ID, Incarnation: cfg.Incarnation,
		Logger: i.logger, Metrics: i.metrics,
	})
	if err != nil {
		return err
	}
	cfg.Self = i.self()
	cfg.NewPolicy = func(string) placement.Policy { return i.opts.Policy.NewPolicy() }
	peers := wrap[control.Peers](i.opts.transportWrappers.peers, i.peers)
	i.runner = control.New(control.Config{
		Core: cfg, Store: i.store, Servers: wrap[control.Servers](i.opts.transportWrappers.servers, i.servers), Peers: peers,
		AdmissionStopper: admissionStopper{i}, Routes: &i.routes, OnLogEntry: i.recordLogEntry, Logger: i.logger,
		StoreTimeout: i.opts.Timeouts.Store,
	})
	i.gateway = gateway.New(gateway.Config{
		Self: i.opts.ID, Zone: i.opts.Zone, Routes: &i.routes, Authority: authority{i.runner, i},
		ForwardTransport: wrap(i.opts.transportWrappers.forward, i.forwardTransport()), ForwardScheme: i.forwardScheme(),
		Logger: i.logger, Metrics: i.metrics,
		Idempotency: idempotency.Config{Skew: i.opts.Timeouts.ClockSkew, Retention: i.opts.Timeouts.IdempotencyRetention},
	})
	i.tableSyncer = tablesync.New(tablesync.Config{
		Self: i.opts.ID, Store: i.store, Peers: peers, Members: i.members,
		Activate: func(t *table.Table) { i.runner.SetTable(t) }, Logger: i.logger,
		ReadTimeout: i.opts.Timeouts.Store, ControlledTargets: i.targetStatuses,
	})
	i.tables = tablestore.New(i.store, tablestore.Options{Announcer: announcer{i}, Zones: i.opts.KnownZones})
	return nil
}

// authority implements route.Authority. The embedded Runner decides to which targets and
// partitions this instance may send requests. MayServe depends on the confirmation of the
// table version and on the contact with the cell, see servingReason.
type authority struct {
	*control.Runner
	instance *Instance
}

// MayServe implements route.Authority.
func (a authority) MayServe() bool { return a.instance.servingReason() == "" }

// admissionStopper lets the control loop stop the admission of requests at the gateway.
type admissionStopper struct{ instance *Instance }

func (a admissionStopper) StopAdmission(target string, term uint64, partitions []int, done func()) {
	a.instance.gateway.StopAdmission(target, term, partitions, done)
}

func (i *Instance) self() ownership.Member {
	return ownership.Member{
		ID:             i.opts.ID,
		Zone:           i.opts.Zone,
		PeerAddress:    firstNonEmpty(i.opts.Advertise.Peer, i.peers.Addr().String()),
		ForwardAddress: firstNonEmpty(i.opts.Advertise.Forward, i.listeners.forward.Addr().String()),
	}
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func (i *Instance) members() []ownership.Member {
	if c := i.runner.View().Cell; c != nil {
		return c.Members
	}
	return nil
}

// deliver handles a message from a peer. Before the control loop exists and once the
// instance is being terminated, messages are dropped, as if the process were not running.
func (i *Instance) deliver(from string, msg ownership.Message) {
	if !i.t.Alive() || i.runner == nil {
		return
	}
	if !i.tableSyncer.Receive(from, msg) {
		i.runner.Post(ownership.MessageReceived{From: from, Message: msg})
	}
}

// Start registers the instance in the store and starts the goroutines that join the cell
// and serve requests. It does not wait until the instance is ready. If the registration
// fails, Start logs the error and continues.
func (i *Instance) Start(ctx context.Context) error {
	if r, ok := i.opts.Store.(store.Registrar); ok {
		m := i.self()
		in := store.Instance{ID: m.ID, Zone: m.Zone, State: store.InstanceLive, PeerAddress: m.PeerAddress, ForwardAddress: m.ForwardAddress}
		if err := r.Register(ctx, in); err != nil {
			i.logger.Warn().Str("event", "instance.register_failed").Err(err).Send()
		}
	}
	i.runner.Start()
	i.tableSyncer.Start()
	i.t.Go(func() error {
		i.t.Go(i.watchServing)
		i.t.Go(i.runHealthChecks)
		i.t.Go(i.reportLoad)
		i.t.Go(i.takeOverRecords)
		i.t.Go(func() error { return i.trail.Run(&i.t) })
		i.serve(withTLS(i.listeners.caller, i.callerTLS), i.gateway.CallerHandler())
		i.serve(withTLS(i.listeners.operator, i.operatorTLS), i.operatorHandler())
		i.serve(withTLS(i.listeners.forward, i.internalTLS), i.gateway.ForwardHandler())
		return nil
	})
	return nil
}

func (i *Instance) takeOverRecords() error {
	err := i.gateway.Run(i.t.Context(nil)) //nolint:staticcheck // nil selects the context of the tomb itself
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (i *Instance) serve(ln net.Listener, h http.Handler) {
	srv := i.listeners.newServer(h, i.opts.Timeouts)
	i.t.Go(func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

// CallerAddress returns the host:port of the listener for callers.
func (i *Instance) CallerAddress() string { return i.listeners.caller.Addr().String() }

// OperatorAddress returns the host:port of the listener for operators.
func (i *Instance) OperatorAddress() string { return i.listeners.operator.Addr().String() }

// Tables returns the access to the operators' table and its history in the store.
func (i *Instance) Tables() *tablestore.Tables { return i.tables }

func (i *Instance) operatorHandler() http.Handler {
	return operator.New(operator.Options{
		Tables: i.tables, Daemon: i, Registry: i.metrics, Tokens: i.opts.Operators, Zones: i.opts.KnownZones,
	})
}

// View returns the latest view of the control core.
func (i *Instance) View() *ownership.View { return i.runner.View() }

// TableSyncer returns the syncer that keeps the table of this instance up to date.
func (i *Instance) TableSyncer() *tablesync.Syncer { return i.tableSyncer }

// Ready reports whether the load balancer may send requests and, if not, the reason.
// An instance that is stopping is not ready, but still serves the requests that arrive.
func (i *Instance) Ready() (bool, string) {
	if i.stopping.Load() {
		return false, reasonStopping
	}
	s := i.routes.Load()
	return s.Serving, s.Reason
}
