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

// abandonTimeouts is the number of store timeouts after which an unanswered call is
// abandoned. A write that nevertheless took effect is still recognised by its writer ID.
const abandonTimeouts = 20

// storeObject is one object in the store, with at most one outstanding call.
type storeObject struct {
	kind, name string
	service    string // empty for the cell record
	// Newest known version of the object, which is not that of the record in it; 0 before
	// the first read and if the object is absent.
	version store.Version
	// Whether the object has been read since the start of this process; reset to read it
	// again.
	wasRead        bool
	callID         uint64
	issuedAt       lease.Instant
	writeVersion   uint64 // record version of the outstanding write, 0 for a read
	lastSeen       uint64 // record version last seen in the store
	lastCallFailed bool   // the last call failed or timed out
	writeUncertain bool   // a write may have taken effect; cleared once the stored object is known
	retryAt        lease.Instant
	// Highest record version known to have been stored.
	highestStored uint64
}

// ready reports whether a call may be issued.
func (s *storeObject) ready(now lease.Instant) bool { return s.callID == 0 && now >= s.retryAt }

// mayHaveWritten reports whether a write whose outcome is unknown may have taken effect.
func (s *storeObject) mayHaveWritten() bool {
	return s.writeUncertain || s.callID != 0 && s.writeVersion > 0
}

func (c *Core) readObject(s *storeObject) {
	s.callID, s.issuedAt, s.writeVersion = c.nextID(), c.now, 0
	c.storeCalls[s.callID] = s
	c.emit(ReadObject{ID: s.callID, Kind: s.kind, Name: s.name})
}

// writeObject writes a record at the given version. The writer identifies the record
// version and the process, so that a write is recognised if its reply was lost.
func (c *Core) writeObject(s *storeObject, version uint64, v any) {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err) // records hold only strings and numbers
	}
	s.callID, s.issuedAt, s.writeVersion = c.nextID(), c.now, version
	c.storeCalls[s.callID] = s
	c.emit(WriteObject{ID: s.callID, Object: store.Object{
		Kind: s.kind, Name: s.name, Version: s.version, Writer: c.writerID(version), Value: value,
	}})
}

func (c *Core) writerID(version uint64) string {
	return c.cfg.Incarnation + "/" + strconv.FormatUint(version, 10)
}

// ownWriteVersion returns the record version of a write that was made by this process.
func (c *Core) ownWriteVersion(writer string) (uint64, bool) {
	rest, ok := strings.CutPrefix(writer, c.cfg.Incarnation+"/")
	if !ok {
		return 0, false
	}
	v, err := strconv.ParseUint(rest, 10, 64)
	return v, err == nil
}

// checkStoreTimeout marks the last call of an object as failed if it was not answered within
// the store timeout, and reports whether it is marked as failed. A late reply is still used
// until the call is abandoned.
func (c *Core) checkStoreTimeout(s *storeObject) bool {
	if s.callID != 0 && c.now-s.issuedAt >= c.cfg.StoreTimeout {
		s.lastCallFailed = true
	}
	if s.callID != 0 && c.now-s.issuedAt >= abandonTimeouts*c.cfg.StoreTimeout {
		delete(c.storeCalls, s.callID)
		s.callID, s.writeUncertain = 0, s.writeUncertain || s.writeVersion > 0
	}
	return s.lastCallFailed
}

func (c *Core) onStoreReply(e StoreReplied) {
	s := c.storeCalls[e.ID]
	if s == nil {
		return
	}
	delete(c.storeCalls, e.ID)
	s.callID = 0
	writtenVersion := s.writeVersion
	objectKnown := e.Object.Version > 0 || e.Err == nil || errors.Is(e.Err, store.ErrNotFound)
	s.lastCallFailed = !objectKnown
	if errors.Is(e.Err, store.ErrConflict) && e.Object.Version == 0 { // the stored object is not known
		s.wasRead = false
	}
	if !objectKnown {
		s.writeUncertain = s.writeUncertain || writtenVersion > 0 && !errors.Is(e.Err, store.ErrUnavailable)
		s.retryAt = c.now + c.cfg.StoreRetry
		return
	}
	s.retryAt = 0
	if e.Object.Version < s.version {
		if e.Err != nil || writtenVersion == 0 {
			s.retryAt = c.now + c.cfg.StoreRetry // stale reply: read again later
		}
		return
	}
	s.version, s.wasRead, s.writeUncertain = e.Object.Version, true, false
	if v, ok := c.ownWriteVersion(e.Object.Writer); ok {
		s.highestStored = max(s.highestStored, v)
	}
	if writtenVersion > 0 && e.Err == nil {
		s.highestStored, s.lastSeen = max(s.highestStored, writtenVersion), writtenVersion
		return
	}
	if e.Object.Version > 0 {
		c.adoptStored(s, e.Object)
	}
}

// adoptStored adopts an object read from the store.
func (c *Core) adoptStored(s *storeObject, o store.Object) {
	switch s.kind {
	case kindCell:
		cell := &Cell{}
		if json.Unmarshal(o.Value, cell) != nil {
			c.log(false, "store.malformed", "kind", o.Kind, "name", o.Name)
			return
		}
		s.highestStored, s.lastSeen = max(s.highestStored, cell.Version), cell.Version
		c.storeCell = cell
		if c.cell == nil || cell.Version > c.cell.Version || c.lineage.contains(cell.Version) {
			c.adoptCell(cell, false)
		}
	case kindAssignment:
		c.adoptStoredAssignment(s, o)
	}
}
