// Package tablesync keeps the operators' table of an instance up to date. A
// Syncer polls the store and exchanges table versions with the other members of
// the cell. An instance that cannot reach the store thus still receives changes,
// and an instance that cannot tell whether its table is current can stop accepting
// requests.
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
	// objectKind and objectName identify the table object in the store.
	objectKind = "table"
	objectName = "current"
	// ConfirmationTTL is the time for which a confirmation of the table version
	// permits an instance to serve requests without contact to its cell.
	ConfirmationTTL = 5 * time.Second
	// minPollInterval is the minimum interval between reads of the store.
	minPollInterval = time.Second
	// maxCellPollsPerSecond limits the rate of reads of the store by all members of a
	// cell together.
	maxCellPollsPerSecond = 8
	// requestInterval is the interval between rounds of requests to other members.
	requestInterval = 500 * time.Millisecond
	// roundsPerCycle is the number of rounds in which every member gets at least
	// one request. A change must reach every instance within 7 s; a cycle of 4 s
	// leaves 3 s for the case that a message is lost.
	roundsPerCycle = 8
)

// neverConfirmed is the time of the last confirmation if there has not been one.
const neverConfirmed = lease.Instant(math.MinInt64)

// Peers sends messages to other instances. Send must not block.
type Peers interface {
	Send(to ownership.Member, msg ownership.Message)
}

// Config configures a Syncer.
type Config struct {
	// Self is the ID of this instance.
	Self  string
	Store store.Store
	Peers Peers
	// Members returns the current members of the cell.
	Members func() []ownership.Member
	// Activate is called with every table that becomes active on this instance, in
	// ascending order of version. It is called with a lock held and must not call
	// methods of the Syncer.
	Activate func(t *table.Table)
	Logger   zerolog.Logger
	// ControlledTargets returns the status of the targets that this instance controls; it is
	// sent to the other members with each request.
	ControlledTargets func() []ownership.TargetStatus
	// ReadTimeout is the timeout of one read of the store.
	ReadTimeout time.Duration
}

// Syncer keeps the newest known version of the table. Its methods are safe for
// concurrent use.
type Syncer struct {
	cfg       Config
	startedAt time.Time
	t         tomb.Tomb

	mu         sync.Mutex
	active     *table.Table
	activeData []byte
	// confirmedAt is the lease.Instant of the last confirmation, or neverConfirmed. It is
	// written with mu held and read without it.
	confirmedAt atomic.Int64
	// answeredMembers is the set of members that have answered a request. It is nil
	// after the first confirmation has been accepted, see caughtUp.
	answeredMembers map[string]bool
	activeVersions  map[string]Version                // of other instances, by ID
	targets         map[string]ownership.TargetStatus // by target ID
	nextMember      int                               // next member to request from, modulo their number
	changed         chan struct{}                     // closed and replaced when active or activeVersions is set
	storeErr        error
}

// TargetStatus returns the last received status of a target that another instance
// controls, and false if none was received.
func (s *Syncer) TargetStatus(id string) (ownership.TargetStatus, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, ok := s.targets[id]
	return status, ok
}

// Version is the table version that is active on an instance, as last received.
type Version struct {
	Version    uint64
	ReceivedAt time.Time
}

// New returns a Syncer. It does nothing until Start is called.
func New(cfg Config) *Syncer {
	s := &Syncer{
		cfg: cfg, startedAt: time.Now(), answeredMembers: map[string]bool{}, activeVersions: map[string]Version{},
		targets: map[string]ownership.TargetStatus{}, changed: make(chan struct{}),
	}
	s.confirmedAt.Store(int64(neverConfirmed))
	return s
}

// Start starts polling the store and exchanging versions with the other members.
func (s *Syncer) Start() {
	s.t.Go(func() error {
		s.t.Go(s.pollStore)
		s.t.Go(s.requestVersions)
		return nil
	})
}

// Close stops the Syncer and waits until its goroutines have ended.
func (s *Syncer) Close() error {
	s.t.Kill(nil)
	return s.t.Wait()
}

// now returns the time since the Syncer was created. It is at least 1 ns, because a stamp
// of 0 means that an update was sent without a request.
func (s *Syncer) now() lease.Instant { return time.Since(s.startedAt) + 1 }

// Table returns the active table, or nil if there is none yet.
func (s *Syncer) Table() *table.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// lastConfirmation returns the time of the last confirmation, or neverConfirmed.
func (s *Syncer) lastConfirmation() lease.Instant { return lease.Instant(s.confirmedAt.Load()) }

// Confirmed reports whether the table of this instance was confirmed to be the newest
// version within the last ConfirmationTTL, and whether that was ever confirmed.
func (s *Syncer) Confirmed() (recently, ever bool) {
	at := s.lastConfirmation()
	ever = at != neverConfirmed
	return ever && s.now()-at < ConfirmationTTL, ever
}

