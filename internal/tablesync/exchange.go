package tablesync

import (
	"context"
	"time"

	"github.com/boragegate/boragegate/internal/wait"
	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/ownership"
)

// poll reads the table from the store periodically, less often if the cell has many
// members.
func (f *Follower) poll() error {
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
		if !f.sleep(f.interval()) {
			return nil
		}
	}
}

func (f *Follower) interval() time.Duration {
	n := time.Duration(len(f.cfg.Members()))
	return max(pollInterval, n*time.Second/pollsPerSecond)
}

// ask requests the table version from the other members round robin, so that each
// gets one request per cycle.
func (f *Follower) ask() error {
	for f.sleep(askInterval) {
		for _, m := range f.turn() {
			f.request(m)
		}
	}
	return nil
}

func (f *Follower) turn() []ownership.Member {
	others := f.others()
	if len(others) == 0 {
		return nil
	}
	n := (len(others) + roundsPerCycle - 1) / roundsPerCycle
	if f.starting() {
		n = len(others)
	}
	var turn []ownership.Member
	f.mu.Lock()
	defer f.mu.Unlock()
	for range n {
		turn = append(turn, others[f.next%len(others)])
		f.next++
	}
	return turn
}

func (f *Follower) request(m ownership.Member) {
	var version uint64
	if t := f.Table(); t != nil {
		version = t.Version
	}
	stamp := lease.Stamp(f.now()) //nolint:gosec // instants are not negative
	f.cfg.Peers.Send(m, ownership.TableRequest{Stamp: stamp, Version: version, Targets: f.cfg.Report()})
}

// Receive handles a message from a peer. It returns false if the message is not
// one of the table exchange; the caller must then handle it.
func (f *Follower) Receive(from string, msg ownership.Message) bool {
	switch m := msg.(type) {
	case ownership.TableRequest:
		f.answer(from, m)
	case ownership.TableUpdate:
		f.update(from, m)
	default:
		return false
	}
	return true
}

func (f *Follower) answer(from string, req ownership.TableRequest) {
	to, ok := f.member(from)
	f.mu.Lock()
	f.inForce[from] = Version{Version: req.Version, Heard: time.Now()}
	for _, s := range req.Targets {
		f.targets[s.Target] = s
	}
	f.notify()
	reply := ownership.TableUpdate{Stamp: req.Stamp, ConfirmedAgeMS: -1}
	if f.current != nil {
		reply.Version = f.current.Version
		if req.Version < reply.Version {
			reply.Data = f.data
		}
	}
	if at := f.confirmation(); at != never {
		// The age is rounded up to milliseconds, so that the receiver never takes
		// the confirmation for younger than it is.
		reply.ConfirmedAgeMS = (f.now() - at).Milliseconds() + 1
	}
	f.mu.Unlock()
	if ok {
		f.cfg.Peers.Send(to, reply)
	}
}

func (f *Follower) update(from string, u ownership.TableUpdate) {
	if len(u.Data) > 0 {
		before := f.Table()
		t, err := f.adopt(u.Data)
		if err != nil {
			f.cfg.Logger.Warn().Str("event", "table.malformed").Str("from", from).Err(err).Send()
			return
		}
		if m, ok := f.member(from); ok && t != before {
			f.request(m)
		}
	}
	asked := lease.Instant(u.Stamp) //nolint:gosec // checked below
	if u.Stamp == 0 || asked < 0 || asked > f.now() {
		return
	}
	if t := f.Table(); u.Version == 0 || t != nil && t.Version >= u.Version {
		f.answeredBy(from)
	}
	if u.ConfirmedAgeMS < 0 {
		return
	}
	f.confirm(u.Version, asked-time.Duration(u.ConfirmedAgeMS)*time.Millisecond)
}

func (f *Follower) others() []ownership.Member {
	var others []ownership.Member
	for _, m := range f.cfg.Members() {
		if m.ID != f.cfg.Self {
			others = append(others, m)
		}
	}
	return others
}

func (f *Follower) member(id string) (ownership.Member, bool) {
	for _, m := range f.cfg.Members() {
		if m.ID == id {
			return m, true
		}
	}
	return ownership.Member{}, false
}

// sleep waits for the duration. It returns false if the follower is closed meanwhile.
func (f *Follower) sleep(d time.Duration) bool {
	return wait.For(d, f.t.Dying())
}
