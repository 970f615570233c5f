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
	s := g.statistics.of(id)
	if f := s.refusal(g.clock.Now(), c.class); f != nil {
		return nil, f
	}
	h := c.outgoing()
	values := make([]string, 0, maxOwnHeaders)
	values = set(h, values, headerTarget, id)
	if c.key != "" {
		values = set(h, values, headerKey, c.key)
	}
	if d.partition != noPartition {
		values = set(h, values, headerEpoch, strconv.FormatUint(d.epoch, 10))
	}
	g.setCommon(h, values, c)
	u := &url.URL{Scheme: g.cfg.ForwardScheme, Host: d.target.ForwardAddress, Path: c.in.URL.Path, RawPath: c.in.URL.RawPath}
	c.forwarded = d.target
	resp, f := g.exchange(c, g.cfg.ForwardTransport, u, h)
	c.forwarded = nil
	if f != nil {
		if f.outcome == OutcomeUnknown && c.safe {
			f.again = againLater
		}
		return nil, f
	}
	var wait time.Duration
	if resp.Header[headerLoad] != nil {
		wait = s.noteLoad(g.clock.Now(), resp.Header)
	}
	f = failureOf(resp)
	if f == nil {
		return resp, nil
	}
	if f.slug == string(admission.ReasonQueueFull) {
		s.noteFull(g.clock.Now(), c.class, wait, f.retryAfter)
	}
	return nil, f
}

// maxOwnHeaders is the number of headers that the gateway sets on a request.
const maxOwnHeaders = 8

// set sets a header. All values of a request share one array.
func set(h http.Header, values []string, name, value string) []string {
	n := len(values)
	values = append(values, value)
	h[name] = values[n : n+1 : n+1]
	return values
}

// outgoing returns the headers to send. The first attempt uses those of the
// request itself. Later ones copy them, because the transport may still be
// sending those of an attempt that it gave up.
func (c *call) outgoing() http.Header {
	if c.sent {
		return c.in.Header.Clone()
	}
	c.sent = true
	return c.in.Header
}

// setCommon sets the headers that both instances and servers receive.
func (g *Gateway) setCommon(h http.Header, values []string, c *call) {
	left := max(c.deadline.Sub(g.clock.Now()).Milliseconds(), 1)
	values = set(h, values, headerDeadline, strconv.FormatInt(left, 10))
	set(h, values, headerRequestID, c.id)
	if key := h[headerIdempotency]; len(key) > 0 {
		delete(h, headerIdempotency)
		h[idempotencyMapKey] = key
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
}

// failureOf returns the failure that another instance answered with, or nil if
// the answer is a server's.
func failureOf(resp *http.Response) *failure {
	mark := resp.Header.Get(headerAgain)
	if mark == "" {
		return nil
	}
	defer drainAndClose(resp.Body)
	f := &failure{
		status: resp.StatusCode, again: again(mark), outcome: Outcome(resp.Header.Get(headerOutcome)),
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
