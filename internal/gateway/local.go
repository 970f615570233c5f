package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/boragegate/boragegate/admission"
)

// runHere admits a request to a target that this instance is in front of, and
// sends it to the server.
func (g *Gateway) runHere(c *call, d destination) (*http.Response, *failure) {
	t := g.targets.of(d.target)
	ticket, err := t.gate.Acquire(c.ctx, admission.Request{Class: c.class, Key: c.routingKey(), Deadline: c.deadline})
	if err != nil {
		return nil, admissionFailure(c, err)
	}
	run := &run{gateway: g, target: t, call: c, partition: d.partition, ticket: ticket}
	if !t.inflight.begin(d.partition, d.epoch) {
		ticket.Release()
		return nil, notOwner("the partition is being handed over")
	}
	if !g.mayRun(c, d) {
		run.finish(false)
		return nil, notOwner("this instance or the target does not own the partition at the moment")
	}
	return g.callServer(c, d, t, run)
}

// mayRun checks this instance's authority at the moment of the request.
func (g *Gateway) mayRun(c *call, d destination) bool {
	id := d.target.Row.ID()
	if d.partition != noPartition && c.service.Leased() {
		return g.cfg.Authority.MayRun(id, d.target.Term, d.partition, d.epoch)
	}
	return g.cfg.Authority.MayForward(id, d.target.Term)
}

func admissionFailure(c *call, err error) *failure {
	refusal := new(admission.Refusal)
	if errors.As(err, &refusal) {
		f := unavailable(string(refusal.Reason), err.Error())
		f.retryAfter = refusal.RetryAfter
		return f
	}
	if errors.Is(c.in.Context().Err(), context.Canceled) {
		return notRun(statusClientClosed, "caller-gone", "the caller closed the connection")
	}
	f := unavailable("deadline", "the deadline passed in the queue")
	return f
}

func (g *Gateway) callServer(c *call, d destination, t *target, run *run) (*http.Response, *failure) {
	h := endToEnd(c.in.Header)
	if c.service.Divided {
		setIfAny(h, headerKey, c.key)
	}
	g.setInternal(h, c, d)
	u := &url.URL{Scheme: "http", Host: d.target.Row.Address}
	resp, f := g.exchange(c, t.pool(), u, c.path, h)
	if f != nil {
		run.finish(f.outcome == OutcomeUnknown)
		if f.outcome == OutcomeUnknown && c.safe {
			f.again = againLater
		}
		return nil, f
	}
	if f := refusalOf(resp, t); f != nil {
		drainAndClose(resp.Body)
		run.finish(false)
		return nil, f
	}
	if hasOwnHeaders(resp.Header) {
		resp.Header = endToEnd(resp.Header)
	}
	resp.Body = &runBody{ReadCloser: resp.Body, run: run}
	return resp, nil
}

// refusalOf returns a failure if the server vouches that it ran nothing.
func refusalOf(resp *http.Response, t *target) *failure {
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
	return notRun(resp.StatusCode, "server-refused", "the server ran nothing")
}

// run is a request that occupies a slot.
type run struct {
	gateway   *Gateway
	target    *target
	call      *call
	partition int
	ticket    *admission.Ticket
	once      sync.Once
}

// finish frees the slot. A request that was cut off may still run at a server
// that does not check grants, so it counts as in flight until the service's
// longest request time has passed.
func (r *run) finish(cutOff bool) {
	r.once.Do(func() {
		var linger time.Duration
		if cutOff && !r.call.service.ChecksGrants {
			linger = time.Duration(r.call.service.MaxRequestTime)
			if linger <= 0 {
				linger = DefaultMaxRequestTime
			}
		}
		held := r.ticket.Held()
		r.ticket.Release()
		r.target.inflight.end(r.partition, linger)
		r.gateway.noteRun(r, held)
	})
}

// runBody frees the slot when the answer is complete or given up.
type runBody struct {
	io.ReadCloser
	run *run
}

func (b *runBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.run.finish(!errors.Is(err, io.EOF))
	}
	return n, err
}

func (b *runBody) Close() error {
	err := b.ReadCloser.Close()
	b.run.finish(true) // has no effect after the end of the body
	return err
}
