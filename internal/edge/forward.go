package edge

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/internal/deployment"
	"github.com/boragegate/boragegate/internal/ingress"
	"github.com/boragegate/boragegate/internal/logging"
	"github.com/boragegate/boragegate/internal/upstream"
	"github.com/boragegate/boragegate/routing"
)

const (
	// noConfigRetryAfter is sent while no configuration is known.
	noConfigRetryAfter = 300 * time.Millisecond
	// stoppingRetryAfter is sent by an instance that stops: others serve at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// minShedRetryAfter is the least time after which callers come back whose request was
	// refused by a target. One that refuses at random may take the next try.
	minShedRetryAfter = 50 * time.Millisecond
	// maxUnsentAttempts is the number of targets that are tried without sending anything.
	maxUnsentAttempts = 3
	// unsentRetryDelay is the time before the holder of a key is tried again that could not be reached.
	unsentRetryDelay = 30 * time.Millisecond
	// hedgeDelayFactor times the expected time is the time after which a request that
	// may run again is sent once more. Work times rarely exceed twice their mean.
	hedgeDelayFactor = 2.2
	// minHedgeDelay bounds the time until a request is sent once more.
	minHedgeDelay = 60 * time.Millisecond
	// maxHoldInterval is the longest time until the decision on a held request is made anew.
	maxHoldInterval = 100 * time.Millisecond
)

// Reasons of rejections besides those of package dispatch.
const (
	reasonNoConfig          = "no_config"
	reasonStopping          = "stopping"
	reasonNoRoute           = "no_route"
	reasonTimeout           = "timeout"
	reasonTargetUnreachable = "target_unreachable"
	reasonAnswerBroken      = "answer_broken"
	reasonTargetFull        = "target_full"
	reasonKeyMoved          = "key_moved"
)

// forwarder answers the requests of callers.
type forwarder struct {
	shared   *sharedState
	client   *upstream.Client
	platform deployment.Platform
	headers  deployment.Headers
	log      *logging.Log
	metrics  *instanceMetrics
	// requestCount numbers requests, to divide them over the parts of a route.
	requestCount atomic.Uint64
	// rejecting says that the instance is about to stop.
	rejecting *atomic.Bool
}

// handle is an ingress.Handler.
func (f *forwarder) handle(ctx context.Context, r *ingress.Request) *ingress.Response {
	if f.rejecting.Load() {
		return f.respondUnavailable(nil, r, reasonStopping, stoppingRetryAfter)
	}
	config := f.shared.config.Load()
	if config == nil {
		return f.respondUnavailable(nil, r, reasonNoConfig, noConfigRetryAfter)
	}
	route := matchRoute(config, r.Request)
	if route == nil && f.shared.isConfigStale() {
		return f.respondUnavailable(nil, r, reasonNoConfig, noConfigRetryAfter)
	}
	if route == nil {
		f.beginDecisionLog(nil, r, http.StatusNotFound, reasonNoRoute).Uint64("config_version", config.Version).Send()
		f.metrics.countRequest("none", reasonNoRoute, time.Since(r.Arrived))
		return &ingress.Response{Status: http.StatusNotFound, Header: http.Header{}}
	}
	left := route.Timeout
	said, ok := f.platform.ParseDeadline(r.Header.Get(f.headers.Deadline))
	if ok {
		left = min(left, said)
	}
	c := &proxyCall{
		f: f, request: r, route: route, key: shardKey(r.Header.Get(f.headers.ShardKey)),
		service: f.chooseService(route), deadline: r.Arrived.Add(left), configVersion: config.Version,
		results: make(chan attempt, 1+route.MaxAttempts+maxUnsentAttempts),
	}
	if !config.Services[c.service].Partitioned {
		c.key = -1
	}
	c.elapsedBefore = f.shared.recordArrival(&dispatch.Request{Service: c.service, Kind: route.Kind, Key: c.key, Remaining: said})
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	return c.run(ctx)
}

// matchRoute returns the route of a request by its path as the caller sent it, or nil.
func matchRoute(config *routing.Config, r *http.Request) *routing.Route {
	path, _, _ := strings.Cut(requestURI(r), "?")
	return config.Match(r.Host, path)
}

// requestURI is path and query as the caller sent them.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// shardKey reads a key; -1 stands for none.
func shardKey(value string) int {
	key, err := strconv.Atoi(value)
	if err != nil || key < 0 || key >= routing.KeyCount {
		return -1
	}
	return key
}

// chooseService selects the service by the weights of the route's parts.
func (f *forwarder) chooseService(route *routing.Route) string {
	if len(route.Destinations) == 1 {
		return route.Destinations[0].Service
	}
	total := 0.0
	for _, p := range route.Destinations {
		total += p.Weight
	}
	at := float64(f.requestCount.Add(1)) * dispatch.GoldenRatio
	at = (at - float64(int64(at))) * total
	for _, p := range route.Destinations {
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	return route.Destinations[len(route.Destinations)-1].Service
}

// beginDecisionLog begins the log line of a decision on a request.
func (f *forwarder) beginDecisionLog(c *proxyCall, r *ingress.Request, status int, reason string) *zerolog.Event {
	e := f.log.Begin(zerolog.InfoLevel, "request."+reason).Str("request", r.Header.Get(f.headers.RequestID)).
		Int("status", status).Dur("took_ms", time.Since(r.Arrived))
	if c != nil {
		e = e.Str("route", c.route.Name).Str("service", c.service).Int("key", c.key).Int("sent", c.sentAttempts).
			Uint64("config_version", c.configVersion)
	}
	return e
}

// respondUnavailable answers that the request has not run, and when to come back. The caller
// comes back on another connection, so this one is closed.
func (f *forwarder) respondUnavailable(c *proxyCall, r *ingress.Request, reason string, after time.Duration) *ingress.Response {
	e := f.beginDecisionLog(c, r, http.StatusServiceUnavailable, reason).Dur("retry_after_ms", after)
	kind := "none"
	if c != nil {
		d := &c.decision
		kind = c.route.Kind.String()
		e = e.Str("target", d.Target.ID).Float64("target_load", d.Load).Dur("expected_ms", d.ExpectedLatency).
			Dur("report_age_ms", d.ReportAge).Dur("lost_ms", c.elapsedBefore)
	}
	e.Send()
	f.metrics.countRequest(kind, reason, time.Since(r.Arrived))
	h := http.Header{"Retry-After": {strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}}
	return &ingress.Response{Status: http.StatusServiceUnavailable, Header: h, Close: true}
}