// ConfirmationAge returns the time since the table of this instance was last confirmed
// to be the newest version, or -1 ms if it never was.
func (s *Syncer) ConfirmationAge() time.Duration {
	at := s.lastConfirmation()
	if at == neverConfirmed {
		return -time.Millisecond
	}
	return s.now() - at
}

// StoreError returns the error of the last periodic read of the store, or nil.
func (s *Syncer) StoreError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeErr
}

// ActiveVersions returns the active table version of this instance and, as last received,
// those of the others, by ID. It leaves out this instance while it has no table, and
// others from which no request was received.
func (s *Syncer) ActiveVersions() map[string]Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[string]Version, len(s.activeVersions)+1)
	for id, v := range s.activeVersions {
		m[id] = v
	}
	if s.active != nil {
		m[s.cfg.Self] = Version{Version: s.active.Version, ReceivedAt: time.Now()}
	}
	return m
}

// Refresh reads the table from the store at once and activates it if it is newer. It
// records the start of the read as the time of a confirmation, see Confirmed, unless this
// process has not caught up with its cell yet. It returns nil if the store has no table.
func (s *Syncer) Refresh(ctx context.Context) error {
	begin := s.now()
	obj, err := s.cfg.Store.Get(ctx, objectKind, objectName)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	t, err := s.activate(obj.Value)
	if err != nil {
		return err
	}
	s.recordConfirmation(t.Version, begin)
	return nil
}

// Publish activates a newly stored version on this instance, sends it to all other
// members and waits until it is active on a majority of the cell. The argument majority is
// the number of instances that this takes, including this one, and data is the table,
// encoded as JSON. Publish returns the error of ctx if ctx ends first, and tomb.ErrDying
// if the Syncer is closed.
func (s *Syncer) Publish(ctx context.Context, data []byte, majority int) error {
	t, err := s.activate(data)
	if err != nil {
		return err
	}
	for _, m := range s.otherMembers() {
		s.cfg.Peers.Send(m, ownership.TableUpdate{Version: t.Version, ConfirmedAgeMS: -1, Data: data})
	}
	return s.awaitMajority(ctx, t.Version, majority)
}

func (s *Syncer) awaitMajority(ctx context.Context, version uint64, majority int) error {
	for {
		s.mu.Lock()
		count, changed := 1, s.changed
		for _, v := range s.activeVersions {
			if v.Version >= version {
				count++
			}
		}
		s.mu.Unlock()
		if count >= majority {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-s.t.Dying():
			return tomb.ErrDying
		}
	}
}

// activate activates a table, encoded as JSON, unless that version or a later one is
// already active. It returns the table that is active afterwards.
func (s *Syncer) activate(data []byte) (*table.Table, error) {
	var t table.Table
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active != nil && t.Version <= s.active.Version {
		return s.active, nil
	}
	s.active, s.activeData = &t, data
	s.wakeWaiters()
	s.cfg.Logger.Info().Str("event", "table.in_force").Uint64("table_version", t.Version).Send()
	s.cfg.Activate(&t)
	return &t, nil
}

// recordConfirmation records that no version newer than the active one existed at the given
// time, which is that of the request or earlier. It does nothing if the active version is
// older than version, the newest one that the store or a member reported, or if this
// process has not caught up. A confirmation stays valid when a later version is activated.
func (s *Syncer) recordConfirmation(version uint64, at lease.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == nil || s.active.Version < version || !s.caughtUp() {
		return
	}
	if at > s.lastConfirmation() {
		s.confirmedAt.Store(int64(at))
	}
}

// caughtUp reports whether this process has at least the version that was active in
// its cell when it started. A process does not persist the version across restarts,
// and a read of the store may be served by a replica that lags. Therefore a
// majority of the members, including this instance, must have answered first; caughtUp
// then sets answeredMembers to nil. Callers must hold mu.
func (s *Syncer) caughtUp() bool {
	if s.answeredMembers == nil {
		return true
	}
	members := s.cfg.Members()
	count, self := 0, false
	for _, m := range members {
		self = self || m.ID == s.cfg.Self
		if m.ID == s.cfg.Self || s.answeredMembers[m.ID] {
			count++
		}
	}
	if !self || count <= len(members)/2 {
		return false
	}
	s.answeredMembers = nil
	return true
}

// recordAnswer records that a member has reported its version and that this instance
// has that version or a later one.
func (s *Syncer) recordAnswer(from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answeredMembers != nil {
		s.answeredMembers[from] = true
	}
}

// awaitsFirstConfirmation reports whether the first confirmation is still pending.
// Until then every round of requests goes to all members.
func (s *Syncer) awaitsFirstConfirmation() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answeredMembers != nil
}

// wakeWaiters wakes up all goroutines that wait for a change. Callers must hold mu.
func (s *Syncer) wakeWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}
