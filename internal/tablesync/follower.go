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
	// objectKind and name of the table in the store.
	objectKind = "table"
	objectName = "current"
	// ConfirmationTTL is the age up to which a confirmation of the table
	// version lets an instance serve that is not in contact with its cell.
	ConfirmationTTL = 5 * time.Second
	// minPollInterval is the shortest time between two reads of the store.
	minPollInterval = time.Second
	// maxFleetPollsPerSecond bounds the reads of the whole fleet.
	maxFleetPollsPerSecond = 8
	// requestInterval is the time between rounds of requests to members.
	requestInterval = 500 * time.Millisecond
	// roundsPerCycle is the number of rounds in which every member is asked once.
	// A cycle of 4 s leaves 3 s of the 7 s bound for a lost message.
	roundsPerCycle = 8
)

// neverConfirmed stands for the time of a confirmation that has not happened.
const neverConfirmed = lease.Instant(math.MinInt64)

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
	// Activate is called with every version that the instance puts in force, in rising order.
	Activate func(t *table.Table)
	Logger   zerolog.Logger
	// ControlledTargets returns the state of the targets that this instance controls.
	ControlledTargets func() []ownership.TargetStatus
	// ReadTimeout bounds one read of the store.
	ReadTimeout time.Duration
}

// Syncer follows the table. Its methods are safe for concurrent use.
type Syncer struct {
	cfg       Config
	startedAt time.Time
	t         tomb.Tomb

	mu         sync.Mutex
	active     *table.Table
	activeData []byte
	// confirmedAt is the time of the last confirmation, or never. It is written
	// with the mutex held and read without it.
	confirmedAt atomic.Int64
	// answeredMembers has the members that answered a request; nil once the first
	// confirmation may count.
	answeredMembers map[string]bool
	activeVersions  map[string]Version
	targets         map[string]ownership.TargetStatus
	nextMember      int
	changed         chan struct{}
	storeErr        error
}

// TargetStatus returns the state of a target that another instance controls, as last heard.
func (f *Syncer) TargetStatus(id string) (ownership.TargetStatus, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.targets[id]
	return s, ok
}

// Version is the table version that an instance has in force, as last heard.
type Version struct {
	Version    uint64
	ReceivedAt time.Time
}

// New returns a follower that has not started.
func New(cfg Config) *Syncer {
	f := &Syncer{
		cfg: cfg, startedAt: time.Now(), answeredMembers: map[string]bool{}, activeVersions: map[string]Version{},
		targets: map[string]ownership.TargetStatus{}, changed: make(chan struct{}),
	}
	f.confirmedAt.Store(int64(neverConfirmed))
	return f
}

// Start starts to follow.
func (f *Syncer) Start() {
	f.t.Go(func() error {
		f.t.Go(f.pollStore)
		f.t.Go(f.requestVersions)
		return nil
	})
}

// Close stops following.
func (f *Syncer) Close() error {
	f.t.Kill(nil)
	return f.t.Wait()
}

func (f *Syncer) now() lease.Instant { return time.Since(f.startedAt) + 1 }

// Table returns the table in force, or nil.
func (f *Syncer) Table() *table.Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active
}

// lastConfirmation returns the time of the last confirmation, or never.
func (f *Syncer) lastConfirmation() lease.Instant { return lease.Instant(f.confirmedAt.Load()) }

// Confirmed reports whether the version in force was known to be the newest
// within ConfirmationTTL, and whether it was ever known to be.
func (f *Syncer) Confirmed() (recently, ever bool) {
	at := f.lastConfirmation()
	ever = at != neverConfirmed
	return ever && f.now()-at < ConfirmationTTL, ever
}

// ConfirmationAge returns the time since the version in force was known to be the
// newest, or -1 ms if it never was.
func (f *Syncer) ConfirmationAge() time.Duration {
	at := f.lastConfirmation()
	if at == neverConfirmed {
		return -time.Millisecond
	}
	return f.now() - at
}

// StoreError returns the error of the last read of the store, or nil.
func (f *Syncer) StoreError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeErr
}

// ActiveVersions returns the version that each instance has in force, as last heard.
func (f *Syncer) ActiveVersions() map[string]Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := make(map[string]Version, len(f.activeVersions)+1)
	for id, v := range f.activeVersions {
		m[id] = v
	}
	if f.active != nil {
		m[f.cfg.Self] = Version{Version: f.active.Version, ReceivedAt: time.Now()}
	}
	return m
}

// Refresh reads the store now.
func (f *Syncer) Refresh(ctx context.Context) error {
	begin := f.now()
	obj, err := f.cfg.Store.Get(ctx, objectKind, objectName)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	t, err := f.activate(obj.Value)
	if err != nil {
		return err
	}
	f.recordConfirmation(t.Version, begin)
	return nil
}

// Publish puts a newly stored version in force here, sends it to all members and
// waits until a majority of them, this instance included, has it in force.
func (f *Syncer) Publish(ctx context.Context, data []byte, majority int) error {
	t, err := f.activate(data)
	if err != nil {
		return err
	}
	for _, m := range f.otherMembers() {
		f.cfg.Peers.Send(m, ownership.TableUpdate{Version: t.Version, ConfirmedAgeMS: -1, Data: data})
	}
	return f.awaitMajority(ctx, t.Version, majority)
}

func (f *Syncer) awaitMajority(ctx context.Context, version uint64, majority int) error {
	for {
		f.mu.Lock()
		count, changed := 1, f.changed
		for _, v := range f.activeVersions {
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

// activate puts an encoded table in force unless the instance already has that
// version or a later one. It returns the table that is in force then.
func (f *Syncer) activate(data []byte) (*table.Table, error) {
	var t table.Table
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active != nil && t.Version <= f.active.Version {
		return f.active, nil
	}
	f.active, f.activeData = &t, data
	f.wakeWaiters()
	f.cfg.Logger.Info().Str("event", "table.in_force").Uint64("table_version", t.Version).Send()
	f.cfg.Activate(&t)
	return &t, nil
}

// recordConfirmation notes that no version after the one in force existed at the time. It is
// called with the newest version of that time and the time at which the question
// was sent. A confirmation stays true when a later version comes into force.
func (f *Syncer) recordConfirmation(version uint64, at lease.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active == nil || f.active.Version < version || !f.caughtUp() {
		return
	}
	if at > f.lastConfirmation() {
		f.confirmedAt.Store(int64(at))
	}
}

// caughtUp reports whether this process knows at least the version that was in
// force in its cell when it started. It remembers no version from before, and the
// store may read from a replica that lags; so it hears a majority of the members
// first, itself included. Called with the mutex held.
func (f *Syncer) caughtUp() bool {
	if f.answeredMembers == nil {
		return true
	}
	members := f.cfg.Members()
	count, self := 0, false
	for _, m := range members {
		self = self || m.ID == f.cfg.Self
		if m.ID == f.cfg.Self || f.answeredMembers[m.ID] {
			count++
		}
	}
	if !self || count <= len(members)/2 {
		return false
	}
	f.answeredMembers = nil
	return true
}

// recordAnswer notes that a member told its version, which is in force here now.
func (f *Syncer) recordAnswer(from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answeredMembers != nil {
		f.answeredMembers[from] = true
	}
}

// awaitsFirstConfirmation reports whether the first confirmation is still missing.
func (f *Syncer) awaitsFirstConfirmation() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answeredMembers != nil
}

// wakeWaiters wakes up all that wait for a change; called with the mutex held.
func (f *Syncer) wakeWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}
