// Package tablesync keeps the operators' table of an instance up to date. A
// Follower reads the store and exchanges versions with the other members of the
// cell, so that an instance that is cut off from the store still learns of a
// change, and an instance that cannot know stops taking requests.
package tablesync

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/ownership"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table"
)

const (
	// kind and name of the table in the store.
	kind = "table"
	name = "current"
	// ConfirmationValid is the age up to which a confirmation of the table
	// version lets an instance serve that is not in contact with its cell.
	ConfirmationValid = 5 * time.Second
	// pollInterval is the shortest time between two reads of the store.
	pollInterval = time.Second
	// pollsPerSecond bounds the reads of the whole fleet.
	pollsPerSecond = 8
	// askInterval is the time between rounds of requests to members.
	askInterval = 500 * time.Millisecond
	// roundsPerCycle is the number of rounds in which every member is asked once.
	// A cycle of 4 s leaves 3 s of the 7 s bound for a lost message.
	roundsPerCycle = 8
)

// never stands for the time of a confirmation that has not happened.
const never = lease.Instant(math.MinInt64)

// Peers sends messages to other instances; Send does not block.
type Peers interface {
	Send(to ownership.Member, msg ownership.Message)
}

// Config holds what a follower needs.
type Config struct {
	Self  string
	Store store.Store
	Peers Peers
	// Members returns the members of the cell.
	Members func() []ownership.Member
	// Adopt is called with every version that the instance puts in force, in rising order.
	Adopt  func(t *table.Table)
	Logger zerolog.Logger
	// Report returns the state of the targets that this instance controls.
	Report func() []ownership.TargetStatus
	// ReadTimeout bounds one read of the store.
	ReadTimeout time.Duration
}

// Follower follows the table. Its methods are safe for concurrent use.
type Follower struct {
	cfg   Config
	start time.Time
	t     tomb.Tomb

	mu      sync.Mutex
	current *table.Table
	data    []byte
	// confirmedAt is the time of the last confirmation, or never. It is written
	// with the mutex held and read without it.
	confirmedAt atomic.Int64
	// answered has the members that answered a request; nil once the first
	// confirmation may count.
	answered map[string]bool
	inForce  map[string]Version
	targets  map[string]ownership.TargetStatus
	next     int
	changed  chan struct{}
	storeErr error
}

// Target returns the state of a target that another instance controls, as last heard.
func (f *Follower) Target(id string) (ownership.TargetStatus, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.targets[id]
	return s, ok
}

// Version is the table version that an instance has in force, as last heard.
type Version struct {
	Version uint64
	Heard   time.Time
}

// New returns a follower that has not started.
func New(cfg Config) *Follower {
	f := &Follower{
		cfg: cfg, start: time.Now(), answered: map[string]bool{}, inForce: map[string]Version{},
		targets: map[string]ownership.TargetStatus{}, changed: make(chan struct{}),
	}
	f.confirmedAt.Store(int64(never))
	return f
}

// Start starts to follow.
func (f *Follower) Start() {
	f.t.Go(func() error {
		f.t.Go(f.poll)
		f.t.Go(f.ask)
		return nil
	})
}

// Close stops following.
func (f *Follower) Close() error {
	f.t.Kill(nil)
	return f.t.Wait()
}

func (f *Follower) now() lease.Instant { return time.Since(f.start) + 1 }

// Table returns the table in force, or nil.
func (f *Follower) Table() *table.Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// confirmation returns the time of the last confirmation, or never.
func (f *Follower) confirmation() lease.Instant { return lease.Instant(f.confirmedAt.Load()) }

// Confirmed reports whether the version in force was known to be the newest
// within ConfirmationValid, and whether it was ever known to be.
func (f *Follower) Confirmed() (recently, ever bool) {
	at := f.confirmation()
	ever = at != never
	return ever && f.now()-at < ConfirmationValid, ever
}

// ConfirmedAge returns the time since the version in force was known to be the
// newest, or -1 ms if it never was.
func (f *Follower) ConfirmedAge() time.Duration {
	at := f.confirmation()
	if at == never {
		return -time.Millisecond
	}
	return f.now() - at
}

// StoreError returns the error of the last read of the store, or nil.
func (f *Follower) StoreError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeErr
}

// InForce returns the version that each instance has in force, as last heard.
func (f *Follower) InForce() map[string]Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := make(map[string]Version, len(f.inForce)+1)
	for id, v := range f.inForce {
		m[id] = v
	}
	if f.current != nil {
		m[f.cfg.Self] = Version{Version: f.current.Version, Heard: time.Now()}
	}
	return m
}

// Refresh reads the store now.
func (f *Follower) Refresh(ctx context.Context) error {
	begin := f.now()
	obj, err := f.cfg.Store.Get(ctx, kind, name)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	t, err := f.adopt(obj.Value)
	if err != nil {
		return err
	}
	f.confirm(t.Version, begin)
	return nil
}

// Publish puts a newly stored version in force here, sends it to all members and
// waits until a majority of them, this instance included, has it in force.
func (f *Follower) Publish(ctx context.Context, data []byte, majority int) error {
	t, err := f.adopt(data)
	if err != nil {
		return err
	}
	for _, m := range f.others() {
		f.cfg.Peers.Send(m, ownership.TableUpdate{Version: t.Version, ConfirmedAgeMS: -1, Data: data})
	}
	return f.await(ctx, t.Version, majority)
}

func (f *Follower) await(ctx context.Context, version uint64, majority int) error {
	for {
		f.mu.Lock()
		count, changed := 1, f.changed
		for _, v := range f.inForce {
			if v.Version >= version {
				count++
			}
		}
		f.mu.Unlock()
		if count >= majority {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-f.t.Dying():
			return tomb.ErrDying
		}
	}
}

// adopt puts an encoded table in force unless the instance already has that
// version or a later one. It returns the table that is in force then.
func (f *Follower) adopt(data []byte) (*table.Table, error) {
	var t table.Table
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && t.Version <= f.current.Version {
		return f.current, nil
	}
	f.current, f.data = &t, data
	f.notify()
	f.cfg.Logger.Info().Str("event", "table.in_force").Uint64("table_version", t.Version).Send()
	f.cfg.Adopt(&t)
	return &t, nil
}

// confirm notes that no version after the one in force existed at the time. It is
// called with the newest version of that time and the time at which the question
// was sent. A confirmation stays true when a later version comes into force.
func (f *Follower) confirm(version uint64, at lease.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current == nil || f.current.Version < version || !f.caughtUp() {
		return
	}
	if at > f.confirmation() {
		f.confirmedAt.Store(int64(at))
	}
}

// caughtUp reports whether this process knows at least the version that was in
// force in its cell when it started. It remembers no version from before, and the
// store may read from a replica that lags; so it hears a majority of the members
// first, itself included. Called with the mutex held.
func (f *Follower) caughtUp() bool {
	if f.answered == nil {
		return true
	}
	members := f.cfg.Members()
	count, self := 0, false
	for _, m := range members {
		self = self || m.ID == f.cfg.Self
		if m.ID == f.cfg.Self || f.answered[m.ID] {
			count++
		}
	}
	if !self || count <= len(members)/2 {
		return false
	}
	f.answered = nil
	return true
}

// answeredBy notes that a member told its version, which is in force here now.
func (f *Follower) answeredBy(from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answered != nil {
		f.answered[from] = true
	}
}

// starting reports whether the first confirmation is still missing.
func (f *Follower) starting() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answered != nil
}

// notify wakes up all that wait for a change; called with the mutex held.
func (f *Follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}
