package edge

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/internal/wait"
	"github.com/boragegate/boragegate/ownership/election"
	"github.com/boragegate/boragegate/ownership/rangelease"
	"github.com/boragegate/boragegate/routing"
)

const (
	// linkDialTimeout bounds a connection attempt to another instance. Instances are a few
	// milliseconds apart, and a machine that is down doesn't respond until it has
	// restarted.
	linkDialTimeout = 200 * time.Millisecond
	// linkRetryInterval is the initial time between attempts to connect to the leader, and
	// the delay after a failed accept on the peer listener.
	linkRetryInterval = 150 * time.Millisecond
	// maxLinkRetryInterval bounds the time between attempts, which doubles with each
	// failure because hundreds of instances may try the same address.
	maxLinkRetryInterval = 600 * time.Millisecond
	// linkWriteTimeout bounds a write to another instance that doesn't read.
	linkWriteTimeout = time.Second
	// reportersPerInterval is the number of followers that may report their load in each
	// planInterval. With more followers, each reports less often, at least every
	// maxReportInterval.
	reportersPerInterval = 16
	maxReportInterval    = 600 * time.Millisecond
)

// leaderLink is a follower's connection to the leader.
type leaderLink struct {
	leader rangelease.InstanceInfo
	cancel context.CancelFunc
	out    chan []byte // load reports to send, as frames
	// stateReceived is set when the leader has sent the complete state on the current connection.
	// Until then its updates only show that it leads. It is confined to the control loop.
	stateReceived bool
	// requestedAt is the time at which the follow request was about to be sent on the current
	// connection, and firstSentAt the SentAt of the first update on it, 0 before. Both are
	// confined to the control loop.
	requestedAt, firstSentAt time.Duration
}

// earliestSentAt returns the earliest time, on the clock of this instance, at which the leader can
// have made an update: the first one on the connection was made after the follow request was
// sent. Updates may arrive seconds late if the leader's network link is busy.
func (l *leaderLink) earliestSentAt(now time.Duration, update *stateUpdate) time.Duration {
	if update.SentAt == 0 {
		return now // a leader of an earlier version
	}
	if l.firstSentAt == 0 {
		l.firstSentAt = update.SentAt
	}
	return min(l.requestedAt+update.SentAt-l.firstSentAt, now)
}

// connectToLeader connects to the leader that the ownership record names, and closes the
// connection to the previous one.
func (c *controlLoop) connectToLeader() {
	if c.link != nil {
		c.link.cancel()
		c.link = nil
	}
	c.shared.forgetRateLimitReports(socket.BootTime())
	if c.record == nil || c.record.Leader.ID == c.self.ID {
		return
	}
	ctx, cancel := context.WithCancel(c.t.Context(context.Background()))
	l := &leaderLink{leader: c.record.Leader, cancel: cancel, out: make(chan []byte, 4)}
	c.link = l
	c.t.Go(func() error { c.maintainLink(ctx, l); return nil })
}

// maintainLink keeps a connection to the leader, and opens a new one whenever it fails,
// until the context ends. It runs in its own goroutine.
func (c *controlLoop) maintainLink(ctx context.Context, l *leaderLink) {
	dialer := net.Dialer{Timeout: linkDialTimeout, Control: socket.TCPUserTimeout(election.DefaultOptions.LeaderTimeout)}
	retryDelay := linkRetryInterval
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", l.leader.Address)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			connectedAt := time.Now()
			if err = c.runLink(ctx, l, conn); time.Since(connectedAt) > maxLinkRetryInterval {
				retryDelay = linkRetryInterval
			}
			stop()
			_ = conn.Close()
		}
		if ctx.Err() != nil {
			return
		}
		c.post(func() { c.handleLinkLost(l, err) })
		wait.For(retryDelay/2+rand.N(retryDelay), ctx.Done()) //nolint:gosec // not a secret
		retryDelay = min(2*retryDelay, maxLinkRetryInterval)
	}
}

// Errors of a connection to an instance that responds but isn't the leader.
var (
	errNotLeader = errors.New("instance is not the leader")
	// errLeaderRestarted means that the leader's process has exited and another one has
	// started at its address.
	errLeaderRestarted = fmt.Errorf("%w: its process has restarted", errNotLeader)
)

func (c *controlLoop) newFollowRequest(now time.Duration) followRequest {
	leases := c.leaderLeases // those of an earlier process if the leader has restarted
	if leases.at == 0 {
		leases = c.previousLeases
	}
	return followRequest{
		Instance: c.self.ID, Address: c.self.Address, Strength: c.self.Strength, Incarnation: c.self.Incarnation,
		ConfigVersion: c.configVersion, ConfigEra: c.configEra, LastLeases: leases.report(now),
	}
}

