package placement

import "time"

// Settings are the constants of the weighted policy. Zero fields take the defaults.
type Settings struct {
	// BudgetInterval is the interval of the move budget. Default 10 s.
	BudgetInterval time.Duration
	// Budget is the part of a service's partitions that may move by planned
	// hand-over in an interval. Defaults 0.04, with PreferStability 0.02.
	Budget, StableBudget float64
	// LeavingBudget is the part of the partitions that may leave draining
	// targets in a second. Default 0.1: a quarter of all targets drains within
	// the 3 s after which a leaving target gets no new work.
	LeavingBudget float64
}

// withDefaults fills the zero fields.
func (s Settings) withDefaults() Settings {
	defaultTo(&s.BudgetInterval, 10*time.Second)
	defaultTo(&s.Budget, 0.04)
	defaultTo(&s.StableBudget, 0.02)
	defaultTo(&s.LeavingBudget, 0.1)
	return s
}

func defaultTo[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
