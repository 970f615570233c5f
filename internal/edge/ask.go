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

// leaderQueryTimeout is the time for which an instance keeps a question that it cannot answer yet.
const leaderQueryTimeout = time.Second

// pendingQuery is an instance that has asked who leads.
type pendingQuery struct {
	term     uint64 // the newest that it knows
	deadline time.Duration
	answer   chan *leaderInfo // gets nil if the answer is not known in time
}

// queryLeader asks the instance at an address who leads. It runs on its own goroutine.
func (c *controlLoop) queryLeader(address string) {
	conn, err := net.DialTimeout("tcp", address, linkDialTimeout)
	switch {
	case err == nil:
		c.post(func() { c.elector.ReportPeerSeen(socket.BootTime()) })
	case errors.Is(err, syscall.ECONNREFUSED):
		c.post(func() {
			now := socket.BootTime()
			c.elector.ReportPeerRefused(now, address)
			c.runElection(now) // it may have been the last one to wait for
		})
		return
	default:
		return // another instance is asked next
	}
	defer func() { _ = conn.Close() }()
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
	l := &leaderInfo{}
	if kind, err := readFrame(bufio.NewReader(conn), map[byte]any{kindLeaderInfo: l, kindNotLeader: nil}); err == nil && kind == kindLeaderInfo {
		c.post(func() { c.handleLeaderInfo(l) })
	}
}

// answerLeaderQuery answers a question as soon as the answer is known. It runs on the
// goroutine of the connection.
func (c *controlLoop) answerLeaderQuery(conn net.Conn, q *leaderQuery) {
	a := &pendingQuery{term: q.Term, answer: make(chan *leaderInfo, 1)}
	c.post(func() {
		now := socket.BootTime()
		a.deadline = now + leaderQueryTimeout
		c.pendingQueries = append(c.pendingQueries, a)
		c.answerPendingQueries(now)
	})
	var l *leaderInfo
	select {
	case l = <-a.answer:
	case <-c.t.Dying():
		return
	}
	frame, err := c.encodeLeaderReply(l)
	if err != nil {
		c.post(func() { c.log.Error().Str("event", "leads.encode").Err(err).Send() })
		return
	}
	_ = writeFrame(conn, frame) // an instance without an answer asks another one
}

// encodeLeaderReply encodes who leads, or that the instance does not lead if that is nil.
func (c *controlLoop) encodeLeaderReply(l *leaderInfo) ([]byte, error) {
	if l == nil {
		return encodeFrame(kindNotLeader, notLeader{Incarnation: c.self.Incarnation})
	}
	return encodeFrame(kindLeaderInfo, l)
}

// answerPendingQueries answers the questions whose answer is known or whose time is over.
func (c *controlLoop) answerPendingQueries(now time.Duration) {
	c.pendingQueries = slices.DeleteFunc(c.pendingQueries, func(a *pendingQuery) bool {
		l := c.leaderInfoFor(a.term)
		if l == nil && now < a.deadline {
			return false
		}
		a.answer <- l
		return true
	})
}

// leaderInfoFor is the leader that an instance should follow that knows the term: this
// one, one that is healthy, or one of a later term. It is nil if there is none.
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

// handleLeaderInfo follows the leader that another instance names. Only the store's record
// has the owners of keys and allows a take-over.
func (c *controlLoop) handleLeaderInfo(l *leaderInfo) {
	if l.Term < c.term || l.Leader.ID == c.self.ID {
		return
	}
	if l.Term == c.term && c.record != nil {
		if c.record.Leader.ID == l.Leader.ID && c.leadership == nil {
			c.elector.ReportLeaderSeenByPeer(socket.BootTime(), l.Age)
			if c.link == nil {
				c.connectToLeader()
			}
		}
		return
	}
	c.adoptLeader(l.Term, l.Leader)
}
