package ownership

import (
	"time"

	"github.com/boragegate/boragegate/lease"
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
		next.Version = nextCellVersion(c.cell.Version, next.PlannerTerm, 0)
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

func (c *Core) leased(target string) bool {
	svc, ok := c.tableService(serviceOf(target))
	return !ok || svc.Leased()
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
// down, if they own no partitions. Others wait for the store, which may have a
// last assignment of the planner that nobody else knows.
func (c *Core) actForPlanner() {
	if c.take.change == nil || c.take.change.base != c.cell.Version {
		next := c.cell.Clone()
		index := uint64(0)
		for i, m := range c.cell.Members {
			if m.ID == c.cfg.Self.ID {
				index = uint64(i) //nolint:gosec // a small index
			}
		}
		changed := false
		for i := range next.Controllers {
			if r := &next.Controllers[i]; r.Instance == c.cell.Planner && !c.leased(r.Target) {
				r.Instance, r.Term, r.MinVersion = c.cfg.Self.ID, r.Term+2+index, 0
				changed = true
			}
		}
		if !changed {
			return
		}
		next.Version = nextCellVersion(c.cell.Version, c.cell.PlannerTerm, index+1)
		c.take.change = &change{
			slot: c.cellSlot, cell: next, base: c.cell.Version, version: next.Version, proposeOnly: true,
		}
		c.record(true, "planner.targets_taken", "planner", c.cell.Planner, "version", next.Version)
	}
	c.advanceChange(c.take.change, false)
}
