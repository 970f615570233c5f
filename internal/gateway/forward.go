package gateway

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// forward sends a request to the instance in front of the target.
func (g *Gateway) forward(c *call, d destination) (*http.Response, *failure) {
	u := &url.URL{Scheme: g.cfg.ForwardScheme, Host: d.target.ForwardAddress}
	h := endToEnd(c.in.Header)
	h[headerTarget] = []string{d.target.Row.ID()}
	setIfAny(h, headerKey, c.key)
	g.setInternal(h, c, d)
	resp, f := g.exchange(c, g.cfg.ForwardTransport, u, c.in.URL.EscapedPath(), h)
	if f != nil {
		if f.outcome == OutcomeUnknown && c.safe {
			f.again = againLater
		}
		return nil, f
	}
	g.noteLoad(d.target, resp.Header)
	if f := failureOf(resp); f != nil {
		return nil, f
	}
	return resp, nil
}

// setInternal sets the headers that both instances and servers receive.
func (g *Gateway) setInternal(h http.Header, c *call, d destination) {
	if d.partition != noPartition {
		h[headerPartition] = []string{strconv.Itoa(d.partition)}
		h[headerEpoch] = []string{strconv.FormatUint(d.epoch, 10)}
	}
	h[headerTerm] = []string{strconv.FormatUint(d.target.Term, 10)}
	left := max(c.deadline.Sub(g.clock.Now()).Milliseconds(), 1)
	h[headerDeadline] = []string{strconv.FormatInt(left, 10)}
	h[headerRequestID] = []string{c.id}
	if values := c.in.Header[headerIdempotency]; len(values) > 0 {
		delete(h, headerIdempotency)
		h[idempotencyMapKey] = values
	}
}

func setIfAny(h http.Header, name, value string) {
	if value != "" {
		h[name] = []string{value}
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
