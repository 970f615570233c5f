package edge

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/internal/wait"
	"github.com/boragegate/boragegate/ownership/election"
	"github.com/boragegate/boragegate/ownership/rangelease"
	"github.com/boragegate/boragegate/store"
)

const (
	// firstFrameTimeout bounds the wait for the first frame of a connection.
	firstFrameTimeout = time.Second
	// followerQueueLength is the number of frames that are queued for one follower.
	followerQueueLength = 64
	// loadReportTimeout is the time without a load report after which the connection of a
	// follower is closed. Followers report every planInterval or, if there are many, less
	// often, but at least every maxReportInterval.
	loadReportTimeout = 5 * time.Second
	// lostFollowerNotifyInterval is the time between two attempts to reach lost followers.
	lostFollowerNotifyInterval = 700 * time.Millisecond
	// lostFollowerRetention is the time for which lost followers are notified: an instance
	// either restarts within seconds or doesn't return.
	lostFollowerRetention = 15 * time.Second
	// predecessorRetention is the time for which a new leader keeps the candidates and the
	// number of instances of its predecessor, because its followers have not all connected.
	predecessorRetention = 10 * time.Second
	// maxJoinersPerState is the number of followers that are sent the initial state at a time.
	// The rest of several hundred that join a new leader wait, so that heartbeats do not queue
	// behind megabytes on the leader's network link.
	maxJoinersPerState = 64
	// initialStateInterval is the shortest time between two encodings of the initial state, and
	// initialStateTimeFactor times the duration of the last one another. Followers that join
	// meanwhile are sent the next one.
	initialStateInterval   = tickInterval
	initialStateTimeFactor = 4
)

// follower is the leader's end of the connection to a follower.
type follower struct {
	rangelease.InstanceInfo
	// configVersion is the store version of the configuration that the follower has.
	configVersion store.Version
	configEra     store.Era // of configVersion
	lastLeases    *leaseReport
	joinedAt      time.Duration
	conn          net.Conn
	out           chan []byte // frames to send; a nil frame closes the connection
	stop          context.CancelFunc
	// closed is set when the connection has ended. The control loop may learn it later.
	closed atomic.Bool
}

// lostFollower is a former follower whose connection has ended, or the leader that this one has
// replaced until it follows.
type lostFollower struct {
	address     string
	notifyUntil time.Duration
}

// close closes the connection after the queued frames are written, or at once if the queue
// is full because the follower doesn't read.
func (f *follower) close() {
	select {
	case f.out <- nil:
	default:
		f.stop()
		_ = f.conn.Close()
	}
}

// acceptPeers serves connections from other instances until the listener closes. It
// runs in its own goroutine.
func (c *controlLoop) acceptPeers(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			wait.For(linkRetryInterval, c.t.Dying())
			continue
		}
		c.t.Go(func() error { c.servePeer(conn); return nil })
	}
}

// closeAtEnd closes a connection when the control loop ends, so that no goroutine of it waits for
// another instance. The result closes the connection before.
func (c *controlLoop) closeAtEnd(conn net.Conn) func() {
	stop := context.AfterFunc(c.t.Context(context.Background()), func() { _ = conn.Close() })
	return func() {
		stop()
		_ = conn.Close()
	}
}

// servePeer serves a connection from another instance: a follower, or one that sends a
// single leader query or leader info. It runs in its own goroutine.
func (c *controlLoop) servePeer(conn net.Conn) {
	defer c.closeAtEnd(conn)()
	r := bufio.NewReader(conn)
	_ = conn.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	var request followRequest
	var info leaderInfo
	var query leaderQuery
	kind, err := readFrame(r, map[byte]any{kindFollowRequest: &request, kindLeaderInfo: &info, kindLeaderQuery: &query})
	switch {
	case err != nil:
		return
	case kind == kindLeaderInfo:
		c.post(func() { c.handleLeaderInfo(&info) })
		return
	case kind == kindLeaderQuery:
		c.answerLeaderQuery(conn, &query)
		return
	}
	ctx, cancel := context.WithCancel(c.t.Context(context.Background()))
	defer cancel()
	f := &follower{
		InstanceInfo:  rangelease.InstanceInfo{ID: request.Instance, Incarnation: request.Incarnation, Address: request.Address, Strength: request.Strength},
		configVersion: request.ConfigVersion, configEra: request.ConfigEra, lastLeases: request.LastLeases, joinedAt: socket.BootTime(), conn: conn, out: make(chan []byte, followerQueueLength), stop: cancel,
	}
	c.post(func() { c.addFollower(f) })
	defer c.post(func() {
		if c.leadership != nil {
			c.leadership.removeFollower(socket.BootTime(), f)
		}
	})
	defer f.closed.Store(true)
	c.t.Go(func() error { writeFrames(ctx, conn, f.out); return nil })
	for {
		_ = conn.SetReadDeadline(time.Now().Add(loadReportTimeout))
		report := &loadReport{}
		if _, err := readFrame(r, map[byte]any{kindLoadReport: report}); err != nil {
			return
		}
		c.post(func() {
			if c.leadership != nil {
				c.leadership.applyLoadReport(f, report)
			}
		})
	}
}

