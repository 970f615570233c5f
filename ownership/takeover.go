package ownership

import (
	"slices"
	"time"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/placement"
)

// takeoverStagger separates the attempts of members to replace a lost planner.
const takeoverStagger = 100 * time.Millisecond

// takeover is the state of a member that replaces a lost planner.
type takeover struct {
	since lease.Instant
	// next is the record that is being written.
	next *Cell
	// base is the version that the store had when next was made.
	base uint64
	// change moves the planner's targets while the store is down.
	change *change
	// seals are the versions that void what the planner may have on its way, by service.
	seals map[string]*change
	// founding is the record with which this instance founds a cell.
	founding *Cell
}

// advanceTakeover replaces a planner that a majority reports silent, through a
// conditional write. Members try one after the other in the record's order.
func (c *Core) advanceTakeover() {
	c.finishTakeover()
	if !c.inContact() || c.isPlanner() {
		return
	}
	lost, _ := c.lost(c.cell.Planner)
	if !lost || c.contact.NewestVersion(c.now) > c.cell.Version {
		c.take = takeover{}
		return
	}
	if c.take.since == 0 {
		c.take.since = c.now
		c.cellSlot.read = false
	}
	if c.now < c.take.since+lease.Instant(c.rank())*takeoverStagger {
		return
	}
	s := c.cellSlot
	failed := c.overdue(s)
	if s.ready(c.now) {
		if !s.read {
			c.readObject(s)
		} else if s.seen <= c.cell.Version {
			c.writeTakeover()
		}
	}
	// A takeover that may be in the store has to be known first: what is decided
	// without it would be reverted by it.
	if failed && c.rank() == 0 && !s.inDoubt() {
		c.actForPlanner()
	}
}

func (c *Core) writeTakeover() {
	if c.take.next == nil || c.take.base != c.cellSlot.seen || c.take.next.Version>>32 != c.cell.PlannerTerm+1 {
		c.take.base = c.cellSlot.seen
		next := c.cell.Clone()
		if !c.chain.has(c.cellSlot.seen) {
			// The planner wrote before it was lost; nobody was told.
			next = merge(c.storeCell, c.cell)
		}
		next.Planner, next.PlannerTerm = c.cfg.Self.ID, c.cell.PlannerTerm+1
		next.Version = nextVersion(c.cell.Version, next.PlannerTerm, 0)
		c.take.next = next
	}
	c.cellSlot.read = false // read before the next attempt
	c.writeObject(c.cellSlot, c.take.next.Version, c.take.next)
}

// finishTakeover adopts a record that this instance has written as planner.
func (c *Core) finishTakeover() {
	for _, next := range []*Cell{c.take.next, c.take.founding} {
		if next == nil || c.cellSlot.stored < next.Version {
			continue
		}
		c.take = takeover{}
		if c.cellSlot.seen != next.Version {
			return
		}
		old := c.cell
		c.adoptCell(next, false)
		if old != nil {
			c.tellCell(old)
		}
		return
	}
}

// rank is the number of living members before this one in the record's order.
func (c *Core) rank() int {
	n := 0
	for _, m := range c.cell.Members {
		if m.ID == c.cfg.Self.ID {
			break
		}
		if lost, _ := c.lost(m.ID); !lost {
			n++
		}
	}
	return n
}

// actForPlanner takes over the targets of a lost planner while the store is
// down. First it seals the assignments: a majority keeps a version above any that
// the planner may have on its way, so that what the planner decided and nobody
// knows is void.
func (c *Core) actForPlanner() {
	index := uint64(slices.IndexFunc(c.cell.Members, func(m Member) bool { return m.ID == c.cfg.Self.ID })) //nolint:gosec // a member
	next, sealed := c.cell.Clone(), true
	for i := range next.Controllers {
		r := &next.Controllers[i]
		if r.Instance != c.cell.Planner {
			continue
		}
		r.Instance, r.Term, r.MinVersion = c.cfg.Self.ID, r.Term+2+index, 0
		if s := c.services[serviceOf(r.Target)]; s != nil {
			ok := c.seal(s, index+1)
			r.MinVersion, sealed = s.version(), sealed && ok
		}
	}
	if !sealed {
		return
	}
	if c.take.change == nil || c.take.change.base != c.cell.Version {
		if slices.Equal(next.Controllers, c.cell.Controllers) {
			return
		}
		next.Version = nextVersion(c.cell.Version, c.cell.PlannerTerm, index+1)
		c.take.change = &change{
			slot: c.cellSlot, cell: next, base: c.cell.Version, version: next.Version, proposeOnly: true,
		}
		c.record(true, "planner.targets_taken", "planner", c.cell.Planner, "version", next.Version)
	}
	c.advanceChange(c.take.change, false)
}

// seal brings a version of this member into force that repeats the highest one
// that a majority may keep. It reports whether that is done.
func (c *Core) seal(s *serviceState, writer uint64) bool {
	if v, from := c.heardHighest(s); v > s.highest() {
		if c.now >= s.askAt {
			s.askAt = c.now + c.cfg.TickInterval
			c.send(from, AssignmentRequest{Service: s.name, Recover: c.cell.PlannerTerm, Have: s.highest()})
		}
		return false
	}
	base := s.newest()
	if base == nil {
		return true
	}
	ch := c.take.seals[s.name]
	if ch == nil || ch.version < base.Version {
		version := nextVersion(base.Version, c.cell.PlannerTerm, writer)
		ch = &change{
			slot: s.slot, a: base.With(version, nil), base: base.Version, version: version, proposeOnly: true,
			delta: placement.Delta{Service: s.name, From: base.Version, To: version},
		}
		if c.take.seals == nil {
			c.take.seals = map[string]*change{}
		}
		c.take.seals[s.name] = ch
	}
	c.advanceChange(ch, false)
	return ch.inForce
}
