package gateway

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/boragegate/boragegate/admission"
)

// forward sends a request to the instance in front of the target. That instance
// finds partition and term in its own snapshot.
func (g *Gateway) forward(c *call, d destination) (*http.Response, *failure) {
	id := d.target.Row.ID()
	s := g.statistics.forTarget(id)
	if f := s.queueFullFailure(g.clock.Now(), c.class); f != nil {
		return nil, f
	}
	h := c.outgoingHeader()
	values := make([]string, 0, maxGatewayHeaders)
	values = setHeader(h, values, headerTarget, id)
	if c.key != "" {
		values = setHeader(h, values, headerKey, c.key)
	}
	if d.partition != noPartition {
		values = setHeader(h, values, headerEpoch, strconv.FormatUint(d.epoch, 10))
	}
	g.setCommonHeaders(h, values, c)
	u := &url.URL{Scheme: g.cfg.ForwardScheme, Host: d.target.ForwardAddress, Path: c.request.URL.Path, RawPath: c.request.URL.RawPath}
	c.forwardTarget = d.target
	resp, f := g.exchange(c, g.cfg.ForwardTransport, u, h)
	c.forwardTarget = nil
	if f != nil {
		if f.outcome == OutcomeUnknown && c.safe {
			f.retryHint = retryLater
		}
		return nil, f
	}
	var wait time.Duration
	if resp.Header[headerLoad] != nil {
		wait = s.recordLoadHeader(g.clock.Now(), resp.Header)
	}
	f = remoteFailure(resp)
	if f == nil {
		return resp, nil
	}
	if f.slug == string(admission.ReasonQueueFull) {
		s.recordQueueFull(g.clock.Now(), c.class, wait, f.retryAfter)
	}
	return nil, f
}

// maxGatewayHeaders is the number of headers that the gateway sets on a request.
const maxGatewayHeaders = 8

// setHeader sets a header. All values of a request share one array.
func setHeader(h http.Header, values []string, name, value string) []string {
	n := len(values)
	values = append(values, value)
	h[name] = values[n : n+1 : n+1]
	return values
}

// outgoingHeader returns the headers to send. The first attempt uses those of the
// request itself. Later ones copy them, because the transport may still be
// sending those of an attempt that it gave up.
func (c *call) outgoingHeader() http.Header {
	if c.headerUsed {
		return c.request.Header.Clone()
	}
	c.headerUsed = true
	return c.request.Header
}

// setCommonHeaders sets the headers that both instances and servers receive.
func (g *Gateway) setCommonHeaders(h http.Header, values []string, c *call) {
	left := max(c.deadline.Sub(g.clock.Now()).Milliseconds(), 1)
	values = setHeader(h, values, headerDeadline, strconv.FormatInt(left, 10))
	setHeader(h, values, headerRequestID, c.id)
	if key := h[headerIdempotency]; len(key) > 0 {
		delete(h, headerIdempotency)
		h[idempotencyMapKey] = key
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
}

// remoteFailure returns the failure that another instance answered with, or nil if
// the answer is a server's.
func remoteFailure(resp *http.Response) *failure {
	mark := resp.Header.Get(headerRetryHint)
	if mark == "" {
		return nil
	}
	defer drainAndClose(resp.Body)
	f := &failure{
		status: resp.StatusCode, retryHint: retryHint(mark), outcome: Outcome(resp.Header.Get(headerOutcome)),
		slug: "unknown", detail: "the instance in front of the target gave no reason",
	}
	if p, ok := readProblem(resp.Body); ok {
		f.slug, f.detail = p.slug(), p.Detail
	}
	if s, err := strconv.Atoi(resp.Header.Get(headerRetryAfter)); err == nil {
		f.retryAfter = time.Duration(s) * time.Second
	}
	return f
}

// maxDrain bounds what is read of an answer that is not used, to keep its connection.
const maxDrain = 64 << 10

func drainAndClose(b io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, b, maxDrain)
	_ = b.Close()
}
