package tablestore

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table"
)

// Defaults of Options.
const (
	// DefaultRetention is the number of old versions kept. At the target size a
	// table has about 150 KB, so the history takes about 75 MB.
	DefaultRetention = 500
	// maxAttempts bounds the attempts of one change when other operators race or
	// replies are lost.
	maxAttempts = 5
	// retryDelay is the wait before a write is repeated whose reply was lost.
	retryDelay = 50 * time.Millisecond
)

// Announcer learns of versions before and after they are written.
type Announcer interface {
	// Announce makes the coming version known. If it fails, nothing is written.
	Announce(ctx context.Context, version uint64) error
	// OnAccepted is called when the store has the version.
	OnAccepted(r *Record)
	// OnAbandoned is called when an announced version was certainly not written by this Tables.
	OnAbandoned(version uint64)
}

// Options set up a Tables.
type Options struct {
	// Announcer may be nil.
	Announcer Announcer
	// Zones are the known zones; nil accepts every zone.
	Zones []string
	// Retention is the number of old versions kept. Default DefaultRetention.
	Retention uint64
	// Clock is the source of the time in records. Default the real clock.
	Clock clockwork.Clock
	// NewWriter returns a fresh ID for each write. Default a random UUID.
	NewWriter func() string
}

// Tables reads and changes the table in a store.
type Tables struct {
	store   store.Store
	options Options
	// highestSeen is the highest version seen. A read below it is stale.
	highestSeen atomic.Uint64
}

// New returns a Tables on a store.
func New(backing store.Store, o Options) *Tables {
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.NewWriter == nil {
		o.NewWriter = uuid.NewString
	}
	return &Tables{store: backing, options: o}
}

// Get returns the current version, store.ErrNotFound if there is none, or
// ErrStaleRead if the store returns an older version than before.
func (t *Tables) Get(ctx context.Context) (*Record, error) {
	obj, err := t.store.Get(ctx, Kind, Name)
	if errors.Is(err, store.ErrNotFound) && t.highestSeen.Load() > 0 {
		return nil, fmt.Errorf("tablestore: no table, but version %d was read before: %w", t.highestSeen.Load(), ErrStaleRead)
	}
	if err != nil {
		return nil, fmt.Errorf("tablestore: get: %w", err)
	}
	r, err := Decode(obj)
	if err != nil {
		return nil, err
	}
	if !t.observeVersion(r.Version) {
		return nil, fmt.Errorf("tablestore: version %d after version %d: %w", r.Version, t.highestSeen.Load(), ErrStaleRead)
	}
	return r, nil
}

// observeVersion notes a version and returns false if a higher one was seen.
func (t *Tables) observeVersion(version uint64) bool {
	for {
		h := t.highestSeen.Load()
		if version < h {
			return false
		}
		if t.highestSeen.CompareAndSwap(h, version) {
			return true
		}
	}
}

// Version returns one version, current or old.
func (t *Tables) Version(ctx context.Context, version uint64) (*Record, error) {
	obj, err := t.store.Get(ctx, HistoryKind, historyName(version))
	if err == nil {
		return Decode(obj)
	}
	if !errors.Is(err, store.ErrNotFound) {
		return nil, fmt.Errorf("tablestore: get version %d: %w", version, err)
	}
	// The current version may not be in the history yet.
	r, err := t.Get(ctx)
	if err != nil {
		return nil, err
	}
	if r.Version != version {
		return nil, fmt.Errorf("tablestore: version %d: %w", version, store.ErrNotFound)
	}
	return r, nil
}

// MaxHistoryRecords bounds the records that one call of History returns, as each is one read.
const MaxHistoryRecords = 100

// History returns up to limit records, newest first, that are older than the
// version before; 0 starts with the current one.
func (t *Tables) History(ctx context.Context, before uint64, limit int) ([]*Record, error) {
	current, err := t.Get(ctx)
	if err != nil {
		return nil, err
	}
	var list []*Record
	next := current.Version
	if before > 0 {
		next = min(next, before-1)
	}
	for ; next > 0 && len(list) < min(limit, MaxHistoryRecords); next-- {
		if next == current.Version {
			list = append(list, current)
			continue
		}
		r, err := t.Version(ctx, next)
		if errors.Is(err, store.ErrNotFound) {
			return list, nil // removed by retention
		}
		if err != nil {
			return nil, err
		}
		list = append(list, r)
	}
	return list, nil
}

func historyName(version uint64) string { return strconv.FormatUint(version, 10) }

// archive stores a record in the history if it is not there yet.
func (t *Tables) archive(ctx context.Context, r *Record) error {
	_, err := t.store.Create(ctx, store.Object{Kind: HistoryKind, Name: historyName(r.Version), Writer: t.options.NewWriter(), Value: r.Value})
	if err != nil && !errors.Is(err, store.ErrExists) {
		return fmt.Errorf("tablestore: keep version %d: %w", r.Version, err)
	}
	return nil
}

// pruneHistory removes the version that leaves the retention. A failure only leaves it in place.
func (t *Tables) pruneHistory(ctx context.Context, current uint64) {
	if current <= t.options.Retention {
		return
	}
	name := historyName(current - t.options.Retention)
	if obj, err := t.store.Get(ctx, HistoryKind, name); err == nil {
		_ = t.store.Delete(ctx, HistoryKind, name, obj.Version)
	}
}

// nextVersionFromHistory returns the version for a store without a current table: above
// everything in the history, because instances never go back to a lower version.
func (t *Tables) nextVersionFromHistory(ctx context.Context) (uint64, error) {
	objects, _, err := t.store.List(ctx, HistoryKind)
	if err != nil {
		return 0, fmt.Errorf("tablestore: list history: %w", err)
	}
	highest := t.highestSeen.Load()
	for _, o := range objects {
		if v, err := strconv.ParseUint(o.Name, 10, 64); err == nil {
			highest = max(highest, v)
		}
	}
	return highest + 1, nil
}

// check returns findings of a table that is about to be written.
func (t *Tables) check(next *table.Table, current *Record) error {
	o := table.Options{Zones: t.options.Zones}
	if current != nil {
		o.Previous = current.Table
	}
	return table.Check(next, o).Err()
}
