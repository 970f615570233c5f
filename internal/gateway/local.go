package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/boragegate/boragegate/admission"
)

// runLocal runs a request at a target that this instance controls. If the request
// has an idempotency key and was run before, it gets the recorded response.
func (g *Gateway) runLocal(c *call, d destination) (*http.Response, *failure) {
	t := g.targets.ensure(d.target)
	r := &run{gateway: g, target: t, call: c, partition: d.partition}
	if c.idempotencyKey != "" {
		record, resp, f := g.beginIdempotent(c, d, t)
		if f != nil || resp != nil {
			return resp, f
		}
		r.record = record
	}
	resp, f := g.admit(c, d, r)
	if f != nil {
		r.finish(f.outcome)
	}
	return resp, f
}

// admit waits for a slot and sends the request to the server. The authority is
// checked after the wait, immediately before the request is sent.
func (g *Gateway) admit(c *call, d destination, r *run) (*http.Response, *failure) {
	permit, err := r.target.gate.Acquire(c.ctx, admission.Request{Class: c.class, Key: c.routingKey(), Deadline: c.deadline})
	if err != nil {
		return nil, admissionFailure(c, err)
	}
	r.permit = permit
	if !r.target.inflight.begin(d.partition, d.tenure()) {
		return nil, notOwner("the partition is being handed over")
	}
	r.inFlight = true
	if !g.isAuthorized(c, d) || r.record != nil && !r.record.MarkRunning() {
		return nil, notOwner("this instance or the target does not own the partition at the moment")
	}
	return g.callServer(c, d, r)
}

// isAuthorized reports whether this instance currently has the authority to
// send the request to the target.
func (g *Gateway) isAuthorized(c *call, d destination) bool {
	id := d.target.Row.ID()
	if d.partition != noPartition && c.service.Leased() {
		return g.cfg.Authority.MayRun(id, d.target.Term, d.partition, d.epoch)
	}
	return g.cfg.Authority.ControlsTarget(id, d.target.Term)
}

func admissionFailure(c *call, err error) *failure {
	rejection := new(admission.RejectionError)
	if errors.As(err, &rejection) {
		f := unavailable(string(rejection.Reason), "the target did not admit the request")
		f.retryAfter = rejection.RetryAfter
		return f
	}
	if errors.Is(c.request.Context().Err(), context.Canceled) {
		return notRun(statusClientClosed, "caller-gone", "the caller closed the connection")
	}
	f := unavailable("deadline", "the deadline passed in the queue")
	return f
}

func (g *Gateway) callServer(c *call, d destination, r *run) (*http.Response, *failure) {
	h := c.outgoingHeader()
	delete(h, headerTarget)
	delete(h, headerKey)
	values := make([]string, 0, maxGatewayHeaders)
	if c.service.Divided {
		values = setHeader(h, values, headerKey, c.key)
	}
	if d.partition != noPartition {
		values = setHeader(h, values, headerPartition, strconv.Itoa(d.partition))
		values = setHeader(h, values, headerEpoch, strconv.FormatUint(d.epoch, 10))
	}
	values = setHeader(h, values, headerTerm, strconv.FormatUint(d.target.Term, 10))
	g.setCommonHeaders(h, values, c)
	u := &url.URL{Scheme: "http", Host: d.target.Row.Address}
	u.Path, u.RawPath = c.serverPath()
	resp, f := g.exchange(c, r.target.pool(), u, h)
	if f != nil {
		if f.outcome == OutcomeUnknown && c.safe {
			f.retryHint = retryLater
		}
		return nil, f
	}
	if f := serverRefusal(resp, r.target); f != nil {
		drainAndClose(resp.Body)
		return nil, f
	}
	keepEndToEnd(resp.Header)
	if r.record != nil {
		r.recorder = newResponseRecorder(r.record, resp)
	}
	resp.Body = &runBody{ReadCloser: resp.Body, run: r}
	return resp, nil
}

// serverRefusal returns a failure if the server reports that it did not run the
// request and another attempt can succeed, and nil otherwise. If the server sheds
// load and sends a Retry-After in seconds, serverRefusal pauses the target's gate
// for that time, up to the maximum of Gate.Pause.
func serverRefusal(resp *http.Response, t *target) *failure {
	if resp.Header.Get(headerOutcome) != string(OutcomeNotRun) {
		return nil
	}
	switch resp.StatusCode {
	case http.StatusMisdirectedRequest:
		return notOwner("the server does not hold the partition at this epoch")
	case http.StatusServiceUnavailable:
		f := unavailable("server-shedding", "the server sheds load")
		if s, err := strconv.Atoi(resp.Header.Get(headerRetryAfter)); err == nil && s > 0 {
			f.retryAfter = time.Duration(s) * time.Second
			t.gate.Pause(f.retryAfter)
		}
		return f
	}
	return nil // the server's own response tells the caller more
}
