// Package membership judges which members of a cell are reachable. It counts
// acknowledged heartbeats for the own contact with a majority, and silence
// reports of the others for the loss of a member.
//
// The two windows fit together: a member that reports another one silent has
// acknowledged nothing of it for SilenceAfter and acknowledges nothing for
// SuspendFor. As ContactWindow is shorter than SilenceAfter, and ReportValid
// shorter than SuspendFor, a member that a majority reports silent is not in
// contact while the reports are valid, whatever it believes itself.
//
// A Tracker is owned by one goroutine.
package membership

import (
	"slices"
	"time"

	"github.com/boragegate/boragegate/lease"
)

// Config holds the windows of a tracker.
type Config struct {
	// Self is the ID of this member.
	Self string
	// ContactWindow is the age up to which an acknowledged heartbeat counts as contact.
	ContactWindow time.Duration
	// SilenceAfter is the time without a heartbeat after which a member is silent.
	SilenceAfter time.Duration
	// SuspendFor is the time for which a silent member is not acknowledged.
	SuspendFor time.Duration
	// ReportValid is the age of the answered stamp up to which a report is used.
	ReportValid time.Duration
	// ClaimAfter is the time for which a member may say that it is out of contact
	// before it is no longer acknowledged, so that it can be replaced.
	ClaimAfter time.Duration
	// GraceFor is the time for which a member that was suspended and is heard again
	// is acknowledged whatever it says. It is longer than the time without, so that
	// at some moment enough members acknowledge each other.
	GraceFor time.Duration
	// PauseAfter is the time between two calls of Advance from which this process
	// counts as paused: the time does not count as silence of others.
	PauseAfter time.Duration
	// KeepAcknowledging turns the suspension of silent members off. Only tests set it.
	KeepAcknowledging bool
}

// Silence is a report about a silent member.
type Silence struct {
	ID string
	// For is the time for which nothing has been heard.
	For time.Duration
}

// peer is what a tracker knows of another member.
type peer struct {
	heard     lease.Instant // last heartbeat of a member in contact
	any       lease.Instant // last heartbeat
	answered  lease.Instant // last heartbeat that was acknowledged
	claim     lease.Instant // start of the time in which it says that it is out of contact
	grace     lease.Instant // acknowledged until then
	silent    bool          // reported silent
	since     lease.Instant // start of the silence
	suspended lease.Instant // no acknowledgement before
	acked     lease.Instant // own time of the newest acknowledged heartbeat
	hasAck    bool
	version   uint64 // record version in the newest acknowledgement
	stamp     lease.Instant
	received  lease.Instant
	reports   []Silence
}

// Tracker is the reachability of the members as seen by one of them.
type Tracker struct {
	cfg     Config
	ids     []string
	peers   map[string]*peer
	last    lease.Instant
	scratch []lease.Instant
}

// New returns a tracker without members.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, peers: map[string]*peer{}}
}

// SetMembers replaces the members, in order. What is known of a member that
// stays is kept; a new member counts as heard now.
func (t *Tracker) SetMembers(now lease.Instant, ids []string) {
	old := t.peers
	t.ids, t.peers = slices.Clone(ids), make(map[string]*peer, len(ids))
	for _, id := range ids {
		if id == t.cfg.Self {
			continue
		}
		if p := old[id]; p != nil {
			t.peers[id] = p
		} else {
			t.peers[id] = &peer{heard: now, any: now}
		}
	}
}

// Forget drops what is known of a member, for example after it restarted.
func (t *Tracker) Forget(now lease.Instant, id string) {
	if t.peers[id] != nil {
		t.peers[id] = &peer{heard: now, any: now}
	}
}

// Majority is the number of members that make a majority.
func (t *Tracker) Majority() int { return len(t.ids)/2 + 1 }

// Advance notes the time and marks members silent. It returns true if a member
// became silent; the caller then sends its acknowledgements again.
func (t *Tracker) Advance(now lease.Instant) (noticed bool) {
	if gap := now - t.last; t.cfg.PauseAfter > 0 && gap > t.cfg.PauseAfter {
		for _, p := range t.peers {
			p.heard, p.any = min(now, p.heard+gap), min(now, p.any+gap)
		}
	}
	t.last = now
	for _, p := range t.peers {
		noticed = t.judge(now, p) || noticed
	}
	return noticed
}

// judge marks a member silent, or not silent, at now. A member that is heard but
// says that it is out of contact is reported for ReportValid only: after the
// suspension that follows it is acknowledged again, so that it can return.
func (t *Tracker) judge(now lease.Instant, p *peer) (noticed bool) {
	quiet := now - max(p.heard, p.answered)
	heard := now-p.any < t.cfg.SilenceAfter
	switch {
	case quiet < t.cfg.SilenceAfter || now < p.grace:
		p.silent = false
	case p.silent && heard && now-p.since >= t.cfg.ReportValid:
		p.silent, p.grace = false, p.suspended+t.cfg.GraceFor
	default:
		if noticed = !p.silent; noticed {
			p.since = now
		}
		p.silent, p.suspended = true, now+t.cfg.SuspendFor
	}
	return noticed
}