// addFollower registers a follower, which is sent a heartbeat at once and the complete state by
// sendInitialState. If this instance is not the leader, it tells the follower which instance is.
func (c *controlLoop) addFollower(f *follower) {
	if c.leadership != nil {
		c.leadership.addFollower(socket.BootTime(), f)
		return
	}
	frame, err := c.encodeLeaderReply(c.leaderInfoFor(0))
	if err != nil {
		c.log.Error().Str("event", "leads.encode").Err(err).Send()
		return
	}
	f.out <- frame
}

// addFollower registers a follower. An earlier connection of the same instance is closed: the
// instance has given it up.
func (l *leadership) addFollower(now time.Duration, f *follower) {
	if f.closed.Load() {
		return
	}
	if earlier := l.links[f.ID]; earlier != nil {
		l.removeFollower(now, earlier)
		earlier.close()
	}
	l.links[f.ID] = f
	l.joining[f] = struct{}{}
	l.checkPredecessorEnded(now, f)
	l.send(stateUpdate{}, f)
	l.sendInitialState(now)
}

// instanceCount returns the number of instances that share the limits of targets: those that are
// connected or, right after a takeover, those that the predecessor knew if they are more.
func (l *leadership) instanceCount(now time.Duration) int {
	connected := len(l.links) + 1
	if now-l.startedAt < predecessorRetention {
		return max(connected, l.predecessorInstances)
	}
	return connected
}

// sendInitialState sends the complete state to new followers. Followers that join at about
// the same time get the same frames: encoding a copy for each of hundreds of followers would
// exhaust the leader's memory and take seconds.
func (l *leadership) sendInitialState(now time.Duration) {
	if len(l.joining) == 0 || now-l.lastInitialStateAt < max(initialStateInterval, initialStateTimeFactor*l.initialStateTime) {
		return
	}
	startedAt := socket.BootTime()
	l.lastInitialStateAt = now
	l.publishNow(now) // otherwise pending changes would be sent twice
	update := stateUpdate{Leader: &l.c.self, Candidates: l.publishedCandidates, Owners: map[string]*ownersUpdate{}, OfferedLoad: &offeredLoadUpdate{l.offeredLoads}, Leaving: l.c.leaving.list(), RateLimits: l.c.shared.rateLimitNotices(now), WarmUps: l.c.shared.warmUps(now), Evacuations: l.c.evacuations.update()}
	if l.c.targets.isKnown() {
		update.Targets = l.c.targets.full(now)
	}
	for service, owners := range l.c.owners {
		update.Owners[service] = encodeOwners(owners, true)
	}
	var needConfig, haveConfig []*follower
	for _, f := range l.nextJoiners() {
		if l.encodedConfig == nil || f.configVersion == l.encodedConfig.Version && f.configEra == l.encodedConfig.Era {
			haveConfig = append(haveConfig, f)
		} else {
			needConfig = append(needConfig, f)
		}
		l.followers[f] = struct{}{}
		delete(l.joining, f)
		delete(l.lostFollowers, f.ID)
		l.c.log.Info().Str("event", "follower.joined").Str("instance", f.ID).Int("followers", len(l.followers)).
			Uint64("targets_version", uint64(l.c.targets.version)).Send() // 0 if the list has not been read
	}
	l.send(update, haveConfig...)
	update.Config = l.encodedConfig
	l.send(update, needConfig...)
	l.initialStateTime = socket.BootTime() - startedAt
	l.c.activity.initialStates++
	l.c.activity.initialStateTime += l.initialStateTime
}

// nextJoiners returns the followers that are sent the state next: at most maxJoinersPerState of
// those that are still connected, in the order in which they joined.
func (l *leadership) nextJoiners() []*follower {
	joiners := slices.DeleteFunc(l.joiningFollowers(), func(f *follower) bool { return f.closed.Load() })
	slices.SortFunc(joiners, func(a, b *follower) int { return cmp.Compare(a.joinedAt, b.joinedAt) })
	return joiners[:min(len(joiners), maxJoinersPerState)]
}

func (l *leadership) broadcast(update stateUpdate) {
	l.send(update, l.followerList()...)
}

