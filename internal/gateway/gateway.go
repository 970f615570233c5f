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
	DefaultHandoverWait   = 2 * time.Second
	DefaultMaxRequestTime = 30 * time.Second
	DefaultMaxWaiting     = 4096
	DefaultMaxBody        = 1 << 30
	DefaultDialTimeout    = time.Second
	DefaultStallTimeout   = 30 * time.Second
	DefaultTakeOverWait   = 500 * time.Millisecond
)

// Config holds what a Gateway needs. Routes and Authority are required.
type Config struct {
	// Self is the ID of this instance.
	Self string
	// Zone is the availability zone of this instance.
	Zone string
	// Routes has the current route snapshot.
	Routes *route.Holder
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
	// HandoverWait is the longest time that a request waits for its partition to
	// get an owner that can serve it. Default DefaultHandoverWait.
	HandoverWait time.Duration
	// MaxWaiting is the number of requests that wait like this at a time.
	// Default DefaultMaxWaiting.
	MaxWaiting int
	// MaxBody is the largest request body in bytes. Default DefaultMaxBody.
	MaxBody int64
	// StallTimeout is the longest time without progress in reading a request
	// body or writing an answer. Default DefaultStallTimeout.
	StallTimeout time.Duration
	// TakeOverWait is the time for which a new tenure waits for the idempotency
	// records of the one before, if it could not take them over. Default DefaultTakeOverWait.
	TakeOverWait time.Duration
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
	if c.HandoverWait == 0 {
		c.HandoverWait = DefaultHandoverWait
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
	if c.TakeOverWait == 0 {
		c.TakeOverWait = DefaultTakeOverWait
	}
	if c.ForwardScheme == "" {
		c.ForwardScheme = "http"
	}
	if c.ForwardTransport == nil {
		c.ForwardTransport = NewTransport(forwardConnections)
	}
	return c
}

// Gateway serves requests. It is safe for concurrent use.
type Gateway struct {
	cfg     Config
	clock   clockwork.Clock
	probe   DialFunc // looks whether the host of an earlier controller responds
	waiting atomic.Int64
	active  active

	targets targets
	budgets budgets
	tenures tenures

	statistics statistics
	selector   selector
	meters     meters
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
