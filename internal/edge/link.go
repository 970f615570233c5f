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
	// linkRetry is the time between attempts to reach the leader.
	linkRetry = 150 * time.Millisecond
	// longestLinkRetry bounds that time, which grows with each attempt: hundreds of
	// instances may try the same address.
	longestLinkRetry = 600 * time.Millisecond
	// linkWriteTimeout ends a link whose other side does not read.
	linkWriteTimeout = time.Second
	// reportersPerInterval is the number of followers that may report their load in
	// each planInterval; more report less often, up to longestReport.
	reportersPerInterval = 16
	longestReport        = 600 * time.Millisecond
)

// link is the connection to the leader.
type link struct {
	leader rangelease.Leader
	cancel context.CancelFunc
	out    chan []byte
}

// dialLeader connects to the leader of the record, and ends the link to the one before.
func (c *control) dialLeader() {
	if c.link != nil {
		c.link.cancel()
		c.link = nil
	}
	if c.record == nil || c.record.Leader.ID == c.self.ID {
		return
	}
	ctx, cancel := context.WithCancel(c.t.Context(context.Background()))
	l := &link{leader: c.record.Leader, cancel: cancel, out: make(chan []byte, 4)}
	c.link = l
	c.t.Go(func() error { c.keepLink(ctx, l); return nil })
}

// keepLink connects again and again until the context ends. It runs on its own goroutine.
func (c *control) keepLink(ctx context.Context, l *link) {
	dialer := net.Dialer{Timeout: linkDialTimeout, Control: socket.UnacknowledgedLimit(election.DefaultOptions.LeaderTimeout)}
	retry := linkRetry
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", l.leader.Address)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			began := time.Now()
			if err = c.readLink(ctx, l, conn); time.Since(began) > longestLinkRetry {
				retry = linkRetry
			}
			stop()
			_ = conn.Close()
		}
		if ctx.Err() != nil {
			return
		}
		c.post(func() { c.linkLost(l, err) })
		wait.For(retry/2+rand.N(retry), ctx.Done()) //nolint:gosec // not a secret
		retry = min(2*retry, longestLinkRetry)
	}
}

// Errors of a link to an instance that answers and does not lead.
var (
	errNotLeader = errors.New("the instance does not lead")
	// errLaterProcess means that the leader's process has ended.
	errLaterProcess = fmt.Errorf("%w: it has started again", errNotLeader)
)

func (c *control) readLink(ctx context.Context, l *link, conn net.Conn) error {
	version := make(chan store.Version, 1)
	c.post(func() { version <- c.configVersion })
	h := hello{Instance: c.self.ID, Address: c.self.Address, Strength: c.self.Strength, Incarnation: c.self.Incarnation}
	select {
	case h.Config = <-version:
	case <-ctx.Done():
		return ctx.Err()
	}
	frame, err := encodeFrame(kindHello, h)
	if err != nil {
		return err
	}
	if err := writeFrame(conn, frame); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.t.Go(func() error { sendAll(ctx, conn, l.out); return nil })
	r := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(election.DefaultOptions.LeaderTimeout))
		n := &news{}
		other, none := &leads{}, &notLeader{}
		kind, err := readFrame(r, map[byte]any{kindNews: n, kindPackedNews: &packed{n}, kindNotLeader: none, kindLeads: other})
		if err != nil {
			return err
		}
		switch kind {
		case kindLeads:
			c.post(func() { c.toldLeader(other) })
			return errNotLeader
		case kindNotLeader:
			if none.Incarnation > l.leader.Incarnation {
				return errLaterProcess
			}
			return errNotLeader
		}
		c.post(func() { c.applyNews(l, n) })
	}
}

func writeFrame(conn net.Conn, frame []byte) error {
	_ = conn.SetWriteDeadline(time.Now().Add(linkWriteTimeout))
	_, err := conn.Write(frame)
	return err
}

