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
	// followRequestTimeout bounds the first frame of a follower.
	followRequestTimeout = time.Second
	// followerQueueLength is the number of frames that wait for one follower.
	followerQueueLength = 64
	// loadReportTimeout ends a link on which a follower sends nothing: it reports its
	// load each planInterval.
	loadReportTimeout = 5 * time.Second
	// lostFollowerNotifyInterval is the time between two attempts to reach lost followers.
	lostFollowerNotifyInterval = 700 * time.Millisecond
	// lostFollowerRetention is the time for which they are tried: an instance is back within
	// seconds of its end, or does not come back.
	lostFollowerRetention = 15 * time.Second
	// candidateRetention is the time for which a new leader keeps the candidates of the one before.
	candidateRetention = 10 * time.Second
)

// follower is the leader's side of a link.
type follower struct {
	rangelease.Leader
	// configVersion is the store's version of the configuration that it has.
	configVersion store.Version
	joinedAt      time.Duration
	conn          net.Conn
	out           chan []byte
	stop          context.CancelFunc
}

// removeFollower is an instance whose link has ended.
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
		f.stop()
		_ = f.conn.Close()
	}
}

// acceptFollowers serves links until the listener closes. It runs on its own goroutine.
func (c *controlLoop) acceptFollowers(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			wait.For(linkRetryInterval, c.t.Dying())
			continue
		}
		c.t.Go(func() error { c.serveFollower(conn); return nil })
	}
}

func (c *controlLoop) serveFollower(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	_ = conn.SetReadDeadline(time.Now().Add(followRequestTimeout))
	var h followRequest
	var l leaderInfo
	var q leaderQuery
	kind, err := readFrame(r, map[byte]any{kindFollowRequest: &h, kindLeaderInfo: &l, kindLeaderQuery: &q})
	switch {
	case err != nil:
		return
	case kind == kindLeaderInfo:
		c.post(func() { c.handleLeaderInfo(&l) })
		return
	case kind == kindLeaderQuery:
		c.answerLeaderQuery(conn, &q)
		return
	}
	ctx, cancel := context.WithCancel(c.t.Context(context.Background()))
	defer cancel()
	f := &follower{
		Leader:        rangelease.Leader{ID: h.Instance, Incarnation: h.Incarnation, Address: h.Address, Strength: h.Strength},
		configVersion: h.ConfigVersion, joinedAt: socket.BootTime(), conn: conn, out: make(chan []byte, followerQueueLength), stop: cancel,
	}
	c.post(func() { c.addFollower(f) })
	defer c.post(func() {
		if c.leadership != nil {
			c.leadership.removeFollower(socket.BootTime(), f)
		}
	})
	c.t.Go(func() error { writeFrames(ctx, conn, f.out); return nil })
	for {
		_ = conn.SetReadDeadline(time.Now().Add(loadReportTimeout))
		m := &loadReport{}
		if _, err := readFrame(r, map[byte]any{kindLoadReport: m}); err != nil {
			return
		}
		c.post(func() {
			if c.leadership != nil {
				c.leadership.applyLoadReport(m)
			}
		})
	}
}

// addFollower takes a follower, or tells it who leads.
func (c *controlLoop) addFollower(f *follower) {
	if c.leadership != nil {
		c.leadership.joining[f] = struct{}{}
		c.leadership.admitJoining(socket.BootTime())
		return
	}
	frame, err := c.encodeLeaderReply(c.leaderInfoFor(0))
	if err != nil {
		c.log.Error().Str("event", "leads.encode").Err(err).Send()
		return
	}
	f.out <- frame
}

// admitJoining tells new followers everything. Those that come close together get the same
// frames: a leader of hundreds would need its memory for copies, and seconds.
func (l *leadership) admitJoining(now time.Duration) {
	if len(l.joining) == 0 || now-l.lastAdmissionAt < time.Duration(len(l.followers))*publishIntervalPerFollower {
		return
	}
	l.lastAdmissionAt = now
	l.publishNow(now) // what is not told yet would come twice
	n := stateUpdate{Leader: &l.c.self, Candidates: l.publishedCandidates, Owners: map[string]*ownersUpdate{}, OfferedLoad: &offeredLoadUpdate{l.offeredLoads}, Leaving: l.c.leaving.list()}
	if l.c.targets.version > 0 {
		n.Targets = &targetUpdate{Version: l.c.targets.version, Full: true, Put: l.c.targets.byName}
	}
	for service, owners := range l.c.owners {
		n.Owners[service] = encodeOwners(owners, true)
	}
	var all, known []*follower
	for f := range l.joining {
		if l.config == nil || f.configVersion == l.config.Version {
			known = append(known, f)
		} else {
			all = append(all, f)
		}
	}
	for f := range l.joining {
		l.followers[f] = struct{}{}
		delete(l.joining, f)
		delete(l.lostFollowers, f.ID)
		l.c.log.Info().Str("event", "follower.joined").Str("instance", f.ID).Int("followers", len(l.followers)).Send()
	}
	l.send(n, known...)
	n.Config = l.config
	l.send(n, all...)
}

