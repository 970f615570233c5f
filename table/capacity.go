package table

// CapacityChange is the change of a service's capacity.
type CapacityChange struct {
	Service string `json:"service"`
	// OldSlots and NewSlots are the slots of all targets that can have work.
	OldSlots int `json:"old_slots"`
	NewSlots int `json:"new_slots"`
	// RemovedFraction is the share of the old capacity that its targets lose, from 0
	// to 1. Capacity that is added elsewhere does not offset it, because it is
	// not ready at once.
	RemovedFraction float64 `json:"taken_away"`
}

// usableSlots is the number of slots of a row that can have work.
func (r Row) usableSlots() int {
	if r.Drain || r.Weight <= 0 {
		return 0
	}
	return min(r.Slots, r.Connections)
}

// capacityChanges returns the services whose capacity changes, in the order of the old table.
func capacityChanges(old, next *Table) []CapacityChange {
	after := indexBy(next.Rows, Row.ID)
	var list []CapacityChange
	for _, s := range old.Services {
		c := CapacityChange{Service: s.Name}
		lost := 0
		for _, r := range old.RowsOf(s.Name) {
			c.OldSlots += r.usableSlots()
			lost += max(0, r.usableSlots()-after[r.ID()].usableSlots())
		}
		for _, r := range next.RowsOf(s.Name) {
			c.NewSlots += r.usableSlots()
		}
		if c.OldSlots > 0 {
			c.RemovedFraction = float64(lost) / float64(c.OldSlots)
		}
		if lost > 0 || c.NewSlots != c.OldSlots {
			list = append(list, c)
		}
	}
	return list
}

// LargestReduction returns the change that takes away the largest share, if any takes away something.
func (c Changes) LargestReduction() (CapacityChange, bool) {
	var most CapacityChange
	for _, cc := range c.Capacity {
		if cc.RemovedFraction > most.RemovedFraction {
			most = cc
		}
	}
	return most, most.RemovedFraction > 0
}
