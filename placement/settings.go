package placement

import "time"

// Settings are the constants of the weighted policy. Zero fields take the
// defaults. Pairs hold the value for services that prefer availability and for
// those that prefer stability.
type Settings struct {
	// BudgetInterval is the interval of the move budget. Default 10 s.
	BudgetInterval time.Duration
	// Budget is the part of a service's partitions that may move by planned
	// hand-over in an interval. Defaults 0.04 and 0.02.
	Budget, StableBudget float64
	// LeavingBudget is the part of the partitions that may leave draining
	// targets, or make room for those of lost targets, in a second. Default 0.1: a quarter of all targets drains within
	// the 3 s after which a leaving target gets no new work.
	LeavingBudget float64
	// Enter is the part by which a target's load must exceed its share before
	// load is moved away. Defaults 0.025 for both; the bound on imbalance is 0.05.
	Enter, StableEnter float64
	// Confirm is the time for which the excess must last. Defaults 10 s and 60 s.
	Confirm, StableConfirm time.Duration
	// Severe is the excess from which on the shorter Confirm applies to all services. Default 0.15.
	Severe float64
	// JoinHold is the time for which a new target must be usable before it gets planned moves. Default 2 s.
	JoinHold time.Duration
	// ReturnHold is the same for a target that was lost or left. It doubles with
	// each further loss, up to 8 times. Defaults 30 s and 120 s.
	ReturnHold, StableReturnHold time.Duration
	// Smoothing is the time constant of the load estimate. Default 5 min.
	// Larger changes are followed at once, see loads.
	Smoothing time.Duration
	// Outlier is the deviation from the smoothed load, in standard deviations of
	// one report, from which on a report needs a second one to count. Default 6,
	// which keeps false alarms below one in a year at 65,536 partitions and 10 s reports.
	Outlier float64
	// NoiseMargin is the number of standard deviations of the smoothed load by
	// which a target must exceed its share on top of Enter. Default 4.
	NoiseMargin float64
}

// withDefaults fills the zero fields.
func (s Settings) withDefaults() Settings {
	setDefault(&s.BudgetInterval, 10*time.Second)
	setDefault(&s.Budget, 0.04)
	setDefault(&s.StableBudget, 0.02)
	setDefault(&s.LeavingBudget, 0.1)
	setDefault(&s.Enter, 0.025)
	setDefault(&s.StableEnter, 0.025)
	setDefault(&s.Confirm, 10*time.Second)
	setDefault(&s.StableConfirm, 60*time.Second)
	setDefault(&s.Severe, 0.15)
	setDefault(&s.JoinHold, 2*time.Second)
	setDefault(&s.ReturnHold, 30*time.Second)
	setDefault(&s.StableReturnHold, 120*time.Second)
	setDefault(&s.Smoothing, 5*time.Minute)
	setDefault(&s.Outlier, 6)
	setDefault(&s.NoiseMargin, 4)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// thresholds are the settings that apply to one service.
type thresholds struct {
	budget, enter, severe                        float64
	confirm, severeConfirm, joinHold, returnHold time.Duration
}

func (s Settings) thresholds(stability bool) thresholds {
	th := thresholds{
		budget: s.Budget, enter: s.Enter, severe: s.Severe,
		confirm: s.Confirm, severeConfirm: s.Confirm, joinHold: s.JoinHold, returnHold: s.ReturnHold,
	}
	if stability {
		th.budget, th.enter, th.confirm = s.StableBudget, s.StableEnter, s.StableConfirm
		th.returnHold = s.StableReturnHold
	}
	return th
}
