package ownership

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/boragegate/boragegate/lease"
)

const (
	// callTimeoutMargin is the timeout of a server call, in addition to the time for which
	// the server delays its reply.
	callTimeoutMargin = 150 * time.Millisecond
	// callRetryInterval is the interval between calls to a failing server.
	callRetryInterval = 50 * time.Millisecond
	// releaseTimeout is the time after which a release is retried. The server may take
	// longer to complete the requests in flight; retrying is harmless.
	releaseTimeout = 2 * time.Second
	// defaultMaxRequestTime is the timeout of requests of services that do not configure one,
	// as in package table.
	defaultMaxRequestTime = 30 * time.Second
	// steadyReportIntervals is the number of report intervals between reports on a target
	// that is held and has no releases.
	steadyReportIntervals = 8
)

var errRestarted = errors.New("backend server restarted during a release")

// advanceChecked renews the lease of a server and keeps its grant set up to date. The whole
// set is always confirmed before a lease is extended, so a server that responds again after
// a failure never acts on an outdated set.
func (c *Core) advanceChecked(t *controlledTarget) {
	if t.seenTerm > 0 {
		return // another controller renews the lease, so its state is unknown
	}
	if t.state != TargetExpired && t.grantor.Expired(c.now) {
		c.setState(t, TargetExpired)
	}
	if c.now < t.retryAt {
		return
	}
	if c.assignmentOutdated(t) {
		return // the server may have partitions that others own, so its lease must not be extended
	}
	c.stopAdmissionForReleases(t)
	if t.setChange.id == 0 && (!t.synced || t.needsDiff) {
		desired := t.desired
		if c.now < t.grantsNotBefore {
			desired = map[int]uint64{}
		}
		t.needsDiff = c.now < t.grantsNotBefore
		if !t.synced || !equalGrants(t.granted, desired) {
			c.sendSetChange(t, desired)
		}
	}
	if t.synced && t.renewalID == 0 {
		c.sendRenewal(t)
	}
}

// assignmentOutdated reports whether the controller must not change the grant set of the
// target, because it does not have the required assignment version yet.
func (c *Core) assignmentOutdated(t *controlledTarget) bool {
	s := c.services[t.service]
	return s == nil || s.version() < t.minVersion
}

func (c *Core) newServerRequest(t *controlledTarget) ServerRequest {
	r := ServerRequest{
		Service: t.service, Target: targetName(t.target), Term: t.term, SetVersion: t.confirmedVersion,
		LeaseMS: c.cfg.Lease.Duration.Milliseconds(), Timeout: callTimeoutMargin,
	}
	return r
}

// attachStamp attaches the server's newest stamp to a request, so that the request renews the
// lease, and extends the lease on the controller's side.
func (t *controlledTarget) attachStamp(r *ServerRequest) {
	if s, ok := t.grantor.Grant(); ok {
		r.BootID, r.AnsweredStamp = t.bootID, s
	}
}

// sendRenewal sends a renewal with the server's newest stamp. The server delays its reply
// by the renewal interval.
func (c *Core) sendRenewal(t *controlledTarget) {
	r := c.newServerRequest(t)
	t.attachStamp(&r)
	if r.AnsweredStamp > 0 {
		r.WaitMS = c.cfg.RenewInterval.Milliseconds()
		r.Timeout += c.cfg.RenewInterval
		if !t.starting {
			c.setState(t, TargetHeld)
		}
	}
	t.renewalID = c.callServer(t, r)
	c.emit(ExtendLease{Target: t.target, Term: t.term, Until: t.grantor.Expiry()})
}

// sendSetChange requests a change of the grant set to the desired one. The whole set is
// replaced if the current one is unknown or if a release is outstanding.
func (c *Core) sendSetChange(t *controlledTarget, desired map[int]uint64) {
	t.setVersion++
	r := c.newServerRequest(t)
	r.SetVersion = t.setVersion
	if t.synced && t.releaseCall.id == 0 {
		r.Grants = toRanges(grantsToAdd(desired, t.granted), desired)
		r.Removals = toRanges(grantsToRemove(desired, t.granted), nil)
	} else {
		r.Replace = true
		r.Grants = toRanges(grantsToAdd(desired, nil), desired)
	}
	if t.synced {
		t.attachStamp(&r)
	}
	t.setChange = pendingCall{desired: desired, setVersion: t.setVersion, id: c.callServer(t, r)}
}

