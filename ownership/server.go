package ownership

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/boragegate/boragegate/lease"
)

const (
	// callTimeoutMargin is added to the time that a server holds a reply.
	callTimeoutMargin = 150 * time.Millisecond
	// callRetryInterval is the time between calls to a server that fails.
	callRetryInterval = 50 * time.Millisecond
	// releaseTimeout is the time after which a release is asked again. The server
	// may take longer to finish what is in flight; asking again does no harm.
	releaseTimeout = 2 * time.Second
	// defaultMaxRequestTime bounds requests of services that do not say.
	defaultMaxRequestTime = 30 * time.Second
	// steadyReportIntervals is the number of report intervals between reports of a target
	// of which there is nothing new.
	steadyReportIntervals = 8
)

var errRestarted = errors.New("server restarted")

// advanceChecked renews the lease of a server and keeps its set of partitions up
// to date. The set is always confirmed as a whole before a lease is extended, so
// a server that comes back never acts on a set from before.
func (c *Core) advanceChecked(h *controlledTarget) {
	if h.seenTerm > 0 {
		return // somebody else renews; nothing is known of the lease
	}
	if h.state != TargetLapsed && h.grantor.Expired(c.now) {
		c.setState(h, TargetLapsed)
	}
	if c.now < h.retryAt {
		return
	}
	if c.assignmentOutdated(h) {
		return // the server may hold what others own; its lease must not be extended
	}
	c.stopReleasedAdmission(h)
	if h.setChange.id == 0 && (!h.synced || h.needsDiff) {
		want := h.desired
		if c.now < h.grantsNotBefore {
			want = map[int]uint64{}
		}
		h.needsDiff = c.now < h.grantsNotBefore
		if !h.synced || !equalGrants(h.granted, want) {
			c.sendChange(h, want)
		}
	}
	if h.synced && h.renewalID == 0 {
		c.sendRenewal(h)
	}
}

// assignmentOutdated reports whether the controller must not change the server's set: it does
// not know yet what the planner decided.
func (c *Core) assignmentOutdated(h *controlledTarget) bool {
	s := c.services[h.service]
	return s == nil || s.version() < h.minVersion
}

func (c *Core) newServerRequest(h *controlledTarget) ServerRequest {
	r := ServerRequest{
		Service: h.service, Target: targetName(h.target), Term: h.term, SetVersion: h.confirmedVersion,
		LeaseMS: c.cfg.Lease.Duration.Milliseconds(), Timeout: callTimeoutMargin,
	}
	return r
}

// attachStamp adds the newest stamp to a request and counts the lease as extended.
func (h *controlledTarget) attachStamp(r *ServerRequest) {
	if s, ok := h.grantor.Grant(); ok {
		r.BootID, r.AnsweredStamp = h.bootID, s
	}
}

// sendRenewal answers the newest stamp; the server holds the reply.
func (c *Core) sendRenewal(h *controlledTarget) {
	r := c.newServerRequest(h)
	h.attachStamp(&r)
	if r.AnsweredStamp > 0 {
		r.WaitMS = c.cfg.RenewInterval.Milliseconds()
		r.Timeout += c.cfg.RenewInterval
		if !h.starting {
			c.setState(h, TargetHeld)
		}
	}
	h.renewalID = c.callServer(h, r)
	c.emit(ExtendLease{Target: h.target, Term: h.term, Until: h.grantor.Expiry()})
}

// sendChange brings the server's set to want. Without knowledge of the set, or
// while a release is under way, the set is replaced.
func (c *Core) sendChange(h *controlledTarget, want map[int]uint64) {
	h.setVersion++
	r := c.newServerRequest(h)
	r.SetVersion = h.setVersion
	if h.synced && h.releaseCall.id == 0 {
		r.Grants = toRanges(grantsToAdd(want, h.granted), want)
		r.Removals = toRanges(grantsToRemove(want, h.granted), nil)
	} else {
		r.Replace = true
		r.Grants = toRanges(grantsToAdd(want, nil), want)
	}
	if h.synced {
		h.attachStamp(&r)
	}
	h.setChange = pendingCall{desired: want, setVersion: h.setVersion, id: c.callServer(h, r)}
}