// Heard notes a heartbeat from a member, which says whether it is in contact. It
// returns false if the heartbeat must not be acknowledged.
func (t *Tracker) Heard(now lease.Instant, from string, contact bool) bool {
	p := t.peers[from]
	if p == nil {
		return false
	}
	t.judge(now, p)
	p.any = now
	switch {
	case contact:
		p.heard, p.claim = now, 0
	case p.claim == 0:
		p.claim = now
	}
	if t.Suspended(now, from) || p.claim > 0 && now-p.claim >= t.cfg.ClaimAfter && now >= p.grace {
		return false
	}
	p.answered = now
	return true
}

// Claims reports whether the member says that it is out of contact for some time.
func (t *Tracker) Claims(now lease.Instant, id string) bool {
	p := t.peers[id]
	return p != nil && p.claim > 0 && now-p.claim >= t.cfg.ClaimAfter
}

// Ready reports whether the member's last heartbeat is recent and says that it is in contact.
func (t *Tracker) Ready(now lease.Instant, id string) bool {
	if id == t.cfg.Self {
		return true
	}
	p := t.peers[id]
	return p != nil && p.claim == 0 && now-p.heard < t.cfg.SilenceAfter && !t.Suspended(now, id)
}

// Suspended reports whether the member is not acknowledged at now.
func (t *Tracker) Suspended(now lease.Instant, id string) bool {
	p := t.peers[id]
	return p != nil && now < p.suspended && !t.cfg.KeepAcknowledging
}

// Silent returns the members that this member reports silent, in order.
func (t *Tracker) Silent(now lease.Instant) []Silence {
	var out []Silence
	for _, id := range t.ids {
		if p := t.peers[id]; p != nil && p.silent {
			out = append(out, Silence{ID: id, For: now - max(p.heard, p.answered)})
		}
	}
	return out
}

// Acked notes an acknowledgement received at now of the own heartbeat sent at
// stamp, with the sender's record version and silence reports.
func (t *Tracker) Acked(now lease.Instant, from string, stamp lease.Instant, version uint64, reports []Silence) {
	p := t.peers[from]
	if p == nil || stamp > now || stamp < p.stamp {
		return
	}
	p.acked, p.hasAck, p.version = stamp, true, max(p.version, version)
	p.stamp, p.received, p.reports = stamp, now, reports
}

// ContactUntil returns the end of the contact with a majority. A cell of one
// member has no end.
func (t *Tracker) ContactUntil() lease.Instant {
	need := t.Majority() - 1
	if need <= 0 {
		return 1<<63 - 1
	}
	acks := t.scratch[:0]
	for _, p := range t.peers {
		if p.hasAck {
			acks = append(acks, p.acked)
		}
	}
	t.scratch = acks
	if len(acks) < need {
		return 0
	}
	slices.Sort(acks)
	return acks[len(acks)-need] + t.cfg.ContactWindow
}

// InContact reports whether a majority acknowledged a recent heartbeat.
func (t *Tracker) InContact(now lease.Instant) bool { return now < t.ContactUntil() }

// NewestVersion returns the highest record version in the acknowledgements that
// count for the contact at now.
func (t *Tracker) NewestVersion(now lease.Instant) (v uint64) {
	for _, p := range t.peers {
		if p.hasAck && now < p.acked+t.cfg.ContactWindow {
			v = max(v, p.version)
		}
	}
	return v
}

// AdoptedBy returns how many members, this one included, have acknowledged with
// at least the record version.
func (t *Tracker) AdoptedBy(version uint64) int {
	n := 1
	for _, p := range t.peers {
		if p.hasAck && p.version >= version {
			n++
		}
	}
	return n
}

// SilentToMajority reports whether a majority reports the member silent at now.
// It also returns a moment by which the member was out of contact.
func (t *Tracker) SilentToMajority(now lease.Instant, id string) (bool, lease.Instant) {
	if t.peers[id] == nil {
		return false, 0
	}
	ends := t.scratch[:0]
	if p := t.peers[id]; p.silent {
		ends = append(ends, max(p.heard, p.answered)+t.cfg.ContactWindow)
	}
	for other, p := range t.peers {
		if other == id || now-p.stamp > t.cfg.ReportValid {
			continue
		}
		for _, r := range p.reports {
			if r.ID == id {
				ends = append(ends, p.received-r.For+t.cfg.ContactWindow)
			}
		}
	}
	t.scratch = ends
	if len(ends) < t.Majority() {
		return false, 0
	}
	// The members that do not report silence can acknowledge, but are no majority.
	slices.Sort(ends)
	return true, ends[t.Majority()-1]
}
