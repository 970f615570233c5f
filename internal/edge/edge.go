// Package edge implements an entry instance that forwards requests directly to backend
// servers (targets). A target of a partitioned service serves only keys on which it holds a
// lease, and checks that itself. The platform's store holds the state that all instances
// agree on. The ownership record in it names the leader and the holders of all keys. The
// leader grants leases to targets, and sends the contents of the store in state updates to
// the other instances, its followers, so that the store gets few calls. A link is the
// connection of a follower to the leader. A lease request is a grant or a release that the
// leader sends to a target.
//
// A single goroutine, the control loop, owns the instance's view of configuration,
// targets, ownership and leader. The goroutines that serve requests read that view from
// state that they share with it.
package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/internal/deployment"
	"github.com/boragegate/boragegate/internal/ingress"
	"github.com/boragegate/boragegate/internal/logging"
	"github.com/boragegate/boragegate/internal/metrics"
	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/internal/upstream"
	"github.com/boragegate/boragegate/ownership/election"
	"github.com/boragegate/boragegate/ownership/rangelease"
	"github.com/boragegate/boragegate/routing"
)

const (
	// defaultInstances is the number of instances by which shared limits are divided until
	// the actual number is known.
	defaultInstances = 8
	// readinessDelay is the time after SIGTERM for which new connections may still arrive:
	// the load balancer probes readiness once a second and needs two failures.
	readinessDelay = 2500 * time.Millisecond
	// rejectAfterFraction is the fraction of the grace period after which a stopping
	// instance rejects new requests, so that those in flight can finish.
	rejectAfterFraction = 0.5
	// stopReserve is the part of the grace period that is kept for closing: waiting for
	// requests in flight ends this long before the grace period does.
	stopReserve = 300 * time.Millisecond
	// closeTimeout bounds the wait for responses to the requests that were read last.
	closeTimeout = 200 * time.Millisecond
	// resignTimeout bounds the wait until the followers of a leader that ends have been told. It and
	// closeTimeout fit into stopReserve.
	resignTimeout      = 50 * time.Millisecond
	resignPollInterval = 2 * time.Millisecond
	// drainPollInterval is the interval at which a stopping instance checks for requests in
	// flight.
	drainPollInterval = 20 * time.Millisecond
	// adminHTTPTimeout bounds requests for readiness and metrics.
	adminHTTPTimeout = 2 * time.Second
	// reservedDescriptors is the number of file descriptors that callers' connections leave
	// free for targets, other instances, the store and files.
	reservedDescriptors = 800
	// activationMargin is the time that an instance without a leader needs to read a change
	// from the store and activate it, including the random delays that spread the
	// instances.
	activationMargin = 600 * time.Millisecond
	// reloadInterval is the interval at which the settings are read again, because they
	// may change without a signal.
	reloadInterval = 2 * time.Second
)

// Instance is an entry instance: it serves callers, and takes part in leader election and
// in the distribution of configuration, targets and holders of keys among all instances.
type Instance struct {
	t              tomb.Tomb
	platform       deployment.Platform
	settings       *deployment.Settings
	log            *logging.Log
	metrics        *instanceMetrics
	shared         *sharedState
	control        *controlLoop
	client         *upstream.Client
	ingress        *ingress.Server
	servers        []*http.Server
	callerListener net.Listener
	peerListener   net.Listener
	stopping       chan struct{}
	// gracePeriod is the time between SIGTERM and SIGKILL, as a time.Duration.
	gracePeriod atomic.Int64
	// rejecting is set if all new requests are rejected.
	rejecting atomic.Bool
	// stopDeadline is the time at which the requests in flight are cut, nil before Stop.
	stopDeadline atomic.Pointer[time.Time]
}

