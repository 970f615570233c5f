package placement

import "time"

// targetHistory is what a policy remembers of one target between plans.
type history struct {
	// lastListedAt is the time of the last plan whose input listed the target.
	seen time.Duration
	// available reports whether the target could receive partitions in the last plan.
	// availableSince is the time from which it could.
	up      bool
	upSince time.Duration
	// lastOutageAt is the time at which the target last became unavailable. outages counts
	// these times since the target was last available for longer than
	// outagesForgottenAfter.
	wentDown time.Duration
	losses   int
	// holdDownUntil is the end of the hold-down.
	heldUntil time.Duration
	// lastReportAt, reportCount and unconfirmedDeviation belong to the load estimate: the
	// time and number of reports, and the direction of a deviation that the next report may
	// confirm.
	reportAt time.Duration
	reports  int
	shift    int8
	// unconfirmed reports whether a load in the last report was outside the noise and not
	// yet confirmed.
	doubted bool
	// overloaded reports whether the target is above its fair share. overloadedSince is the
	// time and overloadedAtReport the number of reports at which this began.
	over        bool
	overSince   time.Duration
	overReports int
	// weight, slots and receiving are the values at the last plan.
	weight    float64
	slots     int
	receiving bool
	// shareChanged reports whether the fair share has changed and the load has not been
	// adapted to it yet.
	growing bool
}

// historyTTL is the time for which a target that has left the table is remembered.
const historyKept = time.Hour

// outagesForgottenAfter is the time of uninterrupted availability after which the outages
// of a target no longer count.
const steadyAfter = 10 * time.Minute

// maxHoldDoublings limits the hold-down of a target with repeated outages to 8 times the
// initial one.
const maxHoldDoublings = 3

// observe records whether the target can receive partitions and starts the hold-down of one
// that has become available. The argument first disables the hold-down; it is true if
// earlier outages are unknown or no partition has an owner yet.
func (h *history) observe(now time.Duration, t Target, first bool, th thresholds) {
	h.seen = now
	up := t.Usable && !t.Lost && !t.Leaving
	switch {
	case up && !h.up:
		h.upSince = now
		switch {
		case first:
		case h.losses == 0:
			h.heldUntil = now + th.joinHold
		default:
			h.heldUntil = now + th.returnHold<<min(h.losses-1, maxHoldDoublings)
		}
	case !up && h.up:
		h.wentDown = now
		h.losses++
	case up && now-h.upSince > steadyAfter:
		h.losses = 0
	}
	h.up = up
}

// inHoldDown reports whether the target does not receive planned moves yet.
func (h *history) held(now time.Duration) bool { return now < h.heldUntil }

// reportIsStale reports whether the last load report of the target is older than
// reportStaleAfter.
func (h *history) stale(now time.Duration) bool { return now-h.reportAt > reportStale }

// confirmOverload records whether the target is above its fair share. It returns true once
// that has lasted for the time confirm, with at least one new report and without an
// unconfirmed one.
func (h *history) noteOver(now time.Duration, over bool, confirm time.Duration) bool {
	if !over {
		h.over = false
		return false
	}
	if !h.over {
		h.over, h.overSince, h.overReports = true, now, h.reports
	}
	return now-h.overSince >= confirm && h.reports > h.overReports && !h.doubted
}

// emptyFraction is the fraction of its fair share below which a target that starts to
// receive partitions is filled up.
const emptyPart = 0.5

// updateLimits records the weight and slots of the target and returns whether partitions
// are to be rebalanced for it. A target that stops receiving does not count: its partitions
// are reassigned to where there is room, and more moves would be churn. Neither does a
// target that returns with its partitions, as all targets do for a new planner.
func (h *history) changed(n *node, share float64) bool {
	joined := !h.receiving && n.load < emptyPart*share
	limits := h.receiving && (n.Weight != h.weight || n.Slots != h.slots)
	h.receiving, h.weight, h.slots = n.receives, n.Weight, n.Slots
	return n.receives && (joined || limits)
}
