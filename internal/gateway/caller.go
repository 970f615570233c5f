package gateway

import (
	"maps"
	"net/http"
	"time"
)

// serveCaller handles a request from a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.activeRequests.begin()
	defer g.activeRequests.end()
	started := g.clock.Now()
	id := newRequestID()
	keepEndToEnd(r.Header, headerKey, headerDeadline)
	snapshot := g.cfg.Routes.Load()
	if !snapshot.Serving {
		g.reject(w, r, nil, id, started, unavailable("not-serving", "this instance takes no requests: "+snapshot.Reason))
		return
	}
	c, f := g.newCall(r, snapshot)
	if f != nil {
		g.reject(w, r, nil, id, started, f)
		return
	}
	c.id = id
	defer func() { c.cancelAttempt(); c.body.detach() }()
	resp, f := g.readAndDispatch(w, c) //nolint:bodyclose // relay closes it
	if f != nil {
		g.reject(w, r, c.body, id, started, f)
		return
	}
	g.recordResponse(c.service.Name, started)
	keepEndToEnd(resp.Header, headerReplayed)
	g.relay(w, resp, http.Header{headerRequestID: {id}})
}

func (g *Gateway) readAndDispatch(w http.ResponseWriter, c *call) (*http.Response, *failure) {
	var f *failure
	if c.body, f = g.readBody(w, c); f != nil {
		return nil, f
	}
	return g.dispatch(c)
}

// reject writes a failure as the response to a caller. If the caller has closed
// the connection, it panics with http.ErrAbortHandler instead.
func (g *Gateway) reject(w http.ResponseWriter, r *http.Request, b *body, id string, started time.Time, f *failure) {
	g.recordFailure(r, id, started, f)
	if f.status == statusClientClosed && r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if f.slug == "not-owner" {
		f.status = http.StatusServiceUnavailable // 421 is used between instances and servers only
	}
	limitUnreadBody(w, r, b, f)
	w.Header().Set(headerRequestID, id)
	f.write(w, id)
}

// serveForward handles a request from another instance.
func (g *Gateway) serveForward(w http.ResponseWriter, r *http.Request) {
	g.activeRequests.begin()
	defer g.activeRequests.end()
	if r.URL.Path == recordsPath {
		g.serveRecords(w, r)
		return
	}
	id, target := r.Header.Get(headerRequestID), r.Header.Get(headerTarget)
	snapshot := g.cfg.Routes.Load()
	keepEndToEnd(r.Header, headerKey, headerDeadline)
	c, f := g.newCall(r, snapshot)
	if f != nil {
		if f.slug == "unknown-service" {
			f = notOwner("this instance does not know the service yet")
		}
		g.rejectForwarded(w, r, nil, id, f)
		return
	}
	c.id = id
	defer func() { c.cancelAttempt(); c.body.detach() }()
	if c.body, f = g.readBody(w, c); f != nil {
		g.rejectForwarded(w, r, c.body, id, f)
		return
	}
	d, f := g.localDestination(c, target)
	var resp *http.Response
	if f == nil {
		resp, f = g.runLocal(c, d) //nolint:bodyclose // relay closes it
	}
	if f != nil {
		if d.target != nil && d.target.Local {
			maps.Copy(w.Header(), newLoadHeader(g.targets.ensure(d.target).gate.Load()))
		}
		g.rejectForwarded(w, r, c.body, id, f)
		return
	}
	var extra http.Header
	if d.partition == noPartition {
		extra = newLoadHeader(g.targets.ensure(d.target).gate.Load()) // the forwarding instance uses the load only to choose between targets
	}
	g.relay(w, resp, extra)
}

// localDestination returns the destination of a forwarded request according to
// this instance's own snapshot, which is authoritative: the snapshot of the
// forwarding instance may be older or newer. The failure is not-owner if this
// instance does not control the target with the given ID, or if that target does
// not own the partition of the request.
func (g *Gateway) localDestination(c *call, id string) (destination, *failure) {
	snapshot := g.cfg.Routes.Load()
	s := snapshot.Services[c.service.Name]
	d := destination{partition: noPartition}
	if key := c.routingKey(); key != "" && s != nil {
		d = ownerOfKey(s, key)
	} else if s != nil {
		for _, t := range s.Targets {
			if t.Row.ID() == id {
				d.target = t
			}
		}
	}
	if d.target == nil || !d.target.Local || d.target.Row.ID() != id {
		return d, notOwner("this instance is not in front of the target")
	}
	return d, nil
}

// rejectForwarded writes a failure as the response to another instance. If that
// instance has cancelled the request, it panics with http.ErrAbortHandler instead.
func (g *Gateway) rejectForwarded(w http.ResponseWriter, r *http.Request, b *body, id string, f *failure) {
	if f.status == statusClientClosed && r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	limitUnreadBody(w, r, b, f)
	w.Header().Set(headerRetryHint, string(f.retryHint))
	f.write(w, id)
}
