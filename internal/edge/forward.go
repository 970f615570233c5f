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
	// noConfigRetryAfter is the Retry-After while no configuration is known, or while the
	// known one may be outdated and has no route for the request.
	noConfigRetryAfter = 300 * time.Millisecond
	// otherInstanceRetryAfter is the Retry-After of an instance that is stopping or has not
	// confirmed its configuration: other instances can serve the request at once.
	otherInstanceRetryAfter = 50 * time.Millisecond
	// minShedRetryAfter is the shortest Retry-After if a target refused the request. A
	// target that refuses at random may accept the retry.
	minShedRetryAfter = 50 * time.Millisecond
	// maxUnsentAttempts is the number of attempts without anything sent to a target after
	// which a request is not tried again.
	maxUnsentAttempts = 3
	// unsentRetryDelay is the delay before the holder of a key is tried again after it
	// could not be reached, or after the target that was tried no longer holds the key.
	unsentRetryDelay = 30 * time.Millisecond
	// hedgeDelayFactor times the expected latency of an attempt is the delay after which an
	// idempotent request is sent to a second target. Service times rarely exceed twice
	// their mean.
	hedgeDelayFactor = 2.2
	// minHedgeDelay is the shortest delay of a hedged attempt.
	minHedgeDelay = 60 * time.Millisecond
	// maxHoldInterval is the longest time for which a held request waits until it is
	// decided on again. It is also the Retry-After after a moved key, an unreachable target
	// or a timeout.
	maxHoldInterval = 100 * time.Millisecond
)

// Reasons for a response that doesn't come from a target, in addition to those of package
// dispatch.
const (
	reasonNoConfig          = "no_config"
	reasonConfigUnconfirmed = "config_unconfirmed"
	reasonStopping          = "stopping"
	reasonNoRoute           = "no_route"
	reasonTimeout           = "timeout"
	reasonTargetUnreachable = "target_unreachable"
	reasonAnswerBroken      = "answer_broken"
	reasonTargetFull        = "target_full"
	reasonKeyMoved          = "key_moved"
)

// forwarder forwards the requests of callers to targets.
type forwarder struct {
	shared   *sharedState
	client   *upstream.Client
	platform deployment.Platform
	headers  deployment.Headers
	log      *logging.Log
	metrics  *instanceMetrics
	// requestCount counts requests, to distribute them over the services of a route by
	// weight.
	requestCount atomic.Uint64
	// rejecting is set if the instance is about to stop and rejects all requests.
	rejecting *atomic.Bool
	// stopDeadline is the time at which a stopping instance cuts the requests in flight, nil if
	// it is not stopping.
	stopDeadline *atomic.Pointer[time.Time]
}

// handle implements ingress.Handler.
func (f *forwarder) handle(ctx context.Context, r *ingress.Request) *ingress.Response {
	if f.rejecting.Load() {
		return f.respondUnavailable(nil, r, reasonStopping, otherInstanceRetryAfter)
	}
	config := f.shared.config.Load()
	if config == nil {
		return f.respondUnavailable(nil, r, reasonNoConfig, noConfigRetryAfter)
	}
	if f.shared.isConfigUnconfirmed() {
		return f.respondUnavailable(nil, r, reasonConfigUnconfirmed, otherInstanceRetryAfter)
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
	remaining := route.Timeout
	callerRemaining, ok := f.platform.ParseDeadline(r.Header.Get(f.headers.Deadline))
	if ok {
		remaining = min(remaining, callerRemaining)
	}
	c := &proxyCall{
		f: f, request: r, route: route, key: parseShardKey(r.Header.Get(f.headers.ShardKey)),
		service: f.chooseService(route), deadline: r.Arrived.Add(remaining), configVersion: config.Version,
		results: make(chan attempt, 1+route.MaxAttempts+maxUnsentAttempts),
	}
	if !config.Services[c.service].Partitioned {
		c.key = -1
	}
	c.elapsedBefore = f.shared.recordArrival(&dispatch.Request{Service: c.service, Kind: route.Kind, Key: c.key, Remaining: callerRemaining, Objective: route.Objective, Priority: route.Priority})
	if stopDeadline := f.stopDeadline.Load(); stopDeadline != nil && c.deadline.After(*stopDeadline) {
		if !route.Kind.IsIdempotent() {
			return f.respondUnavailable(c, r, reasonStopping, otherInstanceRetryAfter)
		}
		c.deadline = *stopDeadline // the target ends its work by then, so the request is answered and not cut
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	return c.run(ctx)
}

// matchRoute returns the route that matches host and path of a request, or nil. The path is
// matched as the caller sent it.
func matchRoute(config *routing.Config, r *http.Request) *routing.Route {
	path, _, _ := strings.Cut(requestURI(r), "?")
	return config.Match(r.Host, path)
}

// requestURI returns path and query as the caller sent them.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// parseShardKey parses a key. It returns -1 if the value isn't a valid key.
func parseShardKey(value string) int {
	key, err := strconv.Atoi(value)
	if err != nil || key < 0 || key >= routing.KeyCount {
		return -1
	}
	return key
}

// chooseService selects a service of the route. Successive requests are spread evenly over
// the services by weight.
func (f *forwarder) chooseService(route *routing.Route) string {
	if len(route.Destinations) == 1 {
		return route.Destinations[0].Service
	}
	total := 0.0
	for _, destination := range route.Destinations {
		total += destination.Weight
	}
	position := float64(f.requestCount.Add(1)) * dispatch.GoldenRatio
	position = (position - float64(int64(position))) * total
	for _, destination := range route.Destinations {
		if position < destination.Weight {
			return destination.Service
		}
		position -= destination.Weight
	}
	return route.Destinations[len(route.Destinations)-1].Service
}

// beginDecisionLog begins the log line of a decision on a request. c is nil if the request
// has no route.
func (f *forwarder) beginDecisionLog(c *proxyCall, r *ingress.Request, status int, reason string) *zerolog.Event {
	event := f.log.StartEvent(zerolog.InfoLevel, "request."+reason).Str("request", r.Header.Get(f.headers.RequestID)).
		Int("status", status).Dur("took_ms", time.Since(r.Arrived))
	if c != nil {
		event = event.Str("route", c.route.Name).Str("service", c.service).Int("key", c.key).Int("sent", c.sentAttempts).
			Uint64("config_version", c.configVersion)
	}
	return event
}

// respondUnavailable responds 503 with a Retry-After because no target has run the
// request. Callers retry on another connection, so this one is closed.
func (f *forwarder) respondUnavailable(c *proxyCall, r *ingress.Request, reason string, retryAfter time.Duration) *ingress.Response {
	event := f.beginDecisionLog(c, r, http.StatusServiceUnavailable, reason).Dur("retry_after_ms", retryAfter)
	kind := "none"
	if c != nil {
		d := &c.decision
		kind = c.route.Kind.String()
		event = event.Str("target", d.Target.ID).Float64("target_load", d.Load).Dur("expected_ms", d.ExpectedLatency).
			Dur("report_age_ms", d.ReportAge).Dur("lost_ms", c.elapsedBefore)
		if d.LimitPerSecond > 0 {
			event = event.Float64("limit_per_s", d.LimitPerSecond)
		}
	}
	event.Send()
	f.metrics.countRequest(kind, reason, time.Since(r.Arrived))
	h := http.Header{"Retry-After": {strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}}
	return &ingress.Response{Status: http.StatusServiceUnavailable, Header: h, Close: true}
}
