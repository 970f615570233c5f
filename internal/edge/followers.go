package edge

import (
	"bufio"
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/internal/wait"
	"github.com/boragegate/boragegate/ownership/election"
	"github.com/boragegate/boragegate/ownership/rangelease"
	"github.com/boragegate/boragegate/store"
)

const (
	// helloTimeout bounds the first frame of a follower.
	helloTimeout = time.Second
	// linkQueue is the number of frames that wait for one follower.
	linkQueue = 64
	// loadTimeout ends a link on which a follower sends nothing: it reports its
	// load each planInterval.
	loadTimeout = 5 * time.Second
	// recallInterval is the time between two attempts to reach lost followers.
	recallInterval = 700 * time.Millisecond
	// recallTime is the time for which they are tried: an instance is back within
	// seconds of its end, or does not come back.
	recallTime = 15 * time.Second
	// rememberTime is the time for which a new leader keeps the candidates of the one before.
	rememberTime = 10 * time.Second
)

// follower is the leader's side of a link.
type follower struct {
	rangelease.Leader
	// config is the store's version of the configuration that it has.
	config store.Version
	joined time.Duration
	conn   net.Conn
	out    chan []byte
	done   context.CancelFunc
}

// lostFollower is an instance whose link has ended.
type lostFollower struct {
	address string
	until   time.Duration
}

// close ends the link when what is queued has been written, or at once if the follower
// does not read.
func (f *follower) close() {
	select {
	case f.out <- nil:
	default:
		f.done()
		_ = f.conn.Close()
	}
}

// acceptFollowers serves links until the listener closes. It runs on its own goroutine.
func (c *control) acceptFollowers(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			wait.For(linkRetry, c.t.Dying())
			continue
		}
		c.t.Go(func() error { c.serveFollower(conn); return nil })
	}
}

func (c *control) serveFollower(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	var h hello
	var l leads
	var q ask
	kind, err := readFrame(r, map[byte]any{kindHello: &h, kindLeads: &l, kindAsk: &q})
	switch {
	case err != nil:
		return
	case kind == kindLeads:
		c.post(func() { c.toldLeader(&l) })
		return
	case kind == kindAsk:
		c.answerAsk(conn, &q)
		return
	}
	ctx, cancel := context.WithCancel(c.t.Context(context.Background()))
	defer cancel()
	f := &follower{
		Leader: rangelease.Leader{ID: h.Instance, Incarnation: h.Incarnation, Address: h.Address, Strength: h.Strength},
		config: h.Config, joined: socket.BootTime(), conn: conn, out: make(chan []byte, linkQueue), done: cancel,
	}
	c.post(func() { c.addFollower(f) })
	defer c.post(func() {
		if c.lead != nil {
			c.lead.lostFollower(socket.BootTime(), f)
		}
	})
	c.t.Go(func() error { sendAll(ctx, conn, f.out); return nil })
	for {
		_ = conn.SetReadDeadline(time.Now().Add(loadTimeout))
		m := &loadNews{}
		if _, err := readFrame(r, map[byte]any{kindLoad: m}); err != nil {
			return
		}
		c.post(func() {
			if c.lead != nil {
				c.lead.measured(m)
			}
		})
	}
}

// addFollower takes a follower, or tells it who leads.
func (c *control) addFollower(f *follower) {
	if c.lead != nil {
		c.lead.joining[f] = struct{}{}
		c.lead.admit(socket.BootTime())
		return
	}
	frame, err := c.encodeLeader(c.knownLeader(0))
	if err != nil {
		c.log.Error().Str("event", "leads.encode").Err(err).Send()
		return
	}
	f.out <- frame
}

// admit tells new followers everything. Those that come close together get the same
// frames: a leader of hundreds would need its memory for copies, and seconds.
func (l *leadership) admit(now time.Duration) {
	if len(l.joining) == 0 || now-l.admittedAt < time.Duration(len(l.followers))*publishPerFollower {
		return
	}
	l.admittedAt = now
	l.publishNow(now) // what is not told yet would come twice
	n := news{Leader: &l.c.self, Candidates: l.candidates, Owners: map[string]*ownersNews{}, Pressure: &pressureNews{l.pressed}, Leaving: l.c.leaving.list()}
	if l.c.targets.version > 0 {
		n.Targets = &targetNews{Version: l.c.targets.version, Whole: true, Put: l.c.targets.byName}
	}
	for service, owners := range l.c.owners {
		n.Owners[service] = encodeOwners(owners, true)
	}
	var all, known []*follower
	for f := range l.joining {
		if l.config == nil || f.config == l.config.Version {
			known = append(known, f)
		} else {
			all = append(all, f)
		}
	}
	for f := range l.joining {
		l.followers[f] = struct{}{}
		delete(l.joining, f)
		delete(l.lost, f.ID)
		l.c.log.Info().Str("event", "follower.joined").Str("instance", f.ID).Int("followers", len(l.followers)).Send()
	}
	l.send(n, known...)
	n.Config = l.config
	l.send(n, all...)
}

