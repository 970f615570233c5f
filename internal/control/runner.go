// Package control runs the control core of an instance. One goroutine passes events to
// the core and executes its actions. Calls to the store and to backend servers run in
// their own goroutines, and their results are posted as events.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"github.com/boragegate/boragegate/internal/route"
	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/ownership"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table"
)

const (
	// eventBuffer is the maximum number of queued events.
	eventBuffer = 4096
	// serverTimeout is the timeout of a call to a backend server whose request sets none. The
	// time for which the request asks the server to delay its reply is added to it.
	serverTimeout = 300 * time.Millisecond
	// instanceListInterval is the interval between reads of the instance list in the store.
	instanceListInterval = 2 * time.Second
	// slowStepThreshold is the duration above which a step of the core is logged as slow,
	// because heartbeats wait meanwhile.
	slowStepThreshold = 50 * time.Millisecond
)

// Servers sends requests to backend servers.
type Servers interface {
	Call(ctx context.Context, address string, req ownership.ServerRequest) (ownership.ServerReply, error)
}

// Peers sends messages to other instances. Send does not block.
type Peers interface {
	Send(to ownership.Member, msg ownership.Message)
}

// AdmissionStopper stops the admission of requests for partitions of a target. It calls
// done once no request for them is in flight, possibly before StopAdmission returns. If
// partitions is nil, which stands for the whole target, the gateway stops nothing and calls
// done at once.
type AdmissionStopper interface {
	StopAdmission(target string, term uint64, partitions []int, done func())
}

// LogEntryFunc handles the entries that the core creates for the log and the audit trail.
type LogEntryFunc func(entry ownership.LogEntry)

// Config holds the dependencies and settings of a Runner.
type Config struct {
	Core             ownership.Config
	Store            store.Store
	Servers          Servers
	Peers            Peers
	AdmissionStopper AdmissionStopper
	Routes           *route.AtomicSnapshot
	OnLogEntry       LogEntryFunc
	Logger           zerolog.Logger
	// StoreTimeout is the timeout of an action of the core on the store, and of a read
	// of the instance list.
	StoreTimeout time.Duration
}

// Runner runs the control core of one instance. Its exported methods are safe for
// concurrent use.
type Runner struct {
	cfg       Config
	core      *ownership.Core
	startedAt time.Time
	events    chan ownership.Event

	t       tomb.Tomb
	stopped chan struct{}

	contactExpiry atomic.Int64 // a lease.Instant, up to which this instance is in contact
	leases        sync.Map     // last ownership.ExtendLease by target ID
	view          atomic.Pointer[ownership.View]
	table         atomic.Pointer[table.Table]
	serving       atomic.Pointer[ServingState]
	republish     chan struct{} // receives a value when serving has changed
}

// ServingState says whether the instance accepts requests, and the reason if it does not.
type ServingState struct {
	Serving bool
	Reason  string
}

// New returns a runner that has not started.
func New(cfg Config) *Runner {
	r := &Runner{
		cfg:       cfg,
		core:      ownership.New(cfg.Core),
		startedAt: time.Now(),
		events:    make(chan ownership.Event, eventBuffer),
		stopped:   make(chan struct{}),
		republish: make(chan struct{}, 1),
	}
	r.serving.Store(&ServingState{Reason: "starting"})
	r.view.Store(&ownership.View{})
	return r
}

// Start starts the control loop and the reads of the instance list.
func (r *Runner) Start() {
	r.t.Go(func() error {
		r.t.Go(r.loop)
		r.t.Go(r.listInstances)
		return nil
	})
}

// Close stops the control loop without a handover and waits until it has ended. The runner
// must have been started.
func (r *Runner) Close() error {
	r.t.Kill(nil)
	return r.t.Wait()
}

// HandOver asks the core to hand over all targets that this instance controls. It waits
// until the core has stopped, and returns an error if ctx ends or the runner is closed
// before that.
func (r *Runner) HandOver(ctx context.Context) error {
	r.Post(ownership.StopRequested{})
	select {
	case <-r.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.t.Dying():
		return tomb.ErrDying
	}
}

// Post queues an event for the core. It blocks while the queue is full, and drops the
// event if the runner is closed.
func (r *Runner) Post(ev ownership.Event) {
	select {
	case r.events <- ev:
	case <-r.t.Dying():
	}
}

// SetTable passes to the core a table version that the instance has adopted.
func (r *Runner) SetTable(t *table.Table) {
	r.table.Store(t)
	r.Post(ownership.TableObserved{Table: t})
}

// SetServing sets whether the instance accepts requests, and the reason if it does not. The
// control loop then publishes a routing snapshot with the new state.
func (r *Runner) SetServing(serving bool, reason string) {
	r.serving.Store(&ServingState{Serving: serving, Reason: reason})
	select {
	case r.republish <- struct{}{}:
	default:
	}
}

// View returns the last view that the core published. It is empty before the first one.
func (r *Runner) View() *ownership.View { return r.view.Load() }

func (r *Runner) now() lease.Instant { return time.Since(r.startedAt) }

func (r *Runner) loop() error {
	ticker := time.NewTicker(r.cfg.Core.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case ev := <-r.events:
			r.step(ev)
		case <-ticker.C:
			r.step(ownership.Tick{})
		case <-r.republish:
			r.publish(r.View())
		case <-r.t.Dying():
			return nil
		}
	}
}

func (r *Runner) step(ev ownership.Event) {
	begin := r.now()
	for _, a := range r.core.Step(begin, ev) {
		r.execute(a)
	}
	if d := r.now() - begin; d > slowStepThreshold {
		r.cfg.Logger.Warn().Str("event", "control.slow_step").Dur("duration", d).Send()
	}
}

func (r *Runner) listInstances() error {
	ticker := time.NewTicker(instanceListInterval)
	defer ticker.Stop()
	for {
		ctx, cancel := context.WithTimeout(r.t.Context(nil), r.cfg.StoreTimeout) //nolint:staticcheck // tomb takes nil for its own context
		list, err := r.cfg.Store.Instances(ctx)
		cancel()
		if err == nil {
			r.Post(ownership.InstancesListed{Instances: list})
		}
		select {
		case <-ticker.C:
		case <-r.t.Dying():
			return nil
		}
	}
}
