package ownership

// rebalanceControllers moves the control of targets from the member with the most targets to
// the one with the fewest while they differ by two or more, preferably of targets in another
// zone than the new controller. If there is nothing to move, it separates targets from
// controllers in the same zone.
func (c *Core) rebalanceControllers(next *Cell, s *controllerSpread) (changed bool) {
	for range next.Controllers {
		from, to := s.mostAndFewest()
		if s.count(from)-s.count(to) < 2 {
			break
		}
		best := -1
		for i, r := range next.Controllers {
			if r.Instance != from || c.planner.targetInfo(r.Target).state != TargetHeld {
				continue
			}
			if best < 0 || s.zones[to] != c.rowsByTarget[r.Target].Zone && s.zones[to] == c.rowsByTarget[next.Controllers[best].Target].Zone {
				best = i
			}
		}
		if best < 0 {
			break
		}
		c.moveControl(s, &next.Controllers[best], to)
		changed = true
	}
	return changed || c.separateZones(next, s)
}

// moveControl transfers a target in the state TargetHeld to another controller in a new term.
func (c *Core) moveControl(s *controllerSpread, r *Controller, to string) {
	c.log(true, "controller.named", "target", r.Target, "from", r.Instance, "to", to, "term", r.Term+1)
	s.move(r.Instance, to)
	r.Instance, r.Term, r.MinVersion = to, r.Term+1, c.highestPossibleVersion(r.Target)
}

// separateZones exchanges the controllers of two targets if one of them is in the zone of
// its controller and neither is after the exchange, so that the loss of a zone does not
// affect a target together with its controller. It exchanges one pair at a time.
func (c *Core) separateZones(next *Cell, s *controllerSpread) bool {
	sameZone := func(r Controller, instance string) bool { return c.rowsByTarget[r.Target].Zone == s.zones[instance] }
	for i := range next.Controllers {
		a := &next.Controllers[i]
		if s.count(a.Instance) < 0 || !sameZone(*a, a.Instance) || c.planner.targetInfo(a.Target).state != TargetHeld {
			continue
		}
		for j := range next.Controllers {
			b := &next.Controllers[j]
			if s.count(b.Instance) < 0 || sameZone(*a, b.Instance) || sameZone(*b, a.Instance) || c.planner.targetInfo(b.Target).state != TargetHeld {
				continue
			}
			instanceA, instanceB := a.Instance, b.Instance
			c.moveControl(s, a, instanceB)
			c.moveControl(s, b, instanceA)
			return true
		}
	}
	return false
}