// New returns an instance that has not been started. It fails if the platform's store
// cannot be opened. onLogLost registers a function that is called for each log line that
// was dropped.
func New(p deployment.Platform, s *deployment.Settings, log *logging.Log, onLogLost func(func())) (*Instance, error) {
	objects, err := p.OpenStore()
	if err != nil {
		return nil, err
	}
	i := &Instance{platform: p, settings: s, log: log, metrics: newInstanceMetrics(), stopping: make(chan struct{})}
	i.gracePeriod.Store(int64(s.GracePeriod))
	onLogLost(func() { i.metrics.logLinesLost.Inc(1) })
	options := electionOptions(s)
	i.shared = newSharedState(s.Zone, options.WatchDelay, dispatch.RetryBudget{
		Ratio: s.Retries.Ratio, MinRetries: float64(s.Retries.Slack) / defaultInstances, Window: s.Retries.Window,
	}, s.Policy)
	i.client = &upstream.Client{
		IDHeader: p.Headers().RequestID, MaxConnections: i.maxConnections, OnDial: func() { i.metrics.targetConnections.Inc(1) },
		OnMemoryExhausted: func() { i.metrics.unbufferedBodies.Inc(1) },
	}
	f := &forwarder{shared: i.shared, client: i.client, platform: p, headers: p.Headers(), log: log, metrics: i.metrics, rejecting: &i.rejecting, stopDeadline: &i.stopDeadline}
	i.ingress = &ingress.Server{
		Handler: f.handle, Limits: i.limits, MustStartInOrder: i.mustNotPipeline, MayBreakOff: i.hasLargeResponse,
		OnAbort: func(reason string, unanswered int) {
			i.metrics.abortedConnections.Inc(1)
			log.Info().Str("event", "caller.connection_ended").Str("reason", reason).Int("unanswered", unanswered).Send()
		},
	}
	if s.MaxOpenFiles > reservedDescriptors {
		i.ingress.MaxConnections = s.MaxOpenFiles - reservedDescriptors
	}
	i.limitMemory(s.MemoryBytes)
	i.control = &controlLoop{
		platform: p, store: objects, shared: i.shared, client: i.client, log: log.Logger, metrics: i.metrics,
		self: rangelease.InstanceInfo{
			ID: s.Instance, Incarnation: time.Now().UnixMilli(), Address: s.PeerAddress, Strength: strength(s),
		},
		minRetries: float64(s.Retries.Slack), maxLeaseDuration: s.MaxLeaseDuration, events: make(chan func(), 256), urgent: make(chan func(), 64),
		targets: newTargetList(), leaving: newLeavingTargets(), evacuations: newZoneEvacuations(p, s.EvacuationTimeout), owners: map[string][]routing.Owner{}, watches: map[string]context.CancelFunc{},
	}
	i.control.observeEra()
	i.control.elector = election.New(options, socket.BootTime(), i.control.self, rand.Float64)
	return i, nil
}

// electionOptions returns the defaults, adapted to the times within which the platform
// requires changes and evacuations to be active.
func electionOptions(s *deployment.Settings) election.Options {
	o := election.DefaultOptions
	if s.ConfigApplyTimeout > 0 {
		o.WatchDelay = max(s.ConfigApplyTimeout-activationMargin, activationMargin)
	}
	if s.EvacuationTimeout > 0 { // the rest is for reading the evacuations and for requests that are on their way
		o.WatchDelay = min(o.WatchDelay, max(s.EvacuationTimeout/2, activationMargin))
	}
	o.CandidateWatchDelay = min(o.CandidateWatchDelay, o.WatchDelay)
	return o
}

// maxConnections returns this instance's share of the connections that a target accepts,
// or 0 if they are unlimited. Callers are spread unevenly over the instances, so it is
// twice the even share, and at least 4.
func (i *Instance) maxConnections(service string) int {
	config := i.shared.config.Load()
	if config == nil {
		return 0
	}
	n := config.Services[service].MaxConnections
	if n <= 0 {
		return 0
	}
	return max(2*n/int(i.shared.instances.Load()), 4)
}

// limits returns the limits of the configuration, with defaults for those that it doesn't
// set.
func (i *Instance) limits() ingress.Limits {
	config := i.shared.config.Load()
	if config == nil {
		return ingress.DefaultLimits
	}
	configured, effective := config.Limits, ingress.DefaultLimits
	if configured.HeaderBytes > 0 {
		effective.HeaderBytes = configured.HeaderBytes
	}
	if configured.BodyBytes > 0 {
		effective.BodyBytes = configured.BodyBytes
	}
	if configured.HeaderTimeout > 0 {
		effective.HeaderTimeout = configured.HeaderTimeout
	}
	if configured.IdleTimeout > 0 {
		effective.IdleTimeout = configured.IdleTimeout
	}
	return effective
}

// mustNotPipeline reports whether a request may start only when the earlier requests on
// its connection are answered. This applies to requests that must not be retried, and to
// requests without a known route, because it is not known whether they may be.
func (i *Instance) mustNotPipeline(r *http.Request) bool {
	config := i.shared.config.Load()
	if config == nil {
		return true
	}
	route := matchRoute(config, r)
	return route == nil || !route.Kind.IsIdempotent()
}

// hasLargeResponse reports whether the response to a request is usually large, so that it may be streamed.
func (i *Instance) hasLargeResponse(r *http.Request) bool {
	config := i.shared.config.Load()
	if config == nil {
		return false
	}
	route := matchRoute(config, r)
	return route != nil && route.Kind == routing.Bulk
}

// Start opens the listeners and begins to serve. It returns an error if an address cannot
// be bound.
func (i *Instance) Start() error {
	var err error
	if i.callerListener, err = listenForCallers(i.settings.CallerAddress); err != nil {
		return err
	}
	if i.peerListener, err = net.Listen("tcp", i.settings.PeerAddress); err != nil {
		return err
	}
	readinessRouter := bunrouter.New()
	readinessRouter.GET(i.platform.ReadinessPath(), i.serveReadiness)
	if err := i.serveHTTP(i.settings.ReadinessAddress, readinessRouter); err != nil {
		return err
	}
	metricsRouter := bunrouter.New()
	metricsRouter.GET("/metrics", i.serveMetrics)
	if err := i.serveHTTP(i.settings.MetricsAddress, metricsRouter); err != nil {
		return err
	}
	i.control.t.Go(func() error {
		i.control.t.Go(func() error { return i.control.acceptPeers(i.peerListener) })
		return i.control.run()
	})
	i.t.Go(func() error { return i.ingress.Serve(i.callerListener) })
	i.t.Go(i.watchSettings)
	i.log.Info().Str("event", "instance.started").Str("instance", i.settings.Instance).Str("zone", i.settings.Zone).
		Str("caller_address", i.settings.CallerAddress).Str("peer_address", i.settings.PeerAddress).
		Int64("incarnation", i.control.self.Incarnation).Send()
	return nil
}