// sendAll writes frames until the context ends, the connection fails, or a nil frame
// says that there are no more. Then it closes the connection.
func sendAll(ctx context.Context, conn net.Conn, frames <-chan []byte) {
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

func (c *control) linkLost(l *link, err error) {
	if c.link != l {
		return
	}
	c.refused = errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, errNotLeader) || errors.Is(err, syscall.ECONNRESET) && c.newsAt == 0
	c.log.Warn().Str("event", "leader.link_lost").Str("leader", l.leader.ID).Bool("refused", c.refused).Err(err).Send()
	if c.refused {
		c.newsAt = 0
	}
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, errLaterProcess) {
		c.leaderEnded = true
		c.elect(socket.BootTime()) // there is nothing to wait for
	}
}

// applyNews adopts what the leader says.
func (c *control) applyNews(l *link, n *news) {
	if c.link != l || n.Term < c.term || c.lead != nil {
		return
	}
	now := socket.BootTime()
	c.term, c.newsAt, c.leaderAt, c.refused = n.Term, now, now-n.StoreAge, false
	c.leaderLost, c.leaderEnded = n.StoreLost, false
	c.leaderLeft, c.leaderLeftAt = n.Left, now
	c.setInstances(n.Instances)
	c.elector.SetCandidates(n.Candidates)
	if n.Leader != nil && c.record != nil {
		c.record.Leader = *n.Leader
	}
	if n.Pressure != nil {
		c.shared.setPressure(now, n.Pressure.Targets)
	}
	if n.Config != nil {
		o, err := n.Config.decode(c.configKind())
		if err != nil {
			c.log.Error().Str("event", "config.unreadable").Uint64("store_version", uint64(n.Config.Version)).Err(err).Send()
			c.dialLeader() // the leader tells everything to a new link
			return
		}
		c.configSeen(o)
	}
	if n.Targets != nil {
		c.adoptTargets(now, n.Targets)
	}
	c.targetsLeave(now, n.Leaving)
	if len(n.Owners) > 0 {
		changed := map[string][]routing.Owner{}
		for service, o := range n.Owners {
			owners, err := o.apply(c.owners[service])
			if err != nil {
				c.log.Error().Str("event", "owners.unreadable").Str("service", service).Err(err).Send()
				c.dialLeader() // the leader tells everything to a new link
				return
			}
			changed[service] = owners
		}
		c.ownersChanged(changed)
	}
	if n.Successor == c.self.ID && !c.taking && !c.stopping {
		c.takeOverFrom()
	}
}

// takeOverFrom takes over from a leader that stops.
func (c *control) takeOverFrom() {
	c.readRecord(c.t.Context(context.Background()), func() {
		c.storeAnswered(socket.BootTime())
		if c.lead == nil && !c.taking {
			c.takeOver()
		}
	})
}

// adoptTargets adopts the leader's list of targets or its changes.
func (c *control) adoptTargets(now time.Duration, n *targetNews) {
	c.targets.doubtUntil = 0 // the leader judges missing entries
	if n.Whole {
		c.targetsChanged(now, &targetNews{Version: c.targets.version, Deleted: c.targets.judged(n.Put)})
	}
	if n.Version >= c.targets.version {
		c.targetsChanged(now, c.targets.apply(now, n))
	}
}

// report sends what was measured to the leader.
func (c *control) report(now time.Duration) {
	if now-c.reportedAt < min(planInterval*time.Duration(max(int(c.shared.instances.Load())/reportersPerInterval, 1)), longestReport) {
		return
	}
	c.reportedAt = now
	took := c.shared.takeLoad()
	c.targetsLeave(now, took.Leaving)
	if c.link == nil {
		return
	}
	frame, err := encodeFrame(kindLoad, took)
	if err != nil {
		c.log.Error().Str("event", "load.encode").Err(err).Send()
		return
	}
	select {
	case c.link.out <- frame:
	default: // the leader does not read; a newer report follows
	}
}

// tellLeader tells the instance at an address who leads. It runs on its own goroutine.
func (c *control) tellLeader(address string, l leads) {
	frame, err := encodeFrame(kindLeads, l)
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
func (c *control) adoptLeader(term uint64, leader rangelease.Leader) {
	next := rangelease.Record{}
	if c.record != nil {
		next = *c.record
	}
	next.Term, next.Leader = term, leader
	c.newLeader(&next)
}
