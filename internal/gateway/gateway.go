// Package gateway is the request path of an instance. The caller handler finds
// the partition and the target of a request in the current route snapshot and
// either forwards the request to the instance in front of the target or, if
// that is this instance, admits it and sends it to the backend server. The
// forward handler takes requests from other instances.
//
// State: per target that this instance controls, a gate, the requests in flight
// and a connection pool; the retry budgets. Handlers run on the goroutines of
// net/http; the state is guarded by mutexes.
package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/boragegate/boragegate/idempotency"
	"github.com/boragegate/boragegate/internal/route"
)

// Defaults of Config.
const (
	DefaultHandoverTimeout = 2 * time.Second
	DefaultMaxRequestTime  = 30 * time.Second
	DefaultMaxWaiting      = 4096
	DefaultMaxBody         = 1 << 30
	DefaultDialTimeout     = time.Second
	DefaultStallTimeout    = 30 * time.Second
	DefaultTakeoverTimeout = 500 * time.Millisecond
)

// Config holds what a Gateway needs. Routes and Authority are required.
type Config struct {
	// Self is the ID of this instance.
	Self string
	// Zone is the availability zone of this instance.
	Zone string
	// Routes has the current route snapshot.
	Routes *route.AtomicSnapshot
	// Authority is checked before each request to a server.
	Authority route.Authority
	// ForwardTransport sends requests to other instances. It is made by
	// NewTransport; errors of any other kind of transport count as "bytes may
	// have left", and it must not repeat requests. Default: NewTransport.
	ForwardTransport http.RoundTripper
	// ForwardScheme is "http" or "https". Default "http".
	ForwardScheme string
	Logger        zerolog.Logger
	// Clock is the source of time. Default: the real clock.
	Clock clockwork.Clock
	// Metrics receives the metrics. Default: a new registry.
	Metrics metrics.Registry
	// HandoverTimeout is the longest time that a request waits for its partition to
	// get an owner that can serve it. Default DefaultHandoverTimeout.
	HandoverTimeout time.Duration
	// MaxWaiting is the number of requests that wait like this at a time.
	// Default DefaultMaxWaiting.
	MaxWaiting int
	// MaxBody is the largest request body in bytes. Default DefaultMaxBody.
	MaxBody int64
	// StallTimeout is the longest time without progress in reading a request
	// body or writing an answer. Default DefaultStallTimeout.
	StallTimeout time.Duration
	// TakeoverTimeout is the time for which a new tenure waits for the idempotency
	// records of the one before, if it could not take them over. Default DefaultTakeoverTimeout.
	TakeoverTimeout time.Duration
	// Idempotency holds the limits of the idempotency records of each target.
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

// Gateway serves requests. It is safe for concurrent use.
type Gateway struct {
	cfg            Config
	clock          clockwork.Clock
	probe          DialFunc // looks whether the host of an earlier controller responds
	waiting        atomic.Int64
	activeRequests activeRequests

	targets      targets
	retryBudgets retryBudgets
	tenures      tenures

	statistics       statistics
	candidateCache   candidateCache
	metricsByService metricsByService
}

// New returns a gateway.
func New(cfg Config) *Gateway {
	cfg = cfg.withDefaults()
	g := &Gateway{cfg: cfg, clock: cfg.Clock, probe: Dial}
	g.targets.gateway = g
	g.tenures.gateway = g
	g.registerGauges()
	return g
}

// CallerHandler serves callers.
func (g *Gateway) CallerHandler() http.Handler { return http.HandlerFunc(g.serveCaller) }

// ForwardHandler serves other instances. Its listener must authenticate them.
func (g *Gateway) ForwardHandler() http.Handler { return http.HandlerFunc(g.serveForward) }
