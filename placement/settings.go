package placement

import "time"

// Settings are the parameters of the weighted policy. Fields that are zero take their
// defaults. Where there are two fields, the one with the prefix Stable is for services that
// prefer stability, the other for those that prefer availability.
type Settings struct {
	// BudgetInterval is the interval to which Budget and StableBudget apply. Default 10 s.
	BudgetInterval time.Duration
	// Budget is the fraction of the partitions of a service that may move by planned
	// handover in one interval. Defaults 0.04 and 0.02.
	Budget, StableBudget float64
	// LeavingBudget is the fraction of the partitions per second that may move off leaving
	// targets, or move to make room for those of lost targets. Default 0.1: a quarter of all
	// targets drains within the 3 s after which a leaving target receives no new work.
	LeavingBudget float64
	// Enter is the fraction by which the load of a target must exceed its fair share before
	// load is moved off. Default 0.025 for both; the allowed imbalance is 0.05.
	Enter, StableEnter float64
	// Confirm is the time for which the excess must last. Defaults 10 s and 60 s.
	Confirm, StableConfirm time.Duration
	// Severe is the excess, as a fraction of the fair share, above which Confirm applies to
	// all services, in place of StableConfirm. Default 0.15.
	Severe float64
	// JoinHold is the time for which a new target must be usable before it receives planned
	// moves. Default 2 s.
	JoinHold time.Duration
	// ReturnHold applies instead of JoinHold to a target that was unavailable before. It
	// doubles with each further outage, up to 8 times its value. Defaults 30 s and 120 s.
	ReturnHold, StableReturnHold time.Duration
	// Smoothing is the time constant of the exponential smoothing of loads. Default 5 min.
	// Changes outside the noise take effect without smoothing once they are confirmed.
	Smoothing time.Duration
	// Outlier is the deviation from the smoothed load, in standard deviations of one
	// report, above which a load must be confirmed by a second report. Default 6, which
	// keeps false alarms below one per year with 65,536 partitions and reports every 10 s.
	Outlier float64
	// NoiseMargin is the number of standard deviations of the smoothed load by which a
	// target must exceed its fair share in addition to Enter. Default 4.
	NoiseMargin float64
}

// withDefaults returns the settings with the default in place of each zero.
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