func (l *leadership) broadcast(n news) {
	l.send(n, l.all()...)
}

// announce tells the followers of another leader.
func (l *leadership) announce(message leads) {
	frame, err := encodeFrame(kindLeads, message)
	if err != nil {
		l.c.log.Error().Str("event", "leads.encode").Err(err).Send()
		return
	}
	for _, f := range append(l.all(), l.waiting()...) {
		select {
		case f.out <- frame:
		default: // it does not read, and its link ends
		}
	}
}

// waiting are the followers that have not been told anything yet.
func (l *leadership) waiting() []*follower { return slices.Collect(maps.Keys(l.joining)) }

// newCandidates returns the candidates if they are not those that were told last. A
// new leader keeps those of the one before until its followers have come.
func (l *leadership) newCandidates(now time.Duration) []rangelease.Leader {
	var known []rangelease.Leader
	ids := map[string]bool{}
	for f := range l.followers {
		known = append(known, f.Leader)
		ids[f.ID] = true
	}
	if now-l.began < rememberTime {
		for _, c := range l.c.elector.Candidates() {
			if !ids[c.ID] {
				known = append(known, c)
			}
		}
	}
	list := election.RankCandidates(l.c.self, known)
	if len(list) < 2 || slices.Equal(list, l.candidates) {
		return nil
	}
	l.candidates = list
	l.c.elector.SetCandidates(list)
	return list
}

func (l *leadership) all() []*follower {
	list := make([]*follower, 0, len(l.followers))
	for f := range l.followers {
		list = append(list, f)
	}
	return list
}

// send queues news for followers. One that does not read is cut off, so that it
// gets everything anew.
func (l *leadership) send(n news, to ...*follower) {
	if len(to) == 0 {
		return
	}
	n.Term, n.Instances = l.granter.Term(), len(l.followers)+1
	n.StoreLost = l.c.storeFailed > 0
	now := socket.BootTime()
	n.Left = l.granter.OutstandingLeases(now, newsAhead)
	n.StoreAge = max(l.granter.TermConfirmationAge(now), 0)
	frame, err := encodeNews(&n)
	if err != nil {
		l.c.log.Error().Str("event", "news.encode").Err(err).Send()
		return
	}
	for _, f := range to {
		select {
		case f.out <- frame:
		default:
			l.c.log.Warn().Str("event", "follower.slow").Str("instance", f.ID).Send()
			l.lostFollower(now, f)
			f.close()
		}
	}
}

// lostFollower notes that a link has ended.
func (l *leadership) lostFollower(now time.Duration, f *follower) {
	_, joining := l.joining[f]
	if _, ok := l.followers[f]; !ok && !joining {
		return
	}
	delete(l.followers, f)
	delete(l.joining, f)
	if f.Address != "" {
		l.lost[f.ID] = lostFollower{address: f.Address, until: now + recallTime}
	}
}

// recall tells lost followers who leads: one that has started again cannot learn
// it while the store does not answer.
func (l *leadership) recall(now time.Duration) {
	if now-l.recalledAt < recallInterval {
		return
	}
	l.recalledAt = now
	message := leads{Term: l.granter.Term(), Leader: l.c.self}
	for name, f := range l.lost {
		if now > f.until {
			delete(l.lost, name)
			continue
		}
		l.c.t.Go(func() error {
			l.c.tellLeader(f.address, message)
			return nil
		})
	}
}

// resign names the strongest of the followers as successor.
func (l *leadership) resign() {
	if f := l.strongest(); f != nil {
		l.c.log.Info().Str("event", "leader.resigns").Str("successor", f.ID).Float64("strength", f.Strength).Send()
		l.broadcast(news{Successor: f.ID})
	}
}

func (l *leadership) strongest() *follower {
	var best *follower
	for f := range l.followers {
		if best == nil || f.Strength > best.Strength {
			best = f
		}
	}
	return best
}

// yield leaves the lead to a follower that is much stronger.
func (l *leadership) yield(now time.Duration) {
	f := l.strongest()
	if f == nil || l.c.storeFailed > 0 || now-l.resignedAt < yieldInterval || now-f.joined < yieldInterval {
		return
	}
	if l.c.self.Strength < election.MinRelativeStrength*f.Strength {
		l.resignedAt = now
		l.resign()
	}
}
