package table

// CapacityChange describes how the capacity of one service changes between two
// tables. Capacity is measured in slots, that is, concurrent requests.
type CapacityChange struct {
	Service string `json:"service"`
	// OldSlots and NewSlots are the total usable slots of the service's targets.
	OldSlots int `json:"old_slots"`
	NewSlots int `json:"new_slots"`
	// RemovedFraction is the fraction of the old capacity that the targets of the old
	// table lose, from 0 to 1. Capacity added on other targets does not offset it,
	// because new capacity is not ready at once.
	RemovedFraction float64 `json:"taken_away"`
}

// usableSlots returns the number of slots of a row that can be used for requests.
// It is 0 for a target that is drained or has weight 0, and is limited by the number
// of connections.
func (r Row) usableSlots() int {
	if r.Drain || r.Weight <= 0 {
		return 0
	}
	return min(r.Slots, r.Connections)
}

// capacityChanges returns the changes of capacity of the services of the old table, in
// its order. Services that only the next table has are left out.
func capacityChanges(old, next *Table) []CapacityChange {
	nextRows := indexBy(next.Rows, Row.ID)
	var list []CapacityChange
	for _, s := range old.Services {
		c := CapacityChange{Service: s.Name}
		removedSlots := 0
		for _, r := range old.RowsOf(s.Name) {
			c.OldSlots += r.usableSlots()
			removedSlots += max(0, r.usableSlots()-nextRows[r.ID()].usableSlots())
		}
		for _, r := range next.RowsOf(s.Name) {
			c.NewSlots += r.usableSlots()
		}
		if c.OldSlots > 0 {
			c.RemovedFraction = float64(removedSlots) / float64(c.OldSlots)
		}
		if removedSlots > 0 || c.NewSlots != c.OldSlots {
			list = append(list, c)
		}
	}
	return list
}

// LargestReduction returns the change that removes the largest fraction of a
// service's capacity, and false if no change removes capacity.
func (c Changes) LargestReduction() (CapacityChange, bool) {
	var largest CapacityChange
	for _, cc := range c.Capacity {
		if cc.RemovedFraction > largest.RemovedFraction {
			largest = cc
		}
	}
	return largest, largest.RemovedFraction > 0
}
