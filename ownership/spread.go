package ownership

// controllerSpread tracks the number of targets that each member controls, to distribute
// them evenly.
type controllerSpread struct {
	core       *Core
	candidates []Member          // members that may control targets
	counts     map[string]int    // targets of each candidate, by ID
	zones      map[string]string // zone of each candidate, by ID
	limit      int               // number of targets per candidate if evenly distributed, rounded up
}

func newControllerSpread(core *Core, cell *Cell, eligible []Member) *controllerSpread {
	s := &controllerSpread{core: core, candidates: eligible, counts: make(map[string]int, len(eligible)), zones: make(map[string]string, len(eligible))}
	for _, m := range eligible {
		s.counts[m.ID], s.zones[m.ID] = 0, m.Zone
	}
	total := len(cell.Controllers)
	for _, r := range cell.Controllers {
		if _, ok := s.counts[r.Instance]; ok {
			s.counts[r.Instance]++
		}
	}
	if core.table != nil {
		total = max(total, len(core.table.Rows))
	}
	s.limit = (total + len(eligible) - 1) / len(eligible)
	return s
}

// count returns the number of targets that a member controls, or -1 if it is not a
// candidate.
func (s *controllerSpread) count(id string) int {
	if n, ok := s.counts[id]; ok {
		return n
	}
	return -1
}

func (s *controllerSpread) move(from, to string) {
	s.counts[from]--
	s.counts[to]++
}

// pick selects a controller for a target and counts the target for it. It prefers a member
// below the limit, then one in another zone than the target, then the one with the fewest
// targets.
func (s *controllerSpread) pick(target string) string {
	zone := s.core.rowsByTarget[target].Zone
	best := s.candidates[0]
	for _, m := range s.candidates[1:] {
		if s.isBetter(m, best, zone) {
			best = m
		}
	}
	s.counts[best.ID]++
	return best.ID
}

// isBetter reports whether a is preferred to b as the controller of a target in the zone.
func (s *controllerSpread) isBetter(a, b Member, zone string) bool {
	if fullA, fullB := s.counts[a.ID] >= s.limit, s.counts[b.ID] >= s.limit; fullA != fullB {
		return fullB
	}
	if sameZoneA, sameZoneB := a.Zone == zone, b.Zone == zone; sameZoneA != sameZoneB {
		return sameZoneB
	}
	return s.counts[a.ID] < s.counts[b.ID]
}

// mostAndFewest returns the members with the most and the fewest targets.
func (s *controllerSpread) mostAndFewest() (most, fewest string) {
	most, fewest = s.candidates[0].ID, s.candidates[0].ID
	for _, m := range s.candidates {
		if s.counts[m.ID] > s.counts[most] {
			most = m.ID
		}
		if s.counts[m.ID] < s.counts[fewest] {
			fewest = m.ID
		}
	}
	return most, fewest
}
