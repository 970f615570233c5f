// Package membership detects failed members of a cell by heartbeats. A member is in
// contact while a majority acknowledges its heartbeats; it counts as lost when a
// majority reports it silent.
//
// The time windows ensure that a member is never both at the same time. A member that
// reports another one silent has not acknowledged the other's heartbeats for SilenceAfter
// and will not acknowledge them for SuspendFor. ContactWindow is shorter than
// SilenceAfter, and ReportValid is shorter than SuspendFor. Therefore a member that
// a majority reports silent is not in contact as long as the reports are valid, and
// it detects this without receiving any message.
//
// A Tracker is not safe for concurrent use.
package membership

import (
	"slices"
	"time"

	"github.com/boragegate/boragegate/lease"
)

// Config holds the time windows of a Tracker. The package documentation says which
// must be shorter than which.
type Config struct {
	// Self is the ID of the member that the tracker belongs to, called this member.
	Self string
	// ContactWindow is the maximum age of an acknowledged heartbeat that counts as
	// contact, counted from its sending.
	ContactWindow time.Duration
	// SilenceAfter is the time without a heartbeat after which a member is reported
	// silent.
	SilenceAfter time.Duration
	// SuspendFor is the time for which the heartbeats of a member that was reported
	// silent are not acknowledged.
	SuspendFor time.Duration
	// ReportValid is the maximum age of a silence report that is taken into account,
	// counted from the sending of the heartbeat whose acknowledgement has the report.
	ReportValid time.Duration
	// NoContactTolerance is the time after which the heartbeats of a member that reports to
	// be out of contact are no longer acknowledged, so that it becomes silent and can be
	// replaced.
	NoContactTolerance time.Duration
	// GracePeriod is the time after a suspension for which heartbeats are acknowledged even
	// if they report no contact. It is longer than the time without acknowledgements before
	// it (SilenceAfter, ReportValid and SuspendFor together), so that at some time enough
	// members acknowledge each other.
	GracePeriod time.Duration
	// PauseThreshold is the time between two calls of Advance above which this process
	// counts as having been paused. A pause does not count as silence of other members.
	// Zero disables the detection of pauses.
	PauseThreshold time.Duration
	// DisableSuspension makes the tracker acknowledge silent members as well, which is
	// unsafe. Only tests set it.
	DisableSuspension bool
}

// SilenceReport is the report of one member that another one is silent.
type SilenceReport struct {
	// ID is the ID of the silent member.
	ID string
	// SilentFor is the time since its last heartbeat that reported contact or was
	// acknowledged.
	SilentFor time.Duration
}

// peer is the state of another member. Zero times mean never.
type peer struct {
	lastContactHeartbeat lease.Instant // receipt of its last heartbeat that reported contact
	any                  lease.Instant // receipt of its last heartbeat, whatever it reported
	lastAckSent          lease.Instant // receipt of its last heartbeat that was acknowledged
	noContactSince       lease.Instant // receipt of the first heartbeat since which all have reported no contact; 0 if the last one reported contact
	graceEnd             lease.Instant // end of its last grace period
	reportedSilent       bool          // whether this member reports it silent
	silentSince          lease.Instant // time from which this member reports it silent
	suspendedUntil       lease.Instant // time until which its heartbeats are not acknowledged
	ackedStamp           lease.Instant // sending of this member's newest heartbeat that it acknowledged
	hasAck               bool          // whether it has acknowledged any heartbeat
	ackedVersion         uint64        // highest version of the cell record in its acknowledgements
	reportsStamp         lease.Instant // sending of the heartbeat whose acknowledgement had the reports
	reportsReceivedAt    lease.Instant // receipt of the reports
	reports              []SilenceReport
}

// Tracker holds the reachability of all members as seen by this member.
type Tracker struct {
	cfg         Config
	memberIDs   []string
	peers       map[string]*peer
	lastAdvance lease.Instant
	scratch     []lease.Instant // buffer that is reused by calls
}

// New returns a tracker without members.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, peers: map[string]*peer{}}
}

// SetMembers replaces the IDs of all members. Config.Self is one of them unless it has not been
// added yet or was removed. SilenceReports returns its reports in the order of the IDs. The
// state of members that stay is kept. A new member counts as if its heartbeat had just arrived.
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