// runLink sends the follow request on a new connection and applies what the leader sends.
// It returns the error that ended the connection.
func (c *controlLoop) runLink(ctx context.Context, l *leaderLink, conn net.Conn) error {
	requests := make(chan followRequest, 1)
	c.post(func() {
		l.requestedAt, l.firstSentAt = socket.BootTime(), 0
		requests <- c.newFollowRequest(l.requestedAt)
	})
	var request followRequest
	select {
	case request = <-requests:
	case <-ctx.Done():
		return ctx.Err()
	}
	frame, err := encodeFrame(kindFollowRequest, request)
	if err != nil {
		return err
	}
	if err := writeFrame(conn, frame); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.t.Go(func() error { writeFrames(ctx, conn, l.out); return nil })
	r := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(election.DefaultOptions.LeaderTimeout))
		update := &stateUpdate{}
		info, reply := &leaderInfo{}, &notLeader{}
		kind, err := readFrame(r, map[byte]any{kindStateUpdate: update, kindCompressedStateUpdate: &compressedUpdate{update}, kindNotLeader: reply, kindLeaderInfo: info})
		if err != nil {
			return err
		}
		switch kind {
		case kindLeaderInfo:
			c.post(func() { c.handleLeaderInfo(info) })
			return errNotLeader
		case kindNotLeader:
			if reply.Incarnation > l.leader.Incarnation {
				return errLeaderRestarted
			}
			return errNotLeader
		}
		c.post(func() { c.applyStateUpdate(l, update) })
	}
}

func writeFrame(conn net.Conn, frame []byte) error {
	_ = conn.SetWriteDeadline(time.Now().Add(linkWriteTimeout))
	_, err := conn.Write(frame)
	return err
}

// writeFrames writes frames until the context ends, the connection fails, or a nil frame
// marks the end. Then it closes the connection.
func writeFrames(ctx context.Context, conn net.Conn, frames <-chan []byte) {
	for {
		select {
		case frame := <-frames:
			if frame == nil || writeFrame(conn, frame) != nil {
				_ = conn.Close()
				return
			}
		case <-ctx.Done():
			_ = conn.Close()
			return
		}
	}
}

func (c *controlLoop) handleLinkLost(l *leaderLink, err error) {
	if c.link != l {
		return
	}
	c.shared.forgetRateLimitReports(socket.BootTime())
	l.stateReceived = false
	c.leaderEnded = c.leaderEnded || errors.Is(err, errLeaderRestarted)
	// A connection that is reset before the leader has sent a state update counts as
	// refused: the instance there may have stopped listening without accepting it.
	c.leaderRefused = c.leaderEnded || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, errNotLeader) || errors.Is(err, syscall.ECONNRESET) && c.lastUpdateAt == 0
	c.log.Warn().Str("event", "leader.link_lost").Str("leader", l.leader.ID).Bool("refused", c.leaderRefused).Err(err).Send()
	if c.leaderRefused {
		c.lastUpdateAt = 0
	}
	if c.leaderEnded || errors.Is(err, syscall.ECONNREFUSED) {
		c.leaderPresumedEnded = true
		c.runElection(socket.BootTime()) // a takeover need not wait
	}
}

