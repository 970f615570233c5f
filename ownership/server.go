package ownership

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/boragegate/boragegate/lease"
)

const (
	// callSlack is added to the time that a server holds a reply.
	callSlack = 150 * time.Millisecond
	// callRetry is the time between calls to a server that fails.
	callRetry = 50 * time.Millisecond
	// releaseTimeout is the time after which a release is asked again. The server
	// may take longer to finish what is in flight; asking again does no harm.
	releaseTimeout = 2 * time.Second
	// defaultMaxRequestTime bounds requests of services that do not say.
	defaultMaxRequestTime = 30 * time.Second
	// steadyReports is the number of report intervals between reports of a target
	// of which there is nothing new.
	steadyReports = 8
)

var errRestarted = errors.New("server restarted")

// advanceServer renews the lease of a server and keeps its set of partitions up
// to date. The set is always confirmed as a whole before a lease is extended, so
// a server that comes back never acts on a set from before.
func (c *Core) advanceServer(h *holding) {
	if h.stale > 0 {
		return // somebody else renews; nothing is known of the lease
	}
	if h.state != TargetLapsed && h.grantor.Expired(c.now) {
		c.setState(h, TargetLapsed)
	}
	if c.now < h.retryAt {
		return
	}
	if c.blind(h) {
		return // the server may hold what others own; its lease must not be extended
	}
	c.stopPromised(h)
	if h.change.id == 0 && (!h.synced || h.compare) {
		want := h.want
		if c.now < h.notBefore {
			want = map[int]uint64{}
		}
		h.compare = c.now < h.notBefore
		if !h.synced || !sameSet(h.granted, want) {
			c.sendChange(h, want)
		}
	}
	if h.synced && h.renew == 0 {
		c.sendRenewal(h)
	}
}

// blind reports whether the controller must not change the server's set: it does
// not know yet what the planner decided.
func (c *Core) blind(h *holding) bool {
	s := c.services[h.service]
	return s == nil || s.version() < h.minVersion
}

func (c *Core) request(h *holding) ServerRequest {
	r := ServerRequest{
		Service: h.service, Target: targetName(h.id), Term: h.term, Set: h.confirmed,
		LeaseMS: c.cfg.Lease.Duration.Milliseconds(), Timeout: callSlack,
	}
	return r
}

// answer adds the newest stamp to a request and counts the lease as extended.
func (h *holding) answer(r *ServerRequest) {
	if s, ok := h.grantor.Grant(); ok {
		r.Boot, r.Answers = h.boot, s
	}
}

// sendRenewal answers the newest stamp; the server holds the reply.
func (c *Core) sendRenewal(h *holding) {
	r := c.request(h)
	h.answer(&r)
	if r.Answers > 0 {
		r.WaitMS = c.cfg.RenewInterval.Milliseconds()
		r.Timeout += c.cfg.RenewInterval
		if !h.starting {
			c.setState(h, TargetHeld)
		}
	}
	h.renew = c.call(h, r)
	c.emit(ExtendLease{Target: h.id, Term: h.term, Until: h.grantor.Expiry()})
}

// sendChange brings the server's set to want. Without knowledge of the set, or
// while a release is under way, the set is replaced.
func (c *Core) sendChange(h *holding, want map[int]uint64) {
	h.set++
	r := c.request(h)
	r.Set = h.set
	if h.synced && h.release.id == 0 {
		r.Grants = ranges(added(want, h.granted), want)
		r.Removals = ranges(removed(want, h.granted), nil)
	} else {
		r.Replace = true
		r.Grants = ranges(added(want, nil), want)
	}
	if h.synced {
		h.answer(&r)
	}
	h.change = call{want: want, set: h.set, id: c.call(h, r)}
}

func (c *Core) call(h *holding, r ServerRequest) uint64 {
	id := c.nextID()
	c.emit(CallServer{ID: id, Target: h.id, Address: c.rows[h.id].Address, Request: r})
	return id
}

func (c *Core) onServer(e ServerReplied) {
	h := c.held[e.Target]
	if h == nil {
		return
	}
	switch e.ID {
	case h.renew:
		h.renew = 0
	case h.change.id:
		c.changeReplied(h, e)
	case h.release.id:
		c.releaseReplied(h, e)
		return
	default:
		return
	}
	if e.Err != nil {
		c.callFailed(h, e)
		return
	}
	if e.Reply.Term != h.term {
		return
	}
	if h.boot != "" && e.Reply.Boot != h.boot {
		c.restarted(h)
	}
	h.boot, h.max = e.Reply.Boot, max(h.max, e.Reply.MaxEpoch)
	h.starting = e.Reply.State == "starting"
	if d := e.Reply.State == "draining"; d != h.drain {
		h.drain, h.reportAt = d, c.now
	}
	if !c.inContact() {
		return
	}
	h.grantor.Receive(c.now, e.Reply.Stamp)
}

// changeReplied notes what the server has confirmed.
func (c *Core) changeReplied(h *holding, e ServerReplied) {
	ch := h.change
	h.change = call{}
	h.synced = e.Err == nil && e.Reply.Term == h.term && e.Reply.Set == ch.set &&
		(h.boot == "" || h.boot == e.Reply.Boot)
	if !h.synced {
		return
	}
	h.compare, c.viewDirty = true, true
	h.confirmed = max(h.confirmed, ch.set)
	h.granted = maps.Clone(ch.want)
	for p, pr := range h.promised {
		if _, ok := h.granted[p]; ok && pr.done {
			h.synced = false // the server must lose it before its lease is extended
		}
		delete(h.granted, p)
	}
}

// restarted starts over with a new process of the server. The lease of the old
// process may still run.
func (c *Core) restarted(h *holding) {
	h.notBefore = h.grantor.Expiry()
	h.grantor.ForgetStamps()
	h.synced, h.granted, c.viewDirty = false, map[int]uint64{}, true
	if h.release.id != 0 {
		c.releaseReplied(h, ServerReplied{Err: errRestarted}) // asks the new process
	}
	c.record(false, "server.restarted", "target", h.id)
}

func (c *Core) callFailed(h *holding, e ServerReplied) {
	if errors.Is(e.Err, ErrStaleTerm) {
		h.stale, h.granted = max(e.Reply.Term, h.term+1), map[int]uint64{}
		c.setState(h, TargetUnknown)
		h.reportAt = c.now
		c.record(false, "term.stale", "target", h.id, "term", h.term)
		return
	}
	h.retryAt = c.now + callRetry
	if c.cfg.faults.noGrantorWait {
		h.grantor = lease.NewGrantor(lease.Terms{}, 0)
	}
}

// ranges returns the partitions, in rising order, as ranges of equal epoch.
func ranges(ps []int, epochs map[int]uint64) []Range {
	slices.Sort(ps)
	var out []Range
	for _, p := range ps {
		if n := len(out); n > 0 && out[n-1].To == p-1 && out[n-1].Epoch == epochs[p] {
			out[n-1].To = p
			continue
		}
		out = append(out, Range{From: p, To: p, Epoch: epochs[p]})
	}
	return out
}

// added returns the partitions of want that have lacks or has with another epoch.
func added(want, have map[int]uint64) []int {
	var ps []int
	for p, e := range want {
		if h, ok := have[p]; !ok || h != e {
			ps = append(ps, p)
		}
	}
	return ps
}

// removed returns the partitions of have that want lacks.
func removed(want, have map[int]uint64) []int {
	var ps []int
	for p := range have {
		if _, ok := want[p]; !ok {
			ps = append(ps, p)
		}
	}
	return ps
}
