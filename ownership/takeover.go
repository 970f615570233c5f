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
	startedAt lease.Instant // time at which the planner was found lost; 0 if it is not lost
	// Record with which this instance becomes the planner.
	nextCell *Cell
	// Record version in the store when nextCell was made.
	baseVersion uint64
	// Change that moves targets of the planner to this instance while the store is unavailable.
	change *recordChange
	// Record with which this instance creates a cell.
	createdCell *Cell
}

// advanceTakeover replaces a planner that a majority reports silent, by a conditional
// write to the store. Members try one after the other in the order of the record.
func (c *Core) advanceTakeover() {
	c.finishTakeover()
	if !c.inContact() || c.isPlanner() {
		return
	}
	lost, _ := c.isLost(c.cell.Planner)
	if !lost || c.contact.NewestAckedVersion(c.now) > c.cell.Version {
		c.takeover = takeover{}
		return
	}
	if c.takeover.startedAt == 0 {
		c.takeover.startedAt = c.now
		c.cellObject.wasRead = false
	}
	if c.now < c.takeover.startedAt+lease.Instant(c.rank())*takeoverStagger {
		return
	}
	s := c.cellObject
	storeFailed := c.checkStoreTimeout(s)
	if s.ready(c.now) {
		if !s.wasRead {
			c.readObject(s)
		} else if s.lastSeen <= c.cell.Version {
			c.writeTakeover()
		}
	}
	// The outcome of a takeover write must be known first: if it took effect, it would
	// revert what is decided without it.
	if storeFailed && c.rank() == 0 && !s.mayHaveWritten() {
		c.actForPlanner()
	}
}

func (c *Core) writeTakeover() {
	if c.takeover.nextCell == nil || c.takeover.baseVersion != c.cellObject.lastSeen || c.takeover.nextCell.Version>>32 != c.cell.PlannerTerm+1 {
		c.takeover.baseVersion = c.cellObject.lastSeen
		next := c.cell.Clone()
		if !c.lineage.contains(c.cellObject.lastSeen) {
			// The planner wrote this record before it was lost, and no member has received
			// it.
			next = mergeCells(c.storeCell, c.cell)
		}
		next.Planner, next.PlannerTerm = c.cfg.Self.ID, c.cell.PlannerTerm+1
		next.Version = nextCellVersion(c.cell.Version, next.PlannerTerm, 0)
		c.takeover.nextCell = next
	}
	c.cellObject.wasRead = false // read before the next attempt
	c.writeObject(c.cellObject, c.takeover.nextCell.Version, c.takeover.nextCell)
}

// finishTakeover adopts a record that this instance has written with itself as planner.
func (c *Core) finishTakeover() {
	for _, next := range []*Cell{c.takeover.nextCell, c.takeover.createdCell} {
		if next == nil || c.cellObject.highestStored < next.Version {
			continue
		}
		c.takeover = takeover{}
		if c.cellObject.lastSeen != next.Version {
			return
		}
		old := c.cell
		c.adoptCell(next, false)
		if old != nil {
			c.broadcastCell(old)
		}
		return
	}
}

// isLeased reports whether the service of a target needs leases. If the service is unknown, it
// reports true.
func (c *Core) isLeased(target string) bool {
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
		if lost, _ := c.isLost(m.ID); !lost {
			n++
		}
	}
	return n
}

// actForPlanner moves the targets of a lost planner to this instance while the store is
// unavailable, if their services need no leases. Other targets wait for the store, which may
// have a last assignment of the planner that no member knows.
func (c *Core) actForPlanner() {
	if c.takeover.change == nil || c.takeover.change.base != c.cell.Version {
		next := c.cell.Clone()
		index := uint64(0)
		for i, m := range c.cell.Members {
			if m.ID == c.cfg.Self.ID {
				index = uint64(i) //nolint:gosec // a small index
			}
		}
		changed := false
		for i := range next.Controllers {
			if r := &next.Controllers[i]; r.Instance == c.cell.Planner && !c.isLeased(r.Target) {
				// Term+1 is left to the planner; the index separates the terms of several members.
				r.Instance, r.Term, r.MinVersion = c.cfg.Self.ID, r.Term+2+index, 0
				changed = true
			}
		}
		if !changed {
			return
		}
		next.Version = nextCellVersion(c.cell.Version, c.cell.PlannerTerm, index+1)
		c.takeover.change = &recordChange{
			object: c.cellObject, cell: next, base: c.cell.Version, version: next.Version, skipsStore: true,
		}
		c.log(true, "planner.targets_taken", "planner", c.cell.Planner, "version", next.Version)
	}
	c.advanceChange(c.takeover.change, false)
}