// applyStateUpdate applies a state update from the leader.
func (c *controlLoop) applyStateUpdate(l *leaderLink, update *stateUpdate) {
	if c.link != l || update.Term < c.term || c.leadership != nil {
		return
	}
	now := socket.BootTime()
	c.adoptEra(now, update)
	c.term, c.lastUpdateAt, c.leaderStoreAnswerAt, c.leaderRefused = update.Term, now, now-update.StoreAge, false
	c.leaderStoreUnreachable, c.leaderPresumedEnded, c.leaderEnded = update.StoreUnreachable, false, false
	c.leaderLeases = announcedLeases{term: update.Term, leases: update.OutstandingLeases, at: l.earliestSentAt(now, update)}
	if !update.StoreUnreachable {
		c.targets.setKeepMissingFor(now, update.KeepMissing)
	}
	c.setInstanceCount(update.Instances)
	c.elector.SetCandidates(update.Candidates)
	if update.Leader != nil && c.record != nil {
		c.record.Leader = *update.Leader
	}
	if update.OfferedLoad != nil {
		c.shared.setOfferedLoads(now, update.OfferedLoad.Targets)
	}
	if update.Leader != nil { // the leader handles what is sent from now on
		l.stateReceived = true
		c.shared.forgetRateLimitReports(now)
	}
	if update.GrantsPermits && l.stateReceived {
		c.shared.setPermitLeader(now)
	}
	if update.Config != nil {
		o, err := update.Config.decode(c.configKind())
		if err != nil {
			c.log.Error().Str("event", "config.unreadable").Uint64("store_version", uint64(update.Config.Version)).Err(err).Send()
			c.connectToLeader() // the leader sends the complete state on a new connection
			return
		}
		c.applyConfig(o, update.Config.Era)
	}
	if sentAt := l.earliestSentAt(now, update); l.stateReceived {
		c.leaderConfigConfirmedAt = max(c.leaderConfigConfirmedAt, sentAt-update.ConfigAge)
		c.configConfirmedAt = max(c.configConfirmedAt, c.leaderConfigConfirmedAt)
	}
	if update.Era == nil || *update.Era >= c.era { // versions of different eras are not comparable
		c.applyLeaderEvacuations(now, l, update.Evacuations)
	}
	if update.Targets != nil {
		c.activateTargetChange(now, c.targets.applyLeaderUpdate(now, update.Targets))
	}
	c.applyLeaderWarmUps(now, update)
	c.markTargetsLeaving(now, update.Leaving)
	c.mergeRateLimits(now, update.RateLimits, l.leader.ID)
	if len(update.Permits) > 0 {
		c.applyPermits(now, update.Permits, l.leader.ID)
	}
	if len(update.Owners) > 0 {
		changed := map[string][]routing.Owner{}
		for service, o := range update.Owners {
			owners, err := o.apply(c.owners[service])
			if err != nil {
				c.log.Error().Str("event", "owners.unreadable").Str("service", service).Err(err).Send()
				c.connectToLeader() // the leader sends the complete state on a new connection
				return
			}
			changed[service] = owners
		}
		c.applyOwners(changed)
	}
	if update.Resigned {
		c.leaderEnded, c.leaderPresumedEnded, c.leaderRefused, c.lastUpdateAt = true, true, true, 0
		c.runElection(now)
	}
	if update.Successor == c.self.ID && !c.takingOver && !c.stopping {
		c.takeOverAsSuccessor()
	}
}

// takeOverAsSuccessor takes over from a leader that has named this instance as its
// successor.
func (c *controlLoop) takeOverAsSuccessor() {
	c.readRecord(c.t.Context(context.Background()), func() {
		c.recordStoreAnswer(socket.BootTime())
		if c.leadership == nil && !c.takingOver && !c.recordRestored { // the leader, which knows the holders, replaces a restored record
			c.takeOver()
		}
	})
}

// reportLoad sends the measured load to the leader.
func (c *controlLoop) reportLoad(now time.Duration) {
	if now-c.lastReportAt < min(planInterval*time.Duration(max(int(c.shared.instances.Load())/reportersPerInterval, 1)), maxReportInterval) {
		return
	}
	c.lastReportAt = now
	report := c.shared.takeLoadReport()
	c.markTargetsLeaving(now, report.Leaving)
	if c.link == nil {
		return
	}
	c.sendToLeader(&report) // if the leader doesn't read, a newer report follows
}

// sendToLeader sends a report to the leader. It returns false if the leader doesn't read.
func (c *controlLoop) sendToLeader(report *loadReport) bool {
	frame, err := encodeFrame(kindLoadReport, report)
	if err != nil {
		c.log.Error().Str("event", "load.encode").Err(err).Send()
		return false
	}
	select {
	case c.link.out <- frame:
		return true
	default:
		return false
	}
}

// sendLeaderInfo tells the instance at the given address which instance is the leader. It
// runs in its own goroutine.
func (c *controlLoop) sendLeaderInfo(address string, info leaderInfo) {
	frame, err := encodeFrame(kindLeaderInfo, info)
	if err != nil {
		c.post(func() { c.log.Error().Str("event", "leads.encode").Err(err).Send() })
		return
	}
	conn, err := net.DialTimeout("tcp", address, linkDialTimeout)
	if err == nil {
		err = errors.Join(writeFrame(conn, frame), conn.Close())
	}
	if err != nil { // the instance learns it from the store, or from a target that refuses its fencing token
		c.post(func() { c.log.Info().Str("event", "leader.not_told").Str("address", address).Err(err).Send() })
	}
}

// adoptLeader follows a leader that was named by another instance rather than by a record.
func (c *controlLoop) adoptLeader(term uint64, leader rangelease.InstanceInfo) {
	next := rangelease.Record{}
	if c.record != nil {
		next = *c.record
	}
	next.Term, next.Leader = term, leader
	c.followLeader(&next)
}