// announceLeader tells the followers which other instance is the leader.
func (l *leadership) announceLeader(info leaderInfo) {
	frame, err := encodeFrame(kindLeaderInfo, info)
	if err != nil {
		l.c.log.Error().Str("event", "leads.encode").Err(err).Send()
		return
	}
	for _, f := range append(l.followerList(), l.joiningFollowers()...) {
		select {
		case f.out <- frame:
		default: // the follower doesn't read; its connection is being closed
		}
	}
}

// joiningFollowers returns the followers that haven't been sent the state yet.
func (l *leadership) joiningFollowers() []*follower { return slices.Collect(maps.Keys(l.joining)) }

// updateCandidates ranks the connected followers and returns the new candidates, or nil if
// there are none besides this instance or they are those last published. A new leader keeps
// the candidates of its predecessor for predecessorRetention, until its followers have
// connected.
func (l *leadership) updateCandidates(now time.Duration) []rangelease.InstanceInfo {
	var candidates []rangelease.InstanceInfo
	ids := map[string]bool{}
	for f := range l.followers {
		candidates = append(candidates, f.InstanceInfo)
		ids[f.ID] = true
	}
	if now-l.startedAt < predecessorRetention {
		for _, c := range l.c.elector.Candidates() {
			if !ids[c.ID] {
				candidates = append(candidates, c)
			}
		}
	}
	ranked := election.RankCandidates(l.c.self, candidates)
	if len(ranked) < 2 || slices.Equal(ranked, l.publishedCandidates) {
		return nil
	}
	l.publishedCandidates = ranked
	l.c.elector.SetCandidates(ranked)
	return ranked
}

func (l *leadership) followerList() []*follower {
	list := make([]*follower, 0, len(l.followers))
	for f := range l.followers {
		list = append(list, f)
	}
	return list
}

// send queues a state update for followers. A follower whose queue is full is
// disconnected, so that it gets the complete state when it connects again.
func (l *leadership) send(update stateUpdate, recipients ...*follower) {
	if len(recipients) == 0 {
		return
	}
	now := socket.BootTime()
	update.Term, update.Instances, update.GrantsPermits = l.grantor.Term(), l.instanceCount(now), true
	update.StoreUnreachable = l.c.storeFailedSince > 0
	era := l.c.era
	update.Era = &era
	update.KeepMissing = l.c.targets.keepMissingFor(now)
	update.OutstandingLeases = l.grantor.OutstandingLeases(now, outstandingLeasesHorizon)
	update.ConfigAge, update.SentAt = max(now-l.c.configConfirmedAt, 0), now
	update.StoreAge = max(l.grantor.TermConfirmationAge(now), 0)
	frame, err := encodeStateUpdate(&update)
	if err != nil {
		l.c.log.Error().Str("event", "news.encode").Err(err).Send()
		return
	}
	for _, f := range recipients {
		select {
		case f.out <- frame:
		default:
			l.c.log.Warn().Str("event", "follower.slow").Str("instance", f.ID).Send()
			l.removeFollower(now, f)
			f.close()
		}
	}
}

// removeFollower removes a follower whose connection has ended.
func (l *leadership) removeFollower(now time.Duration, f *follower) {
	_, joining := l.joining[f]
	if _, ok := l.followers[f]; !ok && !joining {
		return
	}
	delete(l.followers, f)
	delete(l.joining, f)
	if l.links[f.ID] == f {
		delete(l.links, f.ID)
	}
	l.permits.RemoveInstance(f)
	if f.Address != "" {
		l.lostFollowers[f.ID] = lostFollower{address: f.Address, notifyUntil: now + lostFollowerRetention}
	}
}

// notifyLostFollowers tells lost followers that this instance is the leader. An instance
// that has restarted cannot learn it from a store that doesn't respond.
func (l *leadership) notifyLostFollowers(now time.Duration) {
	if now-l.lastNotifyAt < lostFollowerNotifyInterval {
		return
	}
	l.lastNotifyAt = now
	info := leaderInfo{Term: l.grantor.Term(), Leader: l.c.self}
	for id, f := range l.lostFollowers {
		if now > f.notifyUntil {
			delete(l.lostFollowers, id)
			continue
		}
		l.c.t.Go(func() error {
			l.c.sendLeaderInfo(f.address, info)
			return nil
		})
	}
}

// nameSuccessor asks the strongest follower to take over. This instance stays the leader
// until the follower has done so.
func (l *leadership) nameSuccessor() {
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

// yieldToStronger names a follower as successor if it is much stronger.
func (l *leadership) yieldToStronger(now time.Duration) {
	f := l.strongestFollower()
	if f == nil || l.replacing || l.c.storeFailedSince > 0 || now-l.successorNamedAt < yieldInterval || now-f.joinedAt < yieldInterval {
		return
	}
	if l.c.self.Strength < election.MinRelativeStrength*f.Strength {
		l.successorNamedAt = now
		l.nameSuccessor()
	}
}
