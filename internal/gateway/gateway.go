// Package gateway implements the request path of an instance. The caller handler
// resolves the partition and the target of a request from the current route
// snapshot. All requests to a target go through one instance, the target's
// controller. The caller handler forwards the request to the controller or, if
// that is this instance, admits it and sends it to the backend server. The forward
// handler serves requests from other instances.
//
// The state of a Gateway is, for each target that this instance controls, an
// admission gate, the requests in flight, the idempotency records and a
// connection pool, and for each service a retry budget. Handlers run on the
// goroutines of net/http; the state is guarded by mutexes.
package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/boragegate/boragegate/idempotency"
	"github.com/boragegate/boragegate/internal/httpwire"
	"github.com/boragegate/boragegate/internal/route"
)

// Default values for the fields of Config, and the timeout of Dial.
const (
	DefaultHandoverTimeout = 2 * time.Second
	DefaultMaxRequestTime  = 30 * time.Second
	DefaultMaxWaiting      = 4096    // requests
	DefaultMaxBody         = 1 << 30 // bytes
	DefaultMaxBodyMemory   = 256 << 20
	DefaultDialTimeout     = time.Second
	DefaultStallTimeout    = 30 * time.Second
	DefaultTakeoverTimeout = 500 * time.Millisecond
)

// Config configures a Gateway. Routes and Authority are required.
type Config struct {
	// Self is the ID of this instance.
	Self string
	// Zone is the availability zone of this instance.
	Zone string
	// Routes provides the current route snapshot.
	Routes *route.AtomicSnapshot
	// Authority is checked before each attempt of a request and again immediately
	// before the request is sent to a server.
	Authority route.Authority
	// ForwardTransport sends requests to other instances. It should come from
	// NewTransport. Errors of any other transport are treated as if bytes of the
	// request may have been sent, and such a transport must not retry requests.
	// Default: NewTransport.
	ForwardTransport http.RoundTripper
	// ForwardScheme is "http" or "https". Default "http".
	ForwardScheme string
	// Logger receives debug events about rejected requests and about idempotency
	// records that could not be taken over. Default: no log.
	Logger zerolog.Logger
	// Clock is the source of time. Default: the real clock.
	Clock clockwork.Clock
	// Metrics is the registry for the gateway's metrics. Default: a new registry.
	Metrics metrics.Registry
	// HandoverTimeout limits how long a request waits for another attempt, mostly
	// for its partition to get an owner that can serve it. Default
	// DefaultHandoverTimeout.
	HandoverTimeout time.Duration
	// MaxWaiting limits the number of requests that wait for another attempt at
	// the same time. Default DefaultMaxWaiting.
	MaxWaiting int
	// MaxBody is the maximum size of a request body in bytes. Default
	// DefaultMaxBody.
	MaxBody int64
	// MaxBodyMemory is the maximum memory in bytes for the buffered beginnings of
	// all request bodies together, apart from initialBufferSize of each. When it is
	// used up, a body is streamed, and a request with an idempotency key is
	// rejected. Default DefaultMaxBodyMemory, which 256 requests with the largest
	// body that is buffered reach.
	MaxBodyMemory int64
	// StallTimeout limits the time without progress in reading a request body or
	// writing a response. Default DefaultStallTimeout.
	StallTimeout time.Duration
	// TakeoverTimeout limits how long a new tenure tries to take over the
	// idempotency records of the previous one before it starts without them.
	// Default DefaultTakeoverTimeout.
	TakeoverTimeout time.Duration
	// Idempotency configures the idempotency records of each target.
	Idempotency idempotency.Config
}

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.HandoverTimeout == 0 {
		c.HandoverTimeout = DefaultHandoverTimeout
	}
	if c.MaxWaiting == 0 {
		c.MaxWaiting = DefaultMaxWaiting
	}
	if c.MaxBody == 0 {
		c.MaxBody = DefaultMaxBody
	}
	if c.MaxBodyMemory == 0 {
		c.MaxBodyMemory = DefaultMaxBodyMemory
	}
	if c.StallTimeout == 0 {
		c.StallTimeout = DefaultStallTimeout
	}
	if c.TakeoverTimeout == 0 {
		c.TakeoverTimeout = DefaultTakeoverTimeout
	}
	if c.ForwardScheme == "" {
		c.ForwardScheme = "http"
	}
	if c.ForwardTransport == nil {
		c.ForwardTransport = NewTransport(maxIdleForwardConns)
	}
	return c
}

// Gateway serves requests from callers and from other instances. It is safe for
// concurrent use.
type Gateway struct {
	cfg             Config
	clock           clockwork.Clock
	probe           DialFunc     // checks whether the host of an earlier controller responds
	waitingRequests atomic.Int64 // requests that wait for another attempt
	activeRequests  activeRequests
	bodyMemory      httpwire.ReservedMemory

	targets      targets
	retryBudgets retryBudgets
	tenures      tenures

	statistics       statistics
	candidateCache   candidateCache
	metricsByService metricsByService
}

// New returns a gateway with the given configuration. Its gauges are registered
// in cfg.Metrics.
func New(cfg Config) *Gateway {
	cfg = cfg.withDefaults()
	g := &Gateway{cfg: cfg, clock: cfg.Clock, probe: Dial}
	g.targets.gateway = g
	g.tenures.gateway = g
	g.registerGauges()
	return g
}

// CallerHandler returns the handler for requests from callers.
func (g *Gateway) CallerHandler() http.Handler { return http.HandlerFunc(g.serveCaller) }

// ForwardHandler returns the handler for requests from other instances. Its
// listener must authenticate them.
func (g *Gateway) ForwardHandler() http.Handler { return http.HandlerFunc(g.serveForward) }
