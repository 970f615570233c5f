package placement

import "time"

// targetHistory is what a policy remembers of one target between plans.
type targetHistory struct {
	// lastListedAt is the time of the last plan that listed the target.
	lastListedAt time.Duration
	// available says that the target could receive partitions at the last plan, availableSince since when.
	available      bool
	availableSince time.Duration
	// lastOutageAt is the time of the last loss, losses the number of losses since the target was last steady.
	lastOutageAt time.Duration
	outages      int
	// holdDownUntil is the end of the hold-down.
	holdDownUntil time.Duration
	// lastReportAt, reports and shift belong to the load estimate: time and number
	// of reports, and the direction of an unconfirmed deviation.
	lastReportAt         time.Duration
	reportCount          int
	unconfirmedDeviation int8
	// unconfirmed says that part of the last report was outside the noise and not yet confirmed.
	unconfirmed bool
	// overloaded says that the target is above its share, overloadedSince since when, overloadedAtReport at which report.
	overloaded         bool
	overloadedSince    time.Duration
	overloadedAtReport int
	// weight, slots and receiving are the values at the last plan.
	weight    float64
	slots     int
	receiving bool
	// shareChanged says that the share has changed and the target is not filled up or emptied yet.
	shareChanged bool
}

// historyTTL is the time for which a target that left the table is remembered.
const historyTTL = time.Hour

// outagesForgottenAfter is the time without a loss after which a target's losses are forgotten.
const outagesForgottenAfter = 10 * time.Minute

// maxHoldDoublings bounds the hold-down of a target that is lost again and again: 8 times the first.
const maxHoldDoublings = 3

// observe notes whether the target can receive partitions. first says that
// nothing is known of earlier losses or that no partition has an owner yet.
func (h *targetHistory) observe(now time.Duration, t Target, first bool, th thresholds) {
	h.lastListedAt = now
	up := t.Usable && !t.Lost && !t.Leaving
	switch {
	case up && !h.available:
		h.availableSince = now
		switch {
		case first:
		case h.outages == 0:
			h.holdDownUntil = now + th.joinHold
		default:
			h.holdDownUntil = now + th.returnHold<<min(h.outages-1, maxHoldDoublings)
		}
	case !up && h.available:
		h.lastOutageAt = now
		h.outages++
	case up && now-h.availableSince > outagesForgottenAfter:
		h.outages = 0
	}
	h.available = up
}

func (h *targetHistory) inHoldDown(now time.Duration) bool { return now < h.holdDownUntil }

// reportIsStale says that the target's load has not been reported for long.
func (h *targetHistory) reportIsStale(now time.Duration) bool {
	return now-h.lastReportAt > reportStaleAfter
}

// confirmOverload updates how long the target is above its share and returns whether that is confirmed.
func (h *targetHistory) confirmOverload(now time.Duration, over bool, confirm time.Duration) bool {
	if !over {
		h.overloaded = false
		return false
	}
	if !h.overloaded {
		h.overloaded, h.overloadedSince, h.overloadedAtReport = true, now, h.reportCount
	}
	return now-h.overloadedSince >= confirm && h.reportCount > h.overloadedAtReport && !h.unconfirmed
}

// emptyFraction is the part of its share below which a target that starts to receive is to be filled up.
const emptyFraction = 0.5

// updateLimits notes the target's limits and returns whether targets are to be
// filled up for it. A target that stops receiving does not count: what it had is
// placed where there is room, and further moves would be churn. Nor does one that
// comes back with its partitions, as all targets do for a new planner.
func (h *targetHistory) updateLimits(n *targetState, share float64) bool {
	joined := !h.receiving && n.load < emptyFraction*share
	limits := h.receiving && (n.Weight != h.weight || n.Slots != h.slots)
	h.receiving, h.weight, h.slots = n.canReceive, n.Weight, n.Slots
	return n.canReceive && (joined || limits)
}
