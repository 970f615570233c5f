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
	"github.com/boragegate/boragegate/store"
)

const (
	// linkDialTimeout bounds connecting to the leader. Instances are a few milliseconds
	// apart, and a machine without power does not answer until it has started.
	linkDialTimeout = 200 * time.Millisecond
	// linkRetryInterval is the time between attempts to reach the leader.
	linkRetryInterval = 150 * time.Millisecond
	// maxLinkRetryInterval bounds that time, which grows with each attempt: hundreds of
	// instances may try the same address.
	maxLinkRetryInterval = 600 * time.Millisecond
	// linkWriteTimeout ends a link whose other side does not read.
	linkWriteTimeout = time.Second
	// reportersPerInterval is the number of followers that may report their load in
	// each planInterval; more report less often, up to maxReportInterval.
	reportersPerInterval = 16
	maxReportInterval    = 600 * time.Millisecond
)

// leaderLink is the connection to the leader.
type leaderLink struct {
	leader rangelease.Leader
	cancel context.CancelFunc
	out    chan []byte
}

// connectToLeader connects to the leader of the record, and ends the link to the one before.
func (c *controlLoop) connectToLeader() {
	if c.link != nil {
		c.link.cancel()
		c.link = nil
	}
	if c.record == nil || c.record.Leader.ID == c.self.ID {
		return
	}
	ctx, cancel := context.WithCancel(c.t.Context(context.Background()))
	l := &leaderLink{leader: c.record.Leader, cancel: cancel, out: make(chan []byte, 4)}
	c.link = l
	c.t.Go(func() error { c.maintainLink(ctx, l); return nil })
}

// maintainLink connects again and again until the context ends. It runs on its own goroutine.
func (c *controlLoop) maintainLink(ctx context.Context, l *leaderLink) {
	dialer := net.Dialer{Timeout: linkDialTimeout, Control: socket.UnacknowledgedLimit(election.DefaultOptions.LeaderTimeout)}
	retry := linkRetryInterval
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", l.leader.Address)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			began := time.Now()
			if err = c.runLink(ctx, l, conn); time.Since(began) > maxLinkRetryInterval {
				retry = linkRetryInterval
			}
			stop()
			_ = conn.Close()
		}
		if ctx.Err() != nil {
			return
		}
		c.post(func() { c.handleLinkLost(l, err) })
		wait.For(retry/2+rand.N(retry), ctx.Done()) //nolint:gosec // not a secret
		retry = min(2*retry, maxLinkRetryInterval)
	}
}

// Errors of a link to an instance that answers and does not lead.
var (
	errNotLeader = errors.New("the instance does not lead")
	// errLeaderRestarted means that the leader's process has ended.
	errLeaderRestarted = fmt.Errorf("%w: it has started again", errNotLeader)
)

func (c *controlLoop) runLink(ctx context.Context, l *leaderLink, conn net.Conn) error {
	version := make(chan store.Version, 1)
	c.post(func() { version <- c.configVersion })
	h := followRequest{Instance: c.self.ID, Address: c.self.Address, Strength: c.self.Strength, Incarnation: c.self.Incarnation}
	select {
	case h.ConfigVersion = <-version:
	case <-ctx.Done():
		return ctx.Err()
	}
	frame, err := encodeFrame(kindFollowRequest, h)
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
		n := &stateUpdate{}
		other, none := &leaderInfo{}, &notLeader{}
		kind, err := readFrame(r, map[byte]any{kindStateUpdate: n, kindCompressedStateUpdate: &compressedUpdate{n}, kindNotLeader: none, kindLeaderInfo: other})
		if err != nil {
			return err
		}
		switch kind {
		case kindLeaderInfo:
			c.post(func() { c.handleLeaderInfo(other) })
			return errNotLeader
		case kindNotLeader:
			if none.Incarnation > l.leader.Incarnation {
				return errLeaderRestarted
			}
			return errNotLeader
		}
		c.post(func() { c.applyStateUpdate(l, n) })
	}
}

func writeFrame(conn net.Conn, frame []byte) error {
	_ = conn.SetWriteDeadline(time.Now().Add(linkWriteTimeout))
	_, err := conn.Write(frame)
	return err
}

// writeFrames writes frames until the context ends, the connection fails, or a nil frame
// says that there are no more. Then it closes the connection.
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
	c.leaderRefused = errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, errNotLeader) || errors.Is(err, syscall.ECONNRESET) && c.lastUpdateAt == 0
	c.log.Warn().Str("event", "leader.link_lost").Str("leader", l.leader.ID).Bool("refused", c.leaderRefused).Err(err).Send()
	if c.leaderRefused {
		c.lastUpdateAt = 0
	}
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, errLeaderRestarted) {
		c.leaderExited = true
		c.runElection(socket.BootTime()) // there is nothing to wait for
	}
}

