package ownership

// controllerSpread counts the targets of each member to keep controllers spread evenly.
type controllerSpread struct {
	core       *Core
	candidates []Member
	counts     map[string]int
	zones      map[string]string
	limit      int
}

func newControllerSpread(c *Core, cell *Cell, can []Member) *controllerSpread {
	s := &controllerSpread{core: c, candidates: can, counts: make(map[string]int, len(can)), zones: make(map[string]string, len(can))}
	for _, m := range can {
		s.counts[m.ID], s.zones[m.ID] = 0, m.Zone
	}
	total := len(cell.Controllers)
	for _, r := range cell.Controllers {
		if _, ok := s.counts[r.Instance]; ok {
			s.counts[r.Instance]++
		}
	}
	if c.table != nil {
		total = max(total, len(c.table.Rows))
	}
	s.limit = (total + len(can) - 1) / len(can)
	return s
}

// count returns the number of targets of a member, or -1 if it may control none.
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

// pick chooses a controller: one with room, in another zone than the target,
// with the fewest targets.
func (s *controllerSpread) pick(target string) string {
	zone := s.core.rowsByTarget[target].Zone
	best := s.candidates[0]
	for _, m := range s.candidates[1:] {
		if s.better(m, best, zone) {
			best = m
		}
	}
	s.counts[best.ID]++
	return best.ID
}

func (s *controllerSpread) better(a, b Member, zone string) bool {
	if fa, fb := s.counts[a.ID] >= s.limit, s.counts[b.ID] >= s.limit; fa != fb {
		return fb
	}
	if za, zb := a.Zone == zone, b.Zone == zone; za != zb {
		return zb
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
