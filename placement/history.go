package placement

import "time"

// history is what a policy remembers of one target between plans.
type history struct {
	// seen is the time of the last plan that listed the target.
	seen time.Duration
	// up says that the target could receive partitions at the last plan, upSince since when.
	up      bool
	upSince time.Duration
	// wentDown is the time of the last loss, losses the number of losses since the target was last steady.
	wentDown time.Duration
	losses   int
	// heldUntil is the end of the hold-down.
	heldUntil time.Duration
	// reportAt, reports and shift belong to the load estimate: time and number
	// of reports, and the direction of an unconfirmed deviation.
	reportAt time.Duration
	reports  int
	shift    int8
	// doubted says that part of the last report was outside the noise and not yet confirmed.
	doubted bool
	// over says that the target is above its share, overSince since when, overReports at which report.
	over        bool
	overSince   time.Duration
	overReports int
	// weight, slots and receiving are the values at the last plan.
	weight    float64
	slots     int
	receiving bool
	// growing says that the share has changed and the target is not filled up or emptied yet.
	growing bool
}

// historyKept is the time for which a target that left the table is remembered.
const historyKept = time.Hour

// steadyAfter is the time without a loss after which a target's losses are forgotten.
const steadyAfter = 10 * time.Minute

// maxHoldDoublings bounds the hold-down of a target that is lost again and again: 8 times the first.
const maxHoldDoublings = 3

// observe notes whether the target can receive partitions. first says that
// nothing is known of earlier losses or that no partition has an owner yet.
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

func (h *history) held(now time.Duration) bool { return now < h.heldUntil }

// stale says that the target's load has not been reported for long.
func (h *history) stale(now time.Duration) bool { return now-h.reportAt > reportStale }

// noteOver updates how long the target is above its share and returns whether that is confirmed.
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

// emptyPart is the part of its share below which a target that starts to receive is to be filled up.
const emptyPart = 0.5

// changed notes the target's limits and returns whether targets are to be
// filled up for it. A target that stops receiving does not count: what it had is
// placed where there is room, and further moves would be churn. Nor does one that
// comes back with its partitions, as all targets do for a new planner.
func (h *history) changed(n *node, share float64) bool {
	joined := !h.receiving && n.load < emptyPart*share
	limits := h.receiving && (n.Weight != h.weight || n.Slots != h.slots)
	h.receiving, h.weight, h.slots = n.receives, n.Weight, n.Slots
	return n.receives && (joined || limits)
}
