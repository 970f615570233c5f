package ownership

import (
	"time"

	"github.com/boragegate/boragegate/lease"
)

// takeoverStagger separates the attempts of members to replace a lost planner.
const takeoverStagger = 100 * time.Millisecond

// takeover is the state of a member that replaces a lost planner.
type takeover struct {
	startedAt lease.Instant
	// nextCell is the record that is being written.
	nextCell *Cell
	// baseVersion is the version that the store had when next was made.
	baseVersion uint64
	// change moves the planner's targets while the store is down.
	change *recordChange
	// createdCell is the record with which this instance founds a cell.
	createdCell *Cell
}

// advanceTakeover replaces a planner that a majority reports silent, through a
// conditional write. Members try one after the other in the record's order.
func (c *Core) advanceTakeover() {
	c.finishTakeover()
	if !c.inContact() || c.isPlanner() {
		return
	}
	lost, _ := c.lostToMajority(c.cell.Planner)
	if !lost || c.contact.NewestVersion(c.now) > c.cell.Version {
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
	failed := c.checkStoreTimeout(s)
	if s.ready(c.now) {
		if !s.wasRead {
			c.readObject(s)
		} else if s.lastSeen <= c.cell.Version {
			c.writeTakeover()
		}
	}
	// A takeover that may be in the store has to be known first: what is decided
	// without it would be reverted by it.
	if failed && c.rank() == 0 && !s.mayHaveWritten() {
		c.actForPlanner()
	}
}

func (c *Core) writeTakeover() {
	if c.takeover.nextCell == nil || c.takeover.baseVersion != c.cellObject.lastSeen || c.takeover.nextCell.Version>>32 != c.cell.PlannerTerm+1 {
		c.takeover.baseVersion = c.cellObject.lastSeen
		next := c.cell.Clone()
		if !c.lineage.contains(c.cellObject.lastSeen) {
			// The planner wrote before it was lost; nobody was told.
			next = mergeCells(c.storeCell, c.cell)
		}
		next.Planner, next.PlannerTerm = c.cfg.Self.ID, c.cell.PlannerTerm+1
		next.Version = nextCellVersion(c.cell.Version, next.PlannerTerm, 0)
		c.takeover.nextCell = next
	}
	c.cellObject.wasRead = false // read before the next attempt
	c.writeObject(c.cellObject, c.takeover.nextCell.Version, c.takeover.nextCell)
}

// finishTakeover adopts a record that this instance has written as planner.
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

func (c *Core) isLeased(target string) bool {
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
		if lost, _ := c.lostToMajority(m.ID); !lost {
			n++
		}
	}
	return n
}

// actForPlanner takes over the targets of a lost planner while the store is
// down, if they own no partitions. Others wait for the store, which may have a
// last assignment of the planner that nobody else knows.
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