func (c *Core) callServer(t *controlledTarget, r ServerRequest) uint64 {
	id := c.nextID()
	c.emit(CallServer{ID: id, Target: t.target, Address: c.rowsByTarget[t.target].Address, Request: r})
	return id
}

func (c *Core) onServerReply(e ServerReplied) {
	t := c.controlled[e.Target]
	if t == nil {
		return
	}
	switch e.ID {
	case t.renewalID:
		t.renewalID = 0
	case t.setChange.id:
		c.onSetChangeReply(t, e)
	case t.releaseCall.id:
		c.onReleaseReply(t, e)
		return
	default:
		return
	}
	if e.Err != nil {
		c.onCallFailed(t, e)
		return
	}
	if e.Reply.Term != t.term {
		return
	}
	if t.bootID != "" && e.Reply.BootID != t.bootID {
		c.onServerRestart(t)
	}
	t.bootID, t.max = e.Reply.BootID, max(t.max, e.Reply.MaxEpoch)
	t.starting = e.Reply.State == "starting"
	if d := e.Reply.State == "draining"; d != t.draining {
		t.draining, t.nextReportAt = d, c.now
	}
	if !c.inContact() {
		return
	}
	t.grantor.Receive(c.now, e.Reply.Stamp)
}

// onSetChangeReply handles the result of a change to the grant set.
func (c *Core) onSetChangeReply(t *controlledTarget, e ServerReplied) {
	ch := t.setChange
	t.setChange = pendingCall{}
	t.synced = e.Err == nil && e.Reply.Term == t.term && e.Reply.SetVersion == ch.setVersion &&
		(t.bootID == "" || t.bootID == e.Reply.BootID)
	if !t.synced {
		return
	}
	t.needsDiff, c.viewDirty = true, true
	t.confirmedVersion = max(t.confirmedVersion, ch.setVersion)
	t.granted = maps.Clone(ch.desired)
	for p, release := range t.releases {
		if _, ok := t.granted[p]; ok && release.done {
			t.synced = false // a released partition must leave the set before the lease is extended
		}
		delete(t.granted, p)
	}
}

// onServerRestart handles a new process of the server. The lease of the old process may
// still be valid.
func (c *Core) onServerRestart(t *controlledTarget) {
	t.grantsNotBefore = t.grantor.Expiry()
	t.grantor.ForgetStamps()
	t.synced, t.granted, c.viewDirty = false, map[int]uint64{}, true
	if t.releaseCall.id != 0 {
		c.onReleaseReply(t, ServerReplied{Err: errRestarted}) // retries at the new process
	}
	c.log(false, "server.restarted", "target", t.target)
}

func (c *Core) onCallFailed(t *controlledTarget, e ServerReplied) {
	if errors.Is(e.Err, ErrStaleTerm) {
		t.seenTerm, t.granted = max(e.Reply.Term, t.term+1), map[int]uint64{}
		c.setState(t, TargetUnknown)
		t.nextReportAt = c.now
		c.log(false, "term.stale", "target", t.target, "term", t.term)
		return
	}
	t.retryAt = c.now + callRetryInterval
	if c.cfg.faults.noGrantorWait {
		t.grantor = lease.NewGrantor(lease.Config{}, 0)
	}
}

// toRanges returns the partitions, in ascending order, as ranges of equal epoch.
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

// grantsToAdd returns the partitions of want that are missing in have or have another
// epoch there.
func grantsToAdd(want, have map[int]uint64) []int {
	var ps []int
	for p, e := range want {
		if old, ok := have[p]; !ok || old != e {
			ps = append(ps, p)
		}
	}
	return ps
}

// grantsToRemove returns the partitions of have that are missing in want.
func grantsToRemove(want, have map[int]uint64) []int {
	var ps []int
	for p := range have {
		if _, ok := want[p]; !ok {
			ps = append(ps, p)
		}
	}
	return ps
}
