package ingress

import (
	"cmp"
	"slices"
	"time"
)

const (
	// evictionBatch is the fraction of the budget that an eviction frees, so that not each request evicts.
	evictionBatch = 1.0 / 16
	// evictionInterval is the shortest interval between two evictions. Each one passes over all connections.
	evictionInterval = 20 * time.Millisecond
	// stallTime is the time without a byte after which a caller in the middle of a header or a body makes no
	// progress, and minIdleTime the time without a request after which a connection may be closed.
	stallTime   = 300 * time.Millisecond
	minIdleTime = time.Second
)

// evict closes connections until at least n bytes and the given number of connections, and evictionBatch of what may
// be held, are free: first those in the middle of a header or a body that make no progress, then idle ones, the
// longest first. It never closes the connection of a request that was passed on. It returns the number of closed
// connections. s.mu is held.
func (s *Server) evict(requester *conn, n int64, count int) (evicted int) {
	now := time.Now()
	if now.Sub(s.lastEviction) < evictionInterval {
		return 0
	}
	s.lastEviction = now
	type candidate struct {
		c       *conn
		stalled bool
		since   time.Time
	}
	var candidates []candidate
	for c := range s.conns {
		if c == requester || c.evicted {
			continue
		}
		if stalled, since, ok := c.evictable(now); ok {
			candidates = append(candidates, candidate{c, stalled, since})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.stalled != b.stalled {
			if a.stalled {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.since.UnixNano(), b.since.UnixNano())
	})
	if n > 0 {
		n += int64(evictionBatch * float64(s.MemoryBytes))
	}
	if count > 0 {
		count += int(evictionBatch * float64(s.MaxConnections))
	}
	for _, e := range candidates {
		if n <= 0 && evicted >= count {
			break
		}
		if !e.c.evictNow(e.stalled) {
			continue
		}
		n -= e.c.charged
		evicted++
		s.heldBytes -= e.c.charged
		e.c.charged, e.c.evicted = 0, true
		if e.stalled {
			s.limited(reasonStalled)
		} else {
			s.limited(reasonIdle)
		}
	}
	return evicted
}

// makeRoom reports whether a further connection may be opened, if necessary after others were closed.
func (s *Server) makeRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.MaxConnections <= 0 || len(s.conns) < s.MaxConnections {
		return true
	}
	return s.evict(nil, 0, 1) > 0
}

// evictable reports whether the connection may be closed, whether it is in the middle of a header or a body without
// progress, and since when it does nothing.
func (c *conn) evictable(now time.Time) (stalled bool, since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.writing || len(c.queue) > 0 {
		return false, time.Time{}, false
	}
	if c.reading {
		since = time.Unix(0, c.lastRead.Load())
		return true, since, now.Sub(since) >= stallTime
	}
	return false, c.idleSince, now.Sub(c.idleSince) >= minIdleTime
}

// evictNow makes the reading goroutine end the connection, with 408 if it is in the middle of a request. It reports
// whether it did: the connection may have become active meanwhile.
func (c *conn) evictNow(stalled bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.writing || len(c.queue) > 0 || c.reading != stalled {
		return false
	}
	if !stalled {
		c.closing = true
		_ = c.nc.Close()
		return true
	}
	c.ending = true
	_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	return true
}
