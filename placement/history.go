package placement

import "time"

// targetHistory is what a policy remembers of one target between plans.
type targetHistory struct {
	// lastListedAt is the time of the last plan whose input listed the target.
	lastListedAt time.Duration
	// available reports whether the target was usable, and neither lost nor leaving, in the
	// last plan. availableSince is the time at which it last became available.
	available      bool
	availableSince time.Duration
	// lastOutageAt is the time at which the target last became unavailable. outages is the
	// number of times that it did so since it was last available for longer than
	// outagesForgottenAfter.
	lastOutageAt time.Duration
	outages      int
	// holdDownUntil is the end of the hold-down.
	holdDownUntil time.Duration
	// lastReportAt, reportCount and unconfirmedDeviation belong to the load estimate: the
	// time of the last report, the number of reports, and the direction of a deviation that
	// the next report may confirm.
	lastReportAt         time.Duration
	reportCount          int
	unconfirmedDeviation int8
	// unconfirmed reports whether a load in the last report was outside the noise and not
	// yet confirmed.
	unconfirmed bool
	// overloaded reports whether the target is above its fair share. overloadedSince is the
	// time and overloadedAtReport the number of reports at which this began.
	overloaded         bool
	overloadedSince    time.Duration
	overloadedAtReport int
	// weight and slots are those of the target in the last plan. receiving reports whether it
	// could receive partitions then, see targetState.canReceive.
	weight    float64
	slots     int
	receiving bool
	// shareChanged reports whether the fair share has changed and the load has not been
	// adapted to it yet.
	shareChanged bool
}

// historyTTL is the time for which a target that has left the table is remembered.
const historyTTL = time.Hour

// outagesForgottenAfter is the time of uninterrupted availability after which the outages
// of a target no longer count.
const outagesForgottenAfter = 10 * time.Minute

// maxHoldDoublings limits the hold-down of a target with repeated outages to 8 times the
// initial one.
const maxHoldDoublings = 3

// observe records whether the target is available and starts the hold-down of one that has
// become available. The caller sets skipHoldDown if earlier outages are unknown or no
// partition has an owner yet.
func (h *targetHistory) observe(now time.Duration, t Target, skipHoldDown bool, th thresholds) {
	h.lastListedAt = now
	available := t.Usable && !t.Lost && !t.Leaving
	switch {
	case available && !h.available:
		h.availableSince = now
		switch {
		case skipHoldDown:
		case h.outages == 0:
			h.holdDownUntil = now + th.joinHold
		default:
			h.holdDownUntil = now + th.returnHold<<min(h.outages-1, maxHoldDoublings)
		}
	case !available && h.available:
		h.lastOutageAt = now
		h.outages++
	case available && now-h.availableSince > outagesForgottenAfter:
		h.outages = 0
	}
	h.available = available
}

// inHoldDown reports whether the target does not receive planned moves yet.
func (h *targetHistory) inHoldDown(now time.Duration) bool { return now < h.holdDownUntil }

// reportIsStale reports whether the last load report of the target is older than
// reportStaleAfter.
func (h *targetHistory) reportIsStale(now time.Duration) bool {
	return now-h.lastReportAt > reportStaleAfter
}

// confirmOverload records whether the target is above its fair share. It returns true once
// that has lasted for at least the time confirm, a load report has arrived since it began,
// and the last report has no unconfirmed load.
func (h *targetHistory) confirmOverload(now time.Duration, overloaded bool, confirm time.Duration) bool {
	if !overloaded {
		h.overloaded = false
		return false
	}
	if !h.overloaded {
		h.overloaded, h.overloadedSince, h.overloadedAtReport = true, now, h.reportCount
	}
	return now-h.overloadedSince >= confirm && h.reportCount > h.overloadedAtReport && !h.unconfirmed
}

// emptyFraction is the fraction of its fair share below which a target that starts to
// receive partitions is filled up.
const emptyFraction = 0.5

// updateCapacity records the weight and slots of the target, and whether it can receive
// partitions. It returns true if partitions are to be rebalanced for the target: if it
// starts to receive with few partitions, or if its weight or slots have changed. A target
// that stops receiving does not count: its partitions are reassigned to where there is room,
// and more moves would be churn. Neither does a target that returns with its partitions, as
// all targets do for a new planner.
func (h *targetHistory) updateCapacity(t *targetState, fairShare float64) bool {
	joined := !h.receiving && t.load < emptyFraction*fairShare
	capacityChanged := h.receiving && (t.Weight != h.weight || t.Slots != h.slots)
	h.receiving, h.weight, h.slots = t.canReceive, t.Weight, t.Slots
	return t.canReceive && (joined || capacityChanged)
}
