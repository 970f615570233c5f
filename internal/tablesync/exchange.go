package tablesync

import (
	"context"
	"time"

	"github.com/boragegate/boragegate/internal/wait"
	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/ownership"
)

// pollStore reads the table from the store periodically until the Syncer is closed.
func (s *Syncer) pollStore() error {
	for {
		ctx, cancel := context.WithTimeout(s.t.Context(nil), s.cfg.ReadTimeout) //nolint:staticcheck // nil selects the context of the tomb itself
		err := s.Refresh(ctx)
		cancel()
		s.mu.Lock()
		s.storeErr = err
		s.mu.Unlock()
		if err != nil {
			s.cfg.Logger.Debug().Str("event", "table.read_failed").Err(err).Send()
		}
		if !s.sleep(s.storePollInterval()) {
			return nil
		}
	}
}

// storePollInterval returns the interval between reads of the store. It is longer in a
// large cell, so that all members together do not exceed maxCellPollsPerSecond.
func (s *Syncer) storePollInterval() time.Duration {
	n := time.Duration(len(s.cfg.Members()))
	return max(minPollInterval, n*time.Second/maxCellPollsPerSecond)
}

// requestVersions requests the table version from the other members in round-robin
// order, so that each gets at least one request in roundsPerCycle rounds. Until the first
// confirmation is accepted, each gets one in every round.
func (s *Syncer) requestVersions() error {
	for s.sleep(requestInterval) {
		for _, m := range s.nextMembers() {
			s.sendRequest(m)
		}
	}
	return nil
}

// nextMembers returns the members that get a request in the next round.
func (s *Syncer) nextMembers() []ownership.Member {
	others := s.otherMembers()
	if len(others) == 0 {
		return nil
	}
	n := (len(others) + roundsPerCycle - 1) / roundsPerCycle
	if s.awaitsFirstConfirmation() {
		n = len(others)
	}
	var members []ownership.Member
	s.mu.Lock()
	defer s.mu.Unlock()
	for range n {
		members = append(members, others[s.nextMember%len(others)])
		s.nextMember++
	}
	return members
}

func (s *Syncer) sendRequest(m ownership.Member) {
	var version uint64
	if t := s.Table(); t != nil {
		version = t.Version
	}
	stamp := lease.Stamp(s.now()) //nolint:gosec // instants are not negative
	s.cfg.Peers.Send(m, ownership.TableRequest{Stamp: stamp, Version: version, Targets: s.cfg.ControlledTargets()})
}

// Receive handles a message from a peer if it is a TableRequest or TableUpdate of package
// ownership. Otherwise it returns false, and the caller must handle the message.
func (s *Syncer) Receive(from string, msg ownership.Message) bool {
	switch m := msg.(type) {
	case ownership.TableRequest:
		s.handleRequest(from, m)
	case ownership.TableUpdate:
		s.handleUpdate(from, m)
	default:
		return false
	}
	return true
}

// handleRequest records the version and the target statuses of the sender and replies with
// the version of this instance, and with the table if the sender has an older one.
func (s *Syncer) handleRequest(from string, req ownership.TableRequest) {
	to, ok := s.member(from)
	s.mu.Lock()
	s.activeVersions[from] = Version{Version: req.Version, ReceivedAt: time.Now()}
	for _, status := range req.Targets {
		s.targets[status.Target] = status
	}
	s.wakeWaiters()
	reply := ownership.TableUpdate{Stamp: req.Stamp, ConfirmedAgeMS: -1}
	if s.active != nil {
		reply.Version = s.active.Version
		if req.Version < reply.Version {
			reply.Data = s.activeData
		}
	}
	if at := s.lastConfirmation(); at != neverConfirmed {
		// The age is rounded up to milliseconds, so that the receiver never takes
		// the confirmation for younger than it is.
		reply.ConfirmedAgeMS = (s.now() - at).Milliseconds() + 1
	}
	s.mu.Unlock()
	if ok {
		s.cfg.Peers.Send(to, reply)
	}
}

// handleUpdate activates the table of an update, if it has one that is newer than the
// active one. If the update is a reply to a request, it also records the answer if this
// instance has at least the reported version, and the confirmation if the reply has one.
func (s *Syncer) handleUpdate(from string, u ownership.TableUpdate) {
	if len(u.Data) > 0 {
		previous := s.Table()
		t, err := s.activate(u.Data)
		if err != nil {
			s.cfg.Logger.Warn().Str("event", "table.malformed").Str("from", from).Err(err).Send()
			return
		}
		if m, ok := s.member(from); ok && t != previous {
			s.sendRequest(m) // tells the sender that the version is active here
		}
	}
	requestedAt := lease.Instant(u.Stamp) //nolint:gosec // a negative value is rejected below
	// An update without a stamp was sent without a request and confirms nothing.
	if u.Stamp == 0 || requestedAt < 0 || requestedAt > s.now() {
		return
	}
	if t := s.Table(); u.Version == 0 || t != nil && t.Version >= u.Version {
		s.recordAnswer(from)
	}
	if u.ConfirmedAgeMS < 0 {
		return
	}
	s.recordConfirmation(u.Version, requestedAt-time.Duration(u.ConfirmedAgeMS)*time.Millisecond)
}

func (s *Syncer) otherMembers() []ownership.Member {
	var others []ownership.Member
	for _, m := range s.cfg.Members() {
		if m.ID != s.cfg.Self {
			others = append(others, m)
		}
	}
	return others
}

func (s *Syncer) member(id string) (ownership.Member, bool) {
	for _, m := range s.cfg.Members() {
		if m.ID == id {
			return m, true
		}
	}
	return ownership.Member{}, false
}

// sleep waits for the duration. It returns false if the Syncer is closed meanwhile.
func (s *Syncer) sleep(d time.Duration) bool {
	return wait.For(d, s.t.Dying())
}