func (i *Instance) serveHTTP(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadTimeout: adminHTTPTimeout, WriteTimeout: adminHTTPTimeout, IdleTimeout: 5 * adminHTTPTimeout}
	i.servers = append(i.servers, s)
	i.t.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

func (i *Instance) serveReadiness(w http.ResponseWriter, _ bunrouter.Request) error {
	select {
	case <-i.stopping:
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil
	default:
	}
	if !i.control.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil
	}
	w.WriteHeader(http.StatusOK)
	return nil
}

func (i *Instance) serveMetrics(w http.ResponseWriter, _ bunrouter.Request) error {
	w.Header().Set("Content-Type", metrics.ContentType)
	return metrics.Write(w, i.metrics.registry)
}

// watchSettings reads the settings every reloadInterval and on SIGHUP until the instance
// stops, and applies a changed grace period or retry slack. Changes of other settings take
// effect only at the next start.
func (i *Instance) watchSettings() error {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	current := *i.settings
	for {
		signalled := false
		select {
		case <-i.t.Dying():
			return nil
		case <-sighup:
			signalled = true
		case <-ticker.C:
		}
		s, err := i.platform.Settings()
		if err == nil {
			s.Policy = current.Policy // set by the command line
		}
		switch {
		case err != nil:
			i.log.Warn().Str("event", "settings.unreadable").Bool("signalled", signalled).Err(err).Send()
		case !reflect.DeepEqual(*s, current):
			current = *s
			i.gracePeriod.Store(int64(s.GracePeriod))
			slack := float64(s.Retries.Slack)
			i.control.post(func() { i.control.minRetries = slack })
			i.log.Info().Str("event", "settings.changed").Bool("signalled", signalled).Dur("grace_period_ms", s.GracePeriod).Float64("retry_slack", slack).Send()
		case signalled:
			i.log.Info().Str("event", "settings.unchanged").Send()
		}
	}
}

// Stop takes the instance out of service: it reports not ready, names a successor if it is
// the leader, waits for requests in flight until shortly before the end of the grace period
// or until ctx is cancelled, and closes. From the start it rejects requests that must not be
// repeated and could last until then, because callers cannot repeat them after they are cut.
// After rejectAfterFraction of the grace period it rejects all new requests. It returns the
// errors of closing. It must be called at most once, after Start has succeeded.
func (i *Instance) Stop(ctx context.Context) error {
	started, grace := time.Now(), time.Duration(i.gracePeriod.Load())
	i.log.Info().Str("event", "instance.stopping").Int("requests", i.ingress.InFlight()).Int("connections", i.ingress.Connections()).Send()
	deadline := started.Add(grace - stopReserve)
	i.stopDeadline.Store(&deadline)
	close(i.stopping)
	i.control.post(func() {
		i.control.stopping = true
		if i.control.leadership != nil {
			i.control.leadership.nameSuccessor()
		}
	})
	i.ingress.Drain()
	rejectTimer := time.AfterFunc(time.Duration(rejectAfterFraction*float64(grace)), func() { i.rejecting.Store(true) })
	defer rejectTimer.Stop()
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if (time.Since(started) > readinessDelay || i.rejecting.Load()) && i.ingress.InFlight() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	return i.close()
}

// resign tells the followers, if this instance leads, that it grants no more leases. It returns when
// they have been told, or after resignTimeout.
func (i *Instance) resign() {
	told := make(chan []*follower, 1)
	i.control.t.Go(func() error { // the control loop may be busy for longer than resignTimeout
		i.control.post(func() { told <- i.control.resign() })
		return nil
	})
	deadline := time.Now().Add(resignTimeout)
	var followers []*follower
	select {
	case followers = <-told:
	case <-time.After(resignTimeout):
	}
	isOpen := func(f *follower) bool { return !f.closed.Load() }
	for slices.ContainsFunc(followers, isOpen) && time.Now().Before(deadline) {
		time.Sleep(resignPollInterval)
	}
}

func (i *Instance) close() error {
	i.rejecting.Store(true)
	i.resign()
	i.control.t.Kill(nil)
	errs := []error{i.callerListener.Close(), i.peerListener.Close()}
	// Requests that were read before this point are still answered.
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	i.ingress.Shutdown(ctx)
	cancel()
	i.log.Info().Str("event", "instance.stopped").Int("requests_cut", i.ingress.InFlight()).Send()
	i.ingress.Close()
	errs = append(errs, i.control.t.Wait())
	for _, s := range i.servers {
		errs = append(errs, s.Close())
	}
	i.t.Kill(nil)
	errs = append(errs, i.t.Wait())
	i.client.RetainTargets(nil) // closes the idle connections to all targets
	return errors.Join(errs...)
}