// ResetMember resets the state of a member to that of a new one, after it restarted.
func (t *Tracker) ResetMember(now lease.Instant, id string) {
	if t.peers[id] != nil {
		t.peers[id] = &peer{lastContactHeartbeat: now, any: now}
	}
}

// Majority returns the number of members that form a majority, including this one.
func (t *Tracker) Majority() int { return len(t.memberIDs)/2 + 1 }

// Advance sets the current time and detects silent members. It returns true if a
// member became silent. The caller then sends its newest acknowledgements again, so
// that the others learn of it at once.
func (t *Tracker) Advance(now lease.Instant) (becameSilent bool) {
	if gap := now - t.lastAdvance; t.cfg.PauseThreshold > 0 && gap > t.cfg.PauseThreshold {
		for _, p := range t.peers {
			p.lastContactHeartbeat, p.any = min(now, p.lastContactHeartbeat+gap), min(now, p.any+gap)
		}
	}
	t.lastAdvance = now
	for _, p := range t.peers {
		becameSilent = t.updateSilence(now, p) || becameSilent
	}
	return becameSilent
}

// updateSilence marks a member as silent or not silent at now, and returns true if it
// became silent. A member whose heartbeats arrive but report no contact is reported
// silent for ReportValid only. After the suspension that follows, its heartbeats are
// acknowledged again, so that it can regain contact.
func (t *Tracker) updateSilence(now lease.Instant, p *peer) (becameSilent bool) {
	silenceTime := now - max(p.lastContactHeartbeat, p.lastAckSent)
	heartbeatsArrive := now-p.any < t.cfg.SilenceAfter
	switch {
	case silenceTime < t.cfg.SilenceAfter || now < p.graceEnd:
		p.reportedSilent = false
	case p.reportedSilent && heartbeatsArrive && now-p.silentSince >= t.cfg.ReportValid:
		p.reportedSilent, p.graceEnd = false, p.suspendedUntil+t.cfg.GracePeriod
	default:
		if becameSilent = !p.reportedSilent; becameSilent {
			p.silentSince = now
		}
		p.reportedSilent, p.suspendedUntil = true, now+t.cfg.SuspendFor
	}
	return becameSilent
}

// RecordHeartbeat records a heartbeat of a member and whether the member reports to
// be in contact. It returns false if the heartbeat must not be acknowledged, because the
// sender is not a member, is suspended, or has been out of contact for NoContactTolerance
// without a grace period.
func (t *Tracker) RecordHeartbeat(now lease.Instant, from string, inContact bool) bool {
	p := t.peers[from]
	if p == nil {
		return false
	}
	t.updateSilence(now, p)
	p.any = now
	switch {
	case inContact:
		p.lastContactHeartbeat, p.noContactSince = now, 0
	case p.noContactSince == 0:
		p.noContactSince = now
	}
	if t.IsSuspended(now, from) || p.noContactSince > 0 && now-p.noContactSince >= t.cfg.NoContactTolerance && now >= p.graceEnd {
		return false
	}
	p.lastAckSent = now
	return true
}

// ReportsNoContact reports whether the member has reported to be out of contact for at
// least NoContactTolerance.
func (t *Tracker) ReportsNoContact(now lease.Instant, id string) bool {
	p := t.peers[id]
	return p != nil && p.noContactSince > 0 && now-p.noContactSince >= t.cfg.NoContactTolerance
}

// IsReady reports whether the member's last heartbeat is recent and reported contact, and
// the member is not suspended. This member is always ready.
func (t *Tracker) IsReady(now lease.Instant, id string) bool {
	if id == t.cfg.Self {
		return true
	}
	p := t.peers[id]
	return p != nil && p.noContactSince == 0 && now-p.lastContactHeartbeat < t.cfg.SilenceAfter && !t.IsSuspended(now, id)
}

// IsSuspended reports whether the member's heartbeats are not acknowledged at now because
// it was reported silent.
func (t *Tracker) IsSuspended(now lease.Instant, id string) bool {
	p := t.peers[id]
	return p != nil && now < p.suspendedUntil && !t.cfg.DisableSuspension
}