// applyStateUpdate adopts what the leader says.
func (c *controlLoop) applyStateUpdate(l *leaderLink, n *stateUpdate) {
	if c.link != l || n.Term < c.term || c.leadership != nil {
		return
	}
	now := socket.BootTime()
	c.term, c.lastUpdateAt, c.leaderStoreAnswerAt, c.leaderRefused = n.Term, now, now-n.StoreAge, false
	c.leaderStoreUnreachable, c.leaderExited = n.StoreUnreachable, false
	c.leaderOutstanding, c.leaderOutstandingAt = n.OutstandingLeases, now
	c.setInstances(n.Instances)
	c.elector.SetCandidates(n.Candidates)
	if n.Leader != nil && c.record != nil {
		c.record.Leader = *n.Leader
	}
	if n.OfferedLoad != nil {
		c.shared.setOfferedLoads(now, n.OfferedLoad.Targets)
	}
	if n.Config != nil {
		o, err := n.Config.decode(c.configKind())
		if err != nil {
			c.log.Error().Str("event", "config.unreadable").Uint64("store_version", uint64(n.Config.Version)).Err(err).Send()
			c.connectToLeader() // the leader tells everything to a new link
			return
		}
		c.applyConfig(o)
	}
	if n.Targets != nil {
		c.applyLeaderTargets(now, n.Targets)
	}
	c.markTargetsLeaving(now, n.Leaving)
	if len(n.Owners) > 0 {
		changed := map[string][]routing.Owner{}
		for service, o := range n.Owners {
			owners, err := o.apply(c.owners[service])
			if err != nil {
				c.log.Error().Str("event", "owners.unreadable").Str("service", service).Err(err).Send()
				c.connectToLeader() // the leader tells everything to a new link
				return
			}
			changed[service] = owners
		}
		c.applyOwners(changed)
	}
	if n.Successor == c.self.ID && !c.takingOver && !c.stopping {
		c.takeOverAsSuccessor()
	}
}

// takeOverAsSuccessor takes over from a leader that stops.
func (c *controlLoop) takeOverAsSuccessor() {
	c.readRecord(c.t.Context(context.Background()), func() {
		c.recordStoreAnswer(socket.BootTime())
		if c.leadership == nil && !c.takingOver {
			c.takeOver()
		}
	})
}

// applyLeaderTargets adopts the leader's list of targets or its changes.
func (c *controlLoop) applyLeaderTargets(now time.Duration, n *targetUpdate) {
	c.targets.keepMissingUntil = 0 // the leader judges missing entries
	if n.Full {
		c.applyTargetChange(now, &targetUpdate{Version: c.targets.version, Deleted: c.targets.dropUnlisted(n.Put)})
	}
	if n.Version >= c.targets.version {
		c.applyTargetChange(now, c.targets.apply(now, n))
	}
}

// reportLoad sends what was measured to the leader.
func (c *controlLoop) reportLoad(now time.Duration) {
	if now-c.lastReportAt < min(planInterval*time.Duration(max(int(c.shared.instances.Load())/reportersPerInterval, 1)), maxReportInterval) {
		return
	}
	c.lastReportAt = now
	took := c.shared.takeLoadReport()
	c.markTargetsLeaving(now, took.Leaving)
	if c.link == nil {
		return
	}
	frame, err := encodeFrame(kindLoadReport, took)
	if err != nil {
		c.log.Error().Str("event", "load.encode").Err(err).Send()
		return
	}
	select {
	case c.link.out <- frame:
	default: // the leader does not read; a newer report follows
	}
}

// sendLeaderInfo tells the instance at an address who leads. It runs on its own goroutine.
func (c *controlLoop) sendLeaderInfo(address string, l leaderInfo) {
	frame, err := encodeFrame(kindLeaderInfo, l)
	if err != nil {
		c.post(func() { c.log.Error().Str("event", "leads.encode").Err(err).Send() })
		return
	}
	conn, err := net.DialTimeout("tcp", address, linkDialTimeout)
	if err == nil {
		err = errors.Join(writeFrame(conn, frame), conn.Close())
	}
	if err != nil { // it learns from the store, or from a target that refuses its token
		c.post(func() { c.log.Info().Str("event", "leader.not_told").Str("address", address).Err(err).Send() })
	}
}

// adoptLeader follows a leader that is known by message only.
func (c *controlLoop) adoptLeader(term uint64, leader rangelease.Leader) {
	next := rangelease.Record{}
	if c.record != nil {
		next = *c.record
	}
	next.Term, next.Leader = term, leader
	c.followLeader(&next)
}