func (c *Core) callServer(h *controlledTarget, r ServerRequest) uint64 {
	id := c.nextID()
	c.emit(CallServer{ID: id, Target: h.target, Address: c.rowsByTarget[h.target].Address, Request: r})
	return id
}

func (c *Core) onServerReply(e ServerReplied) {
	h := c.controlled[e.Target]
	if h == nil {
		return
	}
	switch e.ID {
	case h.renewalID:
		h.renewalID = 0
	case h.setChange.id:
		c.onSetChangeReply(h, e)
	case h.releaseCall.id:
		c.onReleaseReply(h, e)
		return
	default:
		return
	}
	if e.Err != nil {
		c.onCallFailed(h, e)
		return
	}
	if e.Reply.Term != h.term {
		return
	}
	if h.bootID != "" && e.Reply.BootID != h.bootID {
		c.onServerRestart(h)
	}
	h.bootID, h.max = e.Reply.BootID, max(h.max, e.Reply.MaxEpoch)
	h.starting = e.Reply.State == "starting"
	if d := e.Reply.State == "draining"; d != h.draining {
		h.draining, h.nextReportAt = d, c.now
	}
	if !c.inContact() {
		return
	}
	h.grantor.Receive(c.now, e.Reply.Stamp)
}

// onSetChangeReply notes what the server has confirmed.
func (c *Core) onSetChangeReply(h *controlledTarget, e ServerReplied) {
	ch := h.setChange
	h.setChange = pendingCall{}
	h.synced = e.Err == nil && e.Reply.Term == h.term && e.Reply.SetVersion == ch.setVersion &&
		(h.bootID == "" || h.bootID == e.Reply.BootID)
	if !h.synced {
		return
	}
	h.needsDiff, c.viewDirty = true, true
	h.confirmedVersion = max(h.confirmedVersion, ch.setVersion)
	h.granted = maps.Clone(ch.desired)
	for p, pr := range h.releases {
		if _, ok := h.granted[p]; ok && pr.done {
			h.synced = false // the server must lose it before its lease is extended
		}
		delete(h.granted, p)
	}
}

// onServerRestart starts over with a new process of the server. The lease of the old
// process may still run.
func (c *Core) onServerRestart(h *controlledTarget) {
	h.grantsNotBefore = h.grantor.Expiry()
	h.grantor.ForgetStamps()
	h.synced, h.granted, c.viewDirty = false, map[int]uint64{}, true
	if h.releaseCall.id != 0 {
		c.onReleaseReply(h, ServerReplied{Err: errRestarted}) // asks the new process
	}
	c.log(false, "server.restarted", "target", h.target)
}

func (c *Core) onCallFailed(h *controlledTarget, e ServerReplied) {
	if errors.Is(e.Err, ErrStaleTerm) {
		h.seenTerm, h.granted = max(e.Reply.Term, h.term+1), map[int]uint64{}
		c.setState(h, TargetUnknown)
		h.nextReportAt = c.now
		c.log(false, "term.stale", "target", h.target, "term", h.term)
		return
	}
	h.retryAt = c.now + callRetryInterval
	if c.cfg.faults.noGrantorWait {
		h.grantor = lease.NewGrantor(lease.Terms{}, 0)
	}
}

// toRanges returns the partitions, in rising order, as ranges of equal epoch.
func toRanges(ps []int, epochs map[int]uint64) []PartitionRange {
	slices.Sort(ps)
	var out []PartitionRange
	for _, p := range ps {
		if n := len(out); n > 0 && out[n-1].To == p-1 && out[n-1].Epoch == epochs[p] {
			out[n-1].To = p
			continue
		}
		out = append(out, PartitionRange{From: p, To: p, Epoch: epochs[p]})
	}
	return out
}

// grantsToAdd returns the partitions of want that have lacks or has with another epoch.
func grantsToAdd(want, have map[int]uint64) []int {
	var ps []int
	for p, e := range want {
		if h, ok := have[p]; !ok || h != e {
			ps = append(ps, p)
		}
	}
	return ps
}

// grantsToRemove returns the partitions of have that want lacks.
func grantsToRemove(want, have map[int]uint64) []int {
	var ps []int
	for p := range have {
		if _, ok := want[p]; !ok {
			ps = append(ps, p)
		}
	}
	return ps
}
