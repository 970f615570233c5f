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
	// NoContactTolerance is the time for which a member may say that it is out of contact
	// before it is no longer acknowledged, so that it can be replaced.
	NoContactTolerance time.Duration
	// GracePeriod is the time for which a member that was suspended and is heard again
	// is acknowledged whatever it says. It is longer than the time without, so that
	// at some moment enough members acknowledge each other.
	GracePeriod time.Duration
	// PauseThreshold is the time between two calls of Advance from which this process
	// counts as paused: the time does not count as silence of others.
	PauseThreshold time.Duration
	// DisableSuspension turns the suspension of silent members off. Only tests set it.
	DisableSuspension bool
}

// SilenceReport is a report about a silent member.
type SilenceReport struct {
	ID string
	// SilentFor is the time for which nothing has been heard.
	SilentFor time.Duration
}

// peer is what a tracker knows of another member.
type peer struct {
	lastContactHeartbeat lease.Instant // last heartbeat of a member in contact
	any                  lease.Instant // last heartbeat
	lastAckSent          lease.Instant // last heartbeat that was acknowledged
	noContactSince       lease.Instant // start of the time in which it says that it is out of contact
	graceEnd             lease.Instant // acknowledged until then
	reportedSilent       bool          // reported silent
	silentSince          lease.Instant // start of the silence
	suspendedUntil       lease.Instant // no acknowledgement before
	ackedStamp           lease.Instant // own time of the newest acknowledged heartbeat
	hasAck               bool
	ackedVersion         uint64 // record version in the newest acknowledgement
	reportsStamp         lease.Instant
	reportsReceivedAt    lease.Instant
	reports              []SilenceReport
}

// Tracker is the reachability of the members as seen by one of them.
type Tracker struct {
	cfg         Config
	memberIDs   []string
	peers       map[string]*peer
	lastAdvance lease.Instant
	scratch     []lease.Instant
}

// New returns a tracker without members.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, peers: map[string]*peer{}}
}

// SetMembers replaces the members, in order. What is known of a member that
// stays is kept; a new member counts as heard now.
func (t *Tracker) SetMembers(now lease.Instant, ids []string) {
	old := t.peers
	t.memberIDs, t.peers = slices.Clone(ids), make(map[string]*peer, len(ids))
	for _, id := range ids {
		if id == t.cfg.Self {
			continue
		}
		if p := old[id]; p != nil {
			t.peers[id] = p
		} else {
			t.peers[id] = &peer{lastContactHeartbeat: now, any: now}
		}
	}
}

// ResetMember drops what is known of a member, for example after it restarted.
func (t *Tracker) ResetMember(now lease.Instant, id string) {
	if t.peers[id] != nil {
		t.peers[id] = &peer{lastContactHeartbeat: now, any: now}
	}
}

// Majority is the number of members that make a majority.
func (t *Tracker) Majority() int { return len(t.memberIDs)/2 + 1 }

// Advance notes the time and marks members silent. It returns true if a member
// became silent; the caller then sends its acknowledgements again.
func (t *Tracker) Advance(now lease.Instant) (noticed bool) {
	if gap := now - t.lastAdvance; t.cfg.PauseThreshold > 0 && gap > t.cfg.PauseThreshold {
		for _, p := range t.peers {
			p.lastContactHeartbeat, p.any = min(now, p.lastContactHeartbeat+gap), min(now, p.any+gap)
		}
	}
	t.lastAdvance = now
	for _, p := range t.peers {
		noticed = t.updateSilence(now, p) || noticed
	}
	return noticed
}

// updateSilence marks a member silent, or not silent, at now. A member that is heard but
// says that it is out of contact is reported for ReportValid only: after the
// suspension that follows it is acknowledged again, so that it can return.
func (t *Tracker) updateSilence(now lease.Instant, p *peer) (noticed bool) {
	quiet := now - max(p.lastContactHeartbeat, p.lastAckSent)
	heard := now-p.any < t.cfg.SilenceAfter
	switch {
	case quiet < t.cfg.SilenceAfter || now < p.graceEnd:
		p.reportedSilent = false
	case p.reportedSilent && heard && now-p.silentSince >= t.cfg.ReportValid:
		p.reportedSilent, p.graceEnd = false, p.suspendedUntil+t.cfg.GracePeriod
	default:
		if noticed = !p.reportedSilent; noticed {
			p.silentSince = now
		}
		p.reportedSilent, p.suspendedUntil = true, now+t.cfg.SuspendFor
	}
	return noticed
}

