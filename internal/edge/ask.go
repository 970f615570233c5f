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

// askHold is how long an instance holds a leader query that it cannot answer yet.
const askHold = time.Second

// asker is a leader query from another instance that is waiting for its answer.
type asker struct {
	term   uint64 // newest term that the other instance knows
	until  time.Duration
	answer chan *leads // receives nil if no leader is known by the deadline
}

// askWho asks the instance at the given address which instance is the leader. It runs in
// its own goroutine.
func (c *control) askWho(address string) {
	conn, err := net.DialTimeout("tcp", address, linkDialTimeout)
	switch {
	case err == nil:
		c.post(func() { c.elector.PeerSeen(socket.BootTime()) })
	case errors.Is(err, syscall.ECONNREFUSED):
		c.post(func() {
			now := socket.BootTime()
			c.elector.PeerRefused(now, address)
			c.elect(now) // this may have been the last instance to wait for
		})
		return
	default:
		return // the next query goes to another instance
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

// answerAsk answers a leader query as soon as a leader is known, or when the query has
// expired. It runs in the goroutine of the connection.
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
	_ = writeFrame(conn, frame) // on an error, the other instance queries another one
}

// encodeLeader encodes the frame that names the leader, or kindNotLeader if l is nil.
func (c *control) encodeLeader(l *leads) ([]byte, error) {
	if l == nil {
		return encodeFrame(kindNotLeader, notLeader{Incarnation: c.self.Incarnation})
	}
	return encodeFrame(kindLeads, l)
}

// tellAskers answers the pending queries for which a leader is known or whose deadline has
// passed.
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

// knownLeader returns the leader to name to an instance that knows the given term: this
// instance, a healthy leader, or the leader of a later term. It returns nil if there is
// none.
func (c *control) knownLeader(term uint64) *leads {
	switch {
	case c.lead != nil:
		return &leads{Term: c.term, Leader: c.self}
	case c.record == nil || c.record.Leader.ID == c.self.ID:
		return nil
	case c.term > term || c.newsAt > 0 && !c.elector.Doubts():
		return &leads{Term: c.term, Leader: c.record.Leader, Age: age(socket.BootTime(), c.newsAt)}
	}
	return nil
}

// toldLeader follows the leader that another instance names. It doesn't permit a
// take-over: only the stored record has the owners of keys.
func (c *control) toldLeader(l *leads) {
	if l.Term < c.term || l.Leader.ID == c.self.ID {
		return
	}
	if l.Term == c.term && c.record != nil {
		if c.record.Leader.ID == l.Leader.ID && c.lead == nil {
			c.elector.Vouched(socket.BootTime(), l.Age)
			if c.link == nil {
				c.dialLeader()
			}
		}
		return
	}
	c.adoptLeader(l.Term, l.Leader)
}
