package gateway

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/boragegate/boragegate/admission"
)

// forward sends a request to the controller of the target, which resolves
// partition and term from its own snapshot.
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

// maxGatewayHeaders is the maximum number of headers that the gateway sets on a
// request.
const maxGatewayHeaders = 8

// setHeader sets a header and appends its value to values. All values of a
// request share this one array, which saves an allocation per header.
func setHeader(h http.Header, values []string, name, value string) []string {
	n := len(values)
	values = append(values, value)
	h[name] = values[n : n+1 : n+1]
	return values
}

// outgoingHeader returns the headers to send. The first attempt uses those of the
// caller's request itself. Later attempts copy them, because the transport may
// still be sending those of a cancelled attempt.
func (c *call) outgoingHeader() http.Header {
	if c.headerUsed {
		return c.request.Header.Clone()
	}
	c.headerUsed = true
	return c.request.Header
}

// setCommonHeaders sets the headers that both other instances and servers
// receive.
func (g *Gateway) setCommonHeaders(h http.Header, values []string, c *call) {
	remaining := max(c.deadline.Sub(g.clock.Now()).Milliseconds(), 1)
	values = setHeader(h, values, headerDeadline, strconv.FormatInt(remaining, 10))
	setHeader(h, values, headerRequestID, c.id)
	if key := h[headerIdempotency]; len(key) > 0 {
		delete(h, headerIdempotency)
		h[idempotencyMapKey] = key
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // prevents net/http from adding its own
	}
}

// remoteFailure returns the failure that another instance reported, or nil if the
// response comes from the server.
func remoteFailure(resp *http.Response) *failure {
	hint := resp.Header.Get(headerRetryHint)
	if hint == "" {
		return nil
	}
	defer drainAndClose(resp.Body)
	f := &failure{
		status: resp.StatusCode, retryHint: retryHint(hint), outcome: Outcome(resp.Header.Get(headerOutcome)),
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

// maxDrainBytes limits how much of an unused response is read so that its
// connection can be reused.
const maxDrainBytes = 64 << 10

func drainAndClose(b io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, b, maxDrainBytes)
	_ = b.Close()
}