// RecordHeartbeat notes a heartbeat from a member, which says whether it is in contact. It
// returns false if the heartbeat must not be acknowledged.
func (t *Tracker) RecordHeartbeat(now lease.Instant, from string, contact bool) bool {
	p := t.peers[from]
	if p == nil {
		return false
	}
	t.updateSilence(now, p)
	p.any = now
	switch {
	case contact:
		p.lastContactHeartbeat, p.noContactSince = now, 0
	case p.noContactSince == 0:
		p.noContactSince = now
	}
	if t.Suspended(now, from) || p.noContactSince > 0 && now-p.noContactSince >= t.cfg.NoContactTolerance && now >= p.graceEnd {
		return false
	}
	p.lastAckSent = now
	return true
}

// ReportsNoContact reports whether the member says that it is out of contact for some time.
func (t *Tracker) ReportsNoContact(now lease.Instant, id string) bool {
	p := t.peers[id]
	return p != nil && p.noContactSince > 0 && now-p.noContactSince >= t.cfg.NoContactTolerance
}

// Ready reports whether the member's last heartbeat is recent and says that it is in contact.
func (t *Tracker) Ready(now lease.Instant, id string) bool {
	if id == t.cfg.Self {
		return true
	}
	p := t.peers[id]
	return p != nil && p.noContactSince == 0 && now-p.lastContactHeartbeat < t.cfg.SilenceAfter && !t.Suspended(now, id)
}

// Suspended reports whether the member is not acknowledged at now.
func (t *Tracker) Suspended(now lease.Instant, id string) bool {
	p := t.peers[id]
	return p != nil && now < p.suspendedUntil && !t.cfg.DisableSuspension
}

// SilenceReports returns the members that this member reports silent, in order.
func (t *Tracker) SilenceReports(now lease.Instant) []SilenceReport {
	var out []SilenceReport
	for _, id := range t.memberIDs {
		if p := t.peers[id]; p != nil && p.reportedSilent {
			out = append(out, SilenceReport{ID: id, SilentFor: now - max(p.lastContactHeartbeat, p.lastAckSent)})
		}
	}
	return out
}

// RecordAck notes an acknowledgement received at now of the own heartbeat sent at
// stamp, with the sender's record version and silence reports.
func (t *Tracker) RecordAck(now lease.Instant, from string, stamp lease.Instant, version uint64, reports []SilenceReport) {
	p := t.peers[from]
	if p == nil || stamp > now || stamp < p.reportsStamp {
		return
	}
	p.ackedStamp, p.hasAck, p.ackedVersion = stamp, true, max(p.ackedVersion, version)
	p.reportsStamp, p.reportsReceivedAt, p.reports = stamp, now, reports
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
			acks = append(acks, p.ackedStamp)
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

// NewestAckedVersion returns the highest record version in the acknowledgements that
// count for the contact at now.
func (t *Tracker) NewestAckedVersion(now lease.Instant) (v uint64) {
	for _, p := range t.peers {
		if p.hasAck && now < p.ackedStamp+t.cfg.ContactWindow {
			v = max(v, p.ackedVersion)
		}
	}
	return v
}

// AdoptionCount returns how many members, this one included, have acknowledged with
// at least the record version.
func (t *Tracker) AdoptionCount(version uint64) int {
	n := 1
	for _, p := range t.peers {
		if p.hasAck && p.ackedVersion >= version {
			n++
		}
	}
	return n
}

// ReportedSilentByMajority reports whether a majority reports the member silent at now.
// It also returns a moment by which the member was out of contact.
func (t *Tracker) ReportedSilentByMajority(now lease.Instant, id string) (bool, lease.Instant) {
	if t.peers[id] == nil {
		return false, 0
	}
	ends := t.scratch[:0]
	if p := t.peers[id]; p.reportedSilent {
		ends = append(ends, max(p.lastContactHeartbeat, p.lastAckSent)+t.cfg.ContactWindow)
	}
	for other, p := range t.peers {
		if other == id || now-p.reportsStamp > t.cfg.ReportValid {
			continue
		}
		for _, r := range p.reports {
			if r.ID == id {
				ends = append(ends, p.reportsReceivedAt-r.SilentFor+t.cfg.ContactWindow)
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
