package edge

import (
	"bufio"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/boragegate/boragegate/internal/socket"
)

// leaderQueryTimeout is how long an instance holds a leader query that it cannot answer
// yet.
const leaderQueryTimeout = time.Second

// pendingQuery is a leader query from another instance that is waiting for its answer.
type pendingQuery struct {
	term     uint64 // newest term that the other instance knows
	deadline time.Duration
	answer   chan *leaderInfo // receives nil if no leader is known by the deadline
}

// queryLeader asks the instance at the given address which instance is the leader. It runs
// in its own goroutine.
func (c *controlLoop) queryLeader(address string) {
	conn, err := net.DialTimeout("tcp", address, linkDialTimeout)
	switch {
	case err == nil:
		c.post(func() { c.elector.ReportPeerSeen(socket.BootTime()) })
	case errors.Is(err, syscall.ECONNREFUSED):
		c.post(func() {
			now := socket.BootTime()
			c.elector.ReportPeerRefused(now, address)
			c.runElection(now) // this may have been the last instance to wait for
		})
		return
	default:
		return // the next query goes to another instance
	}
	defer c.closeAtEnd(conn)()
	term := make(chan uint64, 1)
	c.post(func() { term <- c.term })
	var frame []byte
	select {
	case t := <-term:
		frame, err = encodeFrame(kindLeaderQuery, leaderQuery{Term: t})
	case <-c.t.Dying():
		return
	}
	if err != nil {
		c.post(func() { c.log.Error().Str("event", "ask.encode").Err(err).Send() })
		return
	}
	if writeFrame(conn, frame) != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(leaderQueryTimeout + linkDialTimeout))
	info := &leaderInfo{}
	if kind, err := readFrame(bufio.NewReader(conn), map[byte]any{kindLeaderInfo: info, kindNotLeader: nil}); err == nil && kind == kindLeaderInfo {
		c.post(func() { c.handleLeaderInfo(info) })
	}
}

// answerLeaderQuery answers a leader query as soon as a leader is known, or when the query
// has expired. It runs in the goroutine of the connection.
func (c *controlLoop) answerLeaderQuery(conn net.Conn, query *leaderQuery) {
	pending := &pendingQuery{term: query.Term, answer: make(chan *leaderInfo, 1)}
	c.post(func() {
		now := socket.BootTime()
		pending.deadline = now + leaderQueryTimeout
		c.pendingQueries = append(c.pendingQueries, pending)
		c.answerPendingQueries(now)
	})
	var info *leaderInfo
	select {
	case info = <-pending.answer:
	case <-c.t.Dying():
		return
	}
	frame, err := c.encodeLeaderReply(info)
	if err != nil {
		c.post(func() { c.log.Error().Str("event", "leads.encode").Err(err).Send() })
		return
	}
	_ = writeFrame(conn, frame) // on an error, the other instance queries another one
}

// encodeLeaderReply encodes the frame that names the leader, or kindNotLeader if info is nil.
func (c *controlLoop) encodeLeaderReply(info *leaderInfo) ([]byte, error) {
	if info == nil {
		return encodeFrame(kindNotLeader, notLeader{Incarnation: c.self.Incarnation})
	}
	return encodeFrame(kindLeaderInfo, info)
}

// answerPendingQueries answers the pending queries for which a leader is known or whose
// deadline has passed.
func (c *controlLoop) answerPendingQueries(now time.Duration) {
	c.pendingQueries = slices.DeleteFunc(c.pendingQueries, func(query *pendingQuery) bool {
		info := c.leaderInfoFor(query.term)
		if info == nil && now < query.deadline {
			return false
		}
		query.answer <- info
		return true
	})
}

// leaderInfoFor returns the leader to name to an instance that knows the given term: this
// instance, a healthy leader, or the leader of a later term. It returns nil if there is
// none.
func (c *controlLoop) leaderInfoFor(term uint64) *leaderInfo {
	switch {
	case c.leadership != nil:
		return &leaderInfo{Term: c.term, Leader: c.self}
	case c.record == nil || c.record.Leader.ID == c.self.ID:
		return nil
	case c.term > term || c.lastUpdateAt > 0 && !c.elector.SuspectsLeader():
		return &leaderInfo{Term: c.term, Leader: c.record.Leader, Age: ageOrUnknown(socket.BootTime(), c.lastUpdateAt)}
	}
	return nil
}

// handleLeaderInfo follows the leader that another instance names. This doesn't permit a
// takeover: only the stored record has the holders of keys.
func (c *controlLoop) handleLeaderInfo(info *leaderInfo) {
	if info.Term < c.term || info.Leader.ID == c.self.ID {
		return
	}
	if info.Term == c.term && c.record != nil {
		if c.record.Leader.ID == info.Leader.ID && c.leadership == nil {
			c.elector.ReportLeaderSeenByPeer(socket.BootTime(), info.Age)
			if c.link == nil {
				c.connectToLeader()
			}
		}
		return
	}
	c.adoptLeader(info.Term, info.Leader)
}
