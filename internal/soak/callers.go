package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/boragegate/boragegate/platform"
	"github.com/boragegate/boragegate/platform/standin"
)

const (
	// meanRequestInterval is the mean delay between a response and the next request of a
	// caller.
	meanRequestInterval = 15 * time.Millisecond
	// requestTimeout is the deadline that a caller sends with each request.
	requestTimeout = 2 * time.Second
	// clientTimeoutSlack is the time for which a caller waits for a response after the
	// deadline.
	clientTimeoutSlack = time.Second
	// probeKeyCount is the number of evenly spaced keys that allServed requests at each
	// instance.
	probeKeyCount = 16
	// keyCount is the number of keys of the partitioned service.
	keyCount = 1 << 16
)

// caller sends requests to all instances over persistent connections.
type caller struct {
	run          *run
	client       *http.Client
	name         string
	requestCount int
}

func newCaller(r *run, name string) *caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &caller{run: r, name: name, client: &http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true},
		Timeout:   requestTimeout + clientTimeoutSlack,
	}}
}

// runCaller sends requests of caller n until the context is cancelled.
func (r *run) runCaller(ctx context.Context, n int) {
	c := newCaller(r, fmt.Sprintf("c%d", n))
	defer c.client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(n)+1)) //nolint:gosec // not a secret
	for ctx.Err() == nil {
		i := r.system.instances[random.IntN(len(r.system.instances))]
		method, path, key := http.MethodGet, "/r/x", random.IntN(keyCount)
		if random.IntN(3) == 0 {
			method, path, key = http.MethodPost, "/b/x", -1
		}
		outcome := c.send(i, method, path, key)
		r.mu.Lock()
		r.report.Requests[outcome]++
		r.mu.Unlock()
		time.Sleep(time.Duration(random.Int64N(int64(2 * meanRequestInterval))))
	}
}

// send sends one request, checks the response and returns the outcome, a key of
// Report.Requests. The request has no shard key if key is negative.
func (c *caller) send(i *instance, method, path string, key int) string {
	c.requestCount++
	id := c.name + "-" + strconv.Itoa(c.requestCount)
	r, err := http.NewRequest(method, "http://"+i.Address(i.CallerPort)+path, nil)
	if err != nil {
		return "error"
	}
	headers := platform.NewHeaders()
	r.Host = standin.Host
	r.Header.Set(headers.RequestID, id)
	r.Header.Set(headers.Deadline, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	if key >= 0 {
		r.Header.Set(headers.ShardKey, strconv.Itoa(key))
	}
	if method == http.MethodPost {
		c.run.checker.recordSent(id)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return "unanswered"
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "broken"
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if got := resp.Header.Get(headers.RequestID); got != id {
			c.run.reportViolation("own answer", fmt.Sprintf("request %s got the answer to %s", id, got))
		}
		if resp.Header.Get(headers.ResponseStamp) == "" || len(body) == 0 {
			c.run.reportViolation("whole answer", "request "+id+" got status 200 without a body or without the stamp of a target")
		}
		return "served"
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if method == http.MethodPost {
			c.run.checker.recordRejection(id)
		}
		if retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || retryAfter <= 0 {
			c.run.reportViolation("retry delay", "request "+id+" was refused without a positive Retry-After")
		}
		return "refused"
	case http.StatusNotFound:
		c.run.reportViolation("routes", "request "+id+" got 404 for a route that every configuration has")
		return "denied"
	default:
		return "failed"
	}
}

// allServed reports whether every instance serves probeKeyCount keys of the whole range
// and the unpartitioned service.
func (r *run) allServed(ctx context.Context) bool {
	for n, i := range r.system.instances {
		c := newCaller(r, fmt.Sprintf("p%d-%d", n, time.Now().UnixNano()))
		for k := range probeKeyCount {
			if ctx.Err() != nil || c.send(i, http.MethodGet, "/r/x", k*(keyCount/probeKeyCount)+1) != "served" {
				c.client.CloseIdleConnections()
				return false
			}
		}
		ok := c.send(i, http.MethodPost, "/b/x", -1) == "served"
		c.client.CloseIdleConnections()
		if !ok {
			return false
		}
	}
	return true
}
