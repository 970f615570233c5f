package tablesync

import (
	"context"
	"time"

	"github.com/boragegate/boragegate/internal/wait"
	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/ownership"
)

// pollStore reads the store, less often in a large fleet.
func (f *Syncer) pollStore() error {
	for {
		ctx, cancel := context.WithTimeout(f.t.Context(nil), f.cfg.ReadTimeout) //nolint:staticcheck // tomb takes nil for its own context
		err := f.Refresh(ctx)
		cancel()
		f.mu.Lock()
		f.storeErr = err
		f.mu.Unlock()
		if err != nil {
			f.cfg.Logger.Debug().Str("event", "table.read_failed").Err(err).Send()
		}
		if !f.sleep(f.storePollInterval()) {
			return nil
		}
	}
}

func (f *Syncer) storePollInterval() time.Duration {
	n := time.Duration(len(f.cfg.Members()))
	return max(minPollInterval, n*time.Second/maxFleetPollsPerSecond)
}

// requestVersions sends requests to the members in turn, so that each is asked once a cycle.
func (f *Syncer) requestVersions() error {
	for f.sleep(requestInterval) {
		for _, m := range f.nextMembers() {
			f.sendRequest(m)
		}
	}
	return nil
}

func (f *Syncer) nextMembers() []ownership.Member {
	others := f.otherMembers()
	if len(others) == 0 {
		return nil
	}
	n := (len(others) + roundsPerCycle - 1) / roundsPerCycle
	if f.awaitsFirstConfirmation() {
		n = len(others)
	}
	var turn []ownership.Member
	f.mu.Lock()
	defer f.mu.Unlock()
	for range n {
		turn = append(turn, others[f.nextMember%len(others)])
		f.nextMember++
	}
	return turn
}

func (f *Syncer) sendRequest(m ownership.Member) {
	var version uint64
	if t := f.Table(); t != nil {
		version = t.Version
	}
	stamp := lease.Stamp(f.now()) //nolint:gosec // instants are not negative
	f.cfg.Peers.Send(m, ownership.TableRequest{Stamp: stamp, Version: version, Targets: f.cfg.ControlledTargets()})
}

// Receive handles a message of a peer. It reports whether the message was one
// of the table's.
func (f *Syncer) Receive(from string, msg ownership.Message) bool {
	switch m := msg.(type) {
	case ownership.TableRequest:
		f.handleRequest(from, m)
	case ownership.TableUpdate:
		f.handleUpdate(from, m)
	default:
		return false
	}
	return true
}

func (f *Syncer) handleRequest(from string, req ownership.TableRequest) {
	to, ok := f.member(from)
	f.mu.Lock()
	f.activeVersions[from] = Version{Version: req.Version, ReceivedAt: time.Now()}
	for _, s := range req.Targets {
		f.targets[s.Target] = s
	}
	f.wakeWaiters()
	reply := ownership.TableUpdate{Stamp: req.Stamp, ConfirmedAgeMS: -1}
	if f.active != nil {
		reply.Version = f.active.Version
		if req.Version < reply.Version {
			reply.Data = f.activeData
		}
	}
	if at := f.lastConfirmation(); at != neverConfirmed {
		// Rounded up, so that a confirmation never becomes younger on its way.
		reply.ConfirmedAgeMS = (f.now() - at).Milliseconds() + 1
	}
	f.mu.Unlock()
	if ok {
		f.cfg.Peers.Send(to, reply)
	}
}

func (f *Syncer) handleUpdate(from string, u ownership.TableUpdate) {
	if len(u.Data) > 0 {
		before := f.Table()
		t, err := f.activate(u.Data)
		if err != nil {
			f.cfg.Logger.Warn().Str("event", "table.malformed").Str("from", from).Err(err).Send()
			return
		}
		if m, ok := f.member(from); ok && t != before {
			f.sendRequest(m)
		}
	}
	asked := lease.Instant(u.Stamp) //nolint:gosec // checked below
	if u.Stamp == 0 || asked < 0 || asked > f.now() {
		return
	}
	if t := f.Table(); u.Version == 0 || t != nil && t.Version >= u.Version {
		f.recordAnswer(from)
	}
	if u.ConfirmedAgeMS < 0 {
		return
	}
	f.recordConfirmation(u.Version, asked-time.Duration(u.ConfirmedAgeMS)*time.Millisecond)
}

func (f *Syncer) otherMembers() []ownership.Member {
	var others []ownership.Member
	for _, m := range f.cfg.Members() {
		if m.ID != f.cfg.Self {
			others = append(others, m)
		}
	}
	return others
}

func (f *Syncer) member(id string) (ownership.Member, bool) {
	for _, m := range f.cfg.Members() {
		if m.ID == id {
			return m, true
		}
	}
	return ownership.Member{}, false
}

// sleep waits for the duration; it returns false when the follower is closed.
func (f *Syncer) sleep(d time.Duration) bool {
	return wait.For(d, f.t.Dying())
}
