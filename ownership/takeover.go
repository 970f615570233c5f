package ownership

import (
	"time"

	"github.com/boragegate/boragegate/lease"
)

// takeoverStagger is the delay between the attempts of successive members to replace a
// lost planner.
const takeoverStagger = 100 * time.Millisecond

// takeover is the state of an instance that replaces a lost planner or creates a cell.
type takeover struct {
	since lease.Instant
	// Record that is being written.
	next *Cell
	// Version in the store when that record was made.
	base uint64
	// Moves the planner's targets to this instance while the store is unavailable.
	change *change
	// Record with which this instance creates a cell.
	founding *Cell
}

// advanceTakeover replaces a planner that a majority reports silent, by a conditional
// write to the store. Members try one after the other in the order of the record.
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
	// The outcome of a takeover write must be known first: if it took effect, it would
	// revert what is decided without it.
	if failed && c.rank() == 0 && !s.inDoubt() {
		c.actForPlanner()
	}
}

func (c *Core) writeTakeover() {
	if c.take.next == nil || c.take.base != c.cellSlot.seen || c.take.next.Version>>32 != c.cell.PlannerTerm+1 {
		c.take.base = c.cellSlot.seen
		next := c.cell.Clone()
		if !c.chain.has(c.cellSlot.seen) {
			// The planner wrote this record before it was lost, and no member has
			// received it.
			next = merge(c.storeCell, c.cell)
		}
		next.Planner, next.PlannerTerm = c.cfg.Self.ID, c.cell.PlannerTerm+1
		next.Version = nextCellVersion(c.cell.Version, next.PlannerTerm, 0)
		c.take.next = next
	}
	c.cellSlot.read = false // read before the next attempt
	c.writeObject(c.cellSlot, c.take.next.Version, c.take.next)
}

// finishTakeover adopts a record that this instance has written with itself as
// planner.
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

// rank returns the number of members before this one in the record that are not lost.
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

// actForPlanner moves the targets of a lost planner to this instance while the store
// is unavailable, if they own no partitions. Other targets wait for the store, which
// may have a last assignment of the planner that no member knows.
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