func (l *leadership) broadcast(n stateUpdate) {
	l.send(n, l.followerList()...)
}

// announceLeader tells the followers of another leader.
func (l *leadership) announceLeader(message leaderInfo) {
	frame, err := encodeFrame(kindLeaderInfo, message)
	if err != nil {
		l.c.log.Error().Str("event", "leads.encode").Err(err).Send()
		return
	}
	for _, f := range append(l.followerList(), l.joiningFollowers()...) {
		select {
		case f.out <- frame:
		default: // it does not read, and its link ends
		}
	}
}

// joiningFollowers are the followers that have not been told anything yet.
func (l *leadership) joiningFollowers() []*follower { return slices.Collect(maps.Keys(l.joining)) }

// updateCandidates returns the candidates if they are not those that were told last. A
// new leader keeps those of the one before until its followers have come.
func (l *leadership) updateCandidates(now time.Duration) []rangelease.Leader {
	var known []rangelease.Leader
	ids := map[string]bool{}
	for f := range l.followers {
		known = append(known, f.Leader)
		ids[f.ID] = true
	}
	if now-l.startedAt < candidateRetention {
		for _, c := range l.c.elector.Candidates() {
			if !ids[c.ID] {
				known = append(known, c)
			}
		}
	}
	list := election.RankCandidates(l.c.self, known)
	if len(list) < 2 || slices.Equal(list, l.publishedCandidates) {
		return nil
	}
	l.publishedCandidates = list
	l.c.elector.SetCandidates(list)
	return list
}

func (l *leadership) followerList() []*follower {
	list := make([]*follower, 0, len(l.followers))
	for f := range l.followers {
		list = append(list, f)
	}
	return list
}

// send queues news for followers. One that does not read is cut off, so that it
// gets everything anew.
func (l *leadership) send(n stateUpdate, to ...*follower) {
	if len(to) == 0 {
		return
	}
	n.Term, n.Instances = l.granter.Term(), len(l.followers)+1
	n.StoreUnreachable = l.c.storeFailedSince > 0
	now := socket.BootTime()
	n.OutstandingLeases = l.granter.OutstandingLeases(now, outstandingHorizon)
	n.StoreAge = max(l.granter.TermConfirmationAge(now), 0)
	frame, err := encodeStateUpdate(&n)
	if err != nil {
		l.c.log.Error().Str("event", "news.encode").Err(err).Send()
		return
	}
	for _, f := range to {
		select {
		case f.out <- frame:
		default:
			l.c.log.Warn().Str("event", "follower.slow").Str("instance", f.ID).Send()
			l.removeFollower(now, f)
			f.close()
		}
	}
}

// removeFollower notes that a link has ended.
func (l *leadership) removeFollower(now time.Duration, f *follower) {
	_, joining := l.joining[f]
	if _, ok := l.followers[f]; !ok && !joining {
		return
	}
	delete(l.followers, f)
	delete(l.joining, f)
	if f.Address != "" {
		l.lostFollowers[f.ID] = lostFollower{address: f.Address, until: now + lostFollowerRetention}
	}
}

// notifyLostFollowers tells lost followers who leads: one that has started again cannot learn
// it while the store does not answer.
func (l *leadership) notifyLostFollowers(now time.Duration) {
	if now-l.lastNotifyAt < lostFollowerNotifyInterval {
		return
	}
	l.lastNotifyAt = now
	message := leaderInfo{Term: l.granter.Term(), Leader: l.c.self}
	for name, f := range l.lostFollowers {
		if now > f.until {
			delete(l.lostFollowers, name)
			continue
		}
		l.c.t.Go(func() error {
			l.c.sendLeaderInfo(f.address, message)
			return nil
		})
	}
}

// resign names the strongest of the followers as successor.
func (l *leadership) resign() {
	if f := l.strongestFollower(); f != nil {
		l.c.log.Info().Str("event", "leader.resigns").Str("successor", f.ID).Float64("strength", f.Strength).Send()
		l.broadcast(stateUpdate{Successor: f.ID})
	}
}

func (l *leadership) strongestFollower() *follower {
	var best *follower
	for f := range l.followers {
		if best == nil || f.Strength > best.Strength {
			best = f
		}
	}
	return best
}

// yieldToStronger leaves the lead to a follower that is much stronger.
func (l *leadership) yieldToStronger(now time.Duration) {
	f := l.strongestFollower()
	if f == nil || l.c.storeFailedSince > 0 || now-l.lastResignAt < yieldInterval || now-f.joinedAt < yieldInterval {
		return
	}
	if l.c.self.Strength < election.MinRelativeStrength*f.Strength {
		l.lastResignAt = now
		l.resign()
	}
}
