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

// askHold is the time for which an instance keeps a question that it cannot answer yet.
const askHold = time.Second

// asker is an instance that has asked who leads.
type asker struct {
	term   uint64 // the newest that it knows
	until  time.Duration
	answer chan *leads // gets nil if the answer is not known in time
}

// askWho asks the instance at an address who leads. It runs on its own goroutine.
func (c *control) askWho(address string) {
	conn, err := net.DialTimeout("tcp", address, linkDialTimeout)
	switch {
	case err == nil:
		c.post(func() { c.elector.ReportPeerSeen(socket.BootTime()) })
	case errors.Is(err, syscall.ECONNREFUSED):
		c.post(func() {
			now := socket.BootTime()
			c.elector.ReportPeerRefused(now, address)
			c.elect(now) // it may have been the last one to wait for
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
		frame, err = encodeFrame(kindAsk, ask{Term: t})
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
	_ = conn.SetReadDeadline(time.Now().Add(askHold + linkDialTimeout))
	l := &leads{}
	if kind, err := readFrame(bufio.NewReader(conn), map[byte]any{kindLeads: l, kindNotLeader: nil}); err == nil && kind == kindLeads {
		c.post(func() { c.toldLeader(l) })
	}
}

// answerAsk answers a question as soon as the answer is known. It runs on the
// goroutine of the connection.
func (c *control) answerAsk(conn net.Conn, q *ask) {
	a := &asker{term: q.Term, answer: make(chan *leads, 1)}
	c.post(func() {
		now := socket.BootTime()
		a.until = now + askHold
		c.askers = append(c.askers, a)
		c.tellAskers(now)
	})
	var l *leads
	select {
	case l = <-a.answer:
	case <-c.t.Dying():
		return
	}
	frame, err := c.encodeLeader(l)
	if err != nil {
		c.post(func() { c.log.Error().Str("event", "leads.encode").Err(err).Send() })
		return
	}
	_ = writeFrame(conn, frame) // an instance without an answer asks another one
}

// encodeLeader encodes who leads, or that the instance does not lead if that is nil.
func (c *control) encodeLeader(l *leads) ([]byte, error) {
	if l == nil {
		return encodeFrame(kindNotLeader, notLeader{Incarnation: c.self.Incarnation})
	}
	return encodeFrame(kindLeads, l)
}

// tellAskers answers the questions whose answer is known or whose time is over.
func (c *control) tellAskers(now time.Duration) {
	c.askers = slices.DeleteFunc(c.askers, func(a *asker) bool {
		l := c.knownLeader(a.term)
		if l == nil && now < a.until {
			return false
		}
		a.answer <- l
		return true
	})
}

// knownLeader is the leader that an instance should follow that knows the term: this
// one, one that is healthy, or one of a later term. It is nil if there is none.
func (c *control) knownLeader(term uint64) *leads {
	switch {
	case c.lead != nil:
		return &leads{Term: c.term, Leader: c.self}
	case c.record == nil || c.record.Leader.ID == c.self.ID:
		return nil
	case c.term > term || c.newsAt > 0 && !c.elector.SuspectsLeader():
		return &leads{Term: c.term, Leader: c.record.Leader, Age: age(socket.BootTime(), c.newsAt)}
	}
	return nil
}

// toldLeader follows the leader that another instance names. Only the store's record
// has the owners of keys and allows a take-over.
func (c *control) toldLeader(l *leads) {
	if l.Term < c.term || l.Leader.ID == c.self.ID {
		return
	}
	if l.Term == c.term && c.record != nil {
		if c.record.Leader.ID == l.Leader.ID && c.lead == nil {
			c.elector.ReportLeaderSeenByPeer(socket.BootTime(), l.Age)
			if c.link == nil {
				c.dialLeader()
			}
		}
		return
	}
	c.adoptLeader(l.Term, l.Leader)
}