// SilenceReports returns this member's reports of silent members, in the order of
// SetMembers.
func (t *Tracker) SilenceReports(now lease.Instant) []SilenceReport {
	var out []SilenceReport
	for _, id := range t.memberIDs {
		if p := t.peers[id]; p != nil && p.reportedSilent {
			out = append(out, SilenceReport{ID: id, SilentFor: now - max(p.lastContactHeartbeat, p.lastAckSent)})
		}
	}
	return out
}

// RecordAck records an acknowledgement, received at now, of the heartbeat that this
// member sent at stamp. The version of the cell record and the silence reports are those
// of the member that acknowledged it. Acknowledgements are ignored if their stamp is in the
// future or older than the newest one that the member acknowledged.
func (t *Tracker) RecordAck(now lease.Instant, from string, stamp lease.Instant, version uint64, reports []SilenceReport) {
	p := t.peers[from]
	if p == nil || stamp > now || stamp < p.reportsStamp {
		return
	}
	p.ackedStamp, p.hasAck, p.ackedVersion = stamp, true, max(p.ackedVersion, version)
	p.reportsStamp, p.reportsReceivedAt, p.reports = stamp, now, reports
}

// ContactUntil returns the time at which the contact with a majority ends unless more
// heartbeats are acknowledged. It returns 0 if no majority has acknowledged any, and the
// maximum time for the only member of a cell.
func (t *Tracker) ContactUntil() lease.Instant {
	required := t.Majority() - 1
	if required <= 0 {
		return 1<<63 - 1
	}
	stamps := t.scratch[:0]
	for _, p := range t.peers {
		if p.hasAck {
			stamps = append(stamps, p.ackedStamp)
		}
	}
	t.scratch = stamps
	if len(stamps) < required {
		return 0
	}
	slices.Sort(stamps)
	return stamps[len(stamps)-required] + t.cfg.ContactWindow
}

// InContact reports whether a majority, including this member, has acknowledged recent
// heartbeats of this member.
func (t *Tracker) InContact(now lease.Instant) bool { return now < t.ContactUntil() }

// NewestAckedVersion returns the highest version of the cell record that was reported by
// the members whose acknowledgements count as contact at now.
func (t *Tracker) NewestAckedVersion(now lease.Instant) (v uint64) {
	for _, p := range t.peers {
		if p.hasAck && now < p.ackedStamp+t.cfg.ContactWindow {
			v = max(v, p.ackedVersion)
		}
	}
	return v
}

// AdoptionCount returns the number of other members that have reported at least the given
// version of the cell record in an acknowledgement, plus one for this member.
func (t *Tracker) AdoptionCount(version uint64) int {
	count := 1
	for _, p := range t.peers {
		if p.hasAck && p.ackedVersion >= version {
			count++
		}
	}
	return count
}

// ReportedSilentByMajority reports whether a majority reports the member silent at now.
// If so, it also returns a time by which the member has lost contact. It may lie in the future,
// because heartbeats of the member that were not acknowledged count too.
func (t *Tracker) ReportedSilentByMajority(now lease.Instant, id string) (bool, lease.Instant) {
	if t.peers[id] == nil {
		return false, 0
	}
	contactEnds := t.scratch[:0]
	if p := t.peers[id]; p.reportedSilent {
		contactEnds = append(contactEnds, max(p.lastContactHeartbeat, p.lastAckSent)+t.cfg.ContactWindow)
	}
	for other, p := range t.peers {
		if other == id || now-p.reportsStamp > t.cfg.ReportValid {
			continue
		}
		for _, r := range p.reports {
			if r.ID == id {
				contactEnds = append(contactEnds, p.reportsReceivedAt-r.SilentFor+t.cfg.ContactWindow)
			}
		}
	}
	t.scratch = contactEnds
	if len(contactEnds) < t.Majority() {
		return false, 0
	}
	// By this time, the acknowledgements of a majority are too old to count as contact. The
	// remaining members may still acknowledge heartbeats, but they are not a majority.
	slices.Sort(contactEnds)
	return true, contactEnds[t.Majority()-1]
}
