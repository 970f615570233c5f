package ownership

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/store"
)

// Kinds of the stored objects.
const (
	kindCell       = "cell"
	kindAssignment = "assignment"
)

// abandonAfter is the number of store timeouts after which an unanswered call is
// abandoned. A write that nevertheless took effect is still recognised by its writer.
const abandonAfter = 20

// slot is one object in the store, with at most one outstanding call.
type slot struct {
	kind, name string
	service    string
	// Newest known version in the store; 0 before the first read and if the object is
	// absent.
	version store.Version
	// Whether the object has been read since the start of this process; reset to read
	// it again.
	read    bool
	op      uint64
	issued  lease.Instant
	writing uint64 // record version of the outstanding write, 0 for a read
	seen    uint64 // record version last seen in the store
	failed  bool   // the last call failed or timed out
	doubt   bool   // a write may have taken effect; cleared once the stored object is known
	retryAt lease.Instant
	// Highest record version known to have been stored.
	stored uint64
}

// ready reports whether a call may be issued.
func (s *slot) ready(now lease.Instant) bool { return s.op == 0 && now >= s.retryAt }

// inDoubt reports whether a write whose outcome is unknown may have taken effect.
func (s *slot) inDoubt() bool { return s.doubt || s.op != 0 && s.writing > 0 }

func (c *Core) readObject(s *slot) {
	s.op, s.issued, s.writing = c.nextID(), c.now, 0
	c.ops[s.op] = s
	c.emit(ReadObject{ID: s.op, Kind: s.kind, Name: s.name})
}

// writeObject writes a record at the given version. The writer identifies the record
// version and the process, so that a write is recognised if its reply was lost.
func (c *Core) writeObject(s *slot, version uint64, v any) {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err) // records hold only strings and numbers
	}
	s.op, s.issued, s.writing = c.nextID(), c.now, version
	c.ops[s.op] = s
	c.emit(WriteObject{ID: s.op, Object: store.Object{
		Kind: s.kind, Name: s.name, Version: s.version, Writer: c.writer(version), Value: value,
	}})
}

func (c *Core) writer(version uint64) string {
	return c.cfg.Incarnation + "/" + strconv.FormatUint(version, 10)
}

// own returns the record version of a write that was made by this process.
func (c *Core) own(writer string) (uint64, bool) {
	rest, ok := strings.CutPrefix(writer, c.cfg.Incarnation+"/")
	if !ok {
		return 0, false
	}
	v, err := strconv.ParseUint(rest, 10, 64)
	return v, err == nil
}

// overdue marks an object as failed if its call was not answered within the store
// timeout, and reports whether it is marked. A late reply is still used until the call
// is abandoned.
func (c *Core) overdue(s *slot) bool {
	if s.op != 0 && c.now-s.issued >= c.cfg.StoreTimeout {
		s.failed = true
	}
	if s.op != 0 && c.now-s.issued >= abandonAfter*c.cfg.StoreTimeout {
		delete(c.ops, s.op)
		s.op, s.doubt = 0, s.doubt || s.writing > 0
	}
	return s.failed
}

func (c *Core) onStore(e StoreReplied) {
	s := c.ops[e.ID]
	if s == nil {
		return
	}
	delete(c.ops, e.ID)
	s.op = 0
	wrote := s.writing
	known := e.Object.Version > 0 || e.Err == nil || errors.Is(e.Err, store.ErrNotFound)
	s.failed = !known
	if errors.Is(e.Err, store.ErrConflict) && e.Object.Version == 0 {
		s.read = false
	}
	if !known {
		s.doubt = s.doubt || wrote > 0 && !errors.Is(e.Err, store.ErrUnavailable)
		s.retryAt = c.now + c.cfg.StoreRetry
		return
	}
	s.retryAt = 0
	if e.Object.Version < s.version {
		if e.Err != nil || wrote == 0 {
			s.retryAt = c.now + c.cfg.StoreRetry // stale reply: read again later
		}
		return
	}
	s.version, s.read, s.doubt = e.Object.Version, true, false
	if v, ok := c.own(e.Object.Writer); ok {
		s.stored = max(s.stored, v)
	}
	if wrote > 0 && e.Err == nil {
		s.stored, s.seen = max(s.stored, wrote), wrote
		return
	}
	if e.Object.Version > 0 {
		c.observe(s, e.Object)
	}
}

// observe adopts an object read from the store.
func (c *Core) observe(s *slot, o store.Object) {
	switch s.kind {
	case kindCell:
		cell := &Cell{}
		if json.Unmarshal(o.Value, cell) != nil {
			c.record(false, "store.malformed", "kind", o.Kind, "name", o.Name)
			return
		}
		s.stored, s.seen = max(s.stored, cell.Version), cell.Version
		c.storeCell = cell
		if c.cell == nil || cell.Version > c.cell.Version || c.chain.has(cell.Version) {
			c.adoptCell(cell, false)
		}
	case kindAssignment:
		c.observeAssignment(s, o)
	}
}
