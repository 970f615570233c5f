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

// Default of Options.RetainedVersions and limits of retries.
const (
	// DefaultRetainedVersions is the default of Options.RetainedVersions. A table of 676 targets
	// has about 150 KB, so 500 versions take about 75 MB.
	DefaultRetainedVersions = 500
	// maxAttempts is the maximum number of attempts of one change if other
	// operators change the table concurrently, and of one write if replies are lost.
	maxAttempts = 5
	// retryDelay is the delay before a write whose reply was lost is retried.
	retryDelay = 50 * time.Millisecond
)

// Announcer is notified of a version before and after it is written.
type Announcer interface {
	// Announce is called before a version is written. If it returns an error,
	// nothing is written.
	Announce(ctx context.Context, version uint64) error
	// OnAccepted is called after the version has been written to the store.
	OnAccepted(r *Record)
	// OnAbandoned is called if it is certain that an announced version was not
	// written by this Tables.
	OnAbandoned(version uint64)
}

// Options configure a Tables.
type Options struct {
	// Announcer is notified of changes; it may be nil.
	Announcer Announcer
	// Zones are the known availability zones; nil accepts every zone.
	Zones []string
	// RetainedVersions is the number of versions that the history keeps. Default
	// DefaultRetainedVersions.
	RetainedVersions uint64
	// Clock provides the time of records and the delays between retries. Default
	// the real clock.
	Clock clockwork.Clock
	// NewWriterID returns a unique ID for each write. Default a random UUID.
	NewWriterID func() string
}

// Tables reads and changes the table and its history in a store.
type Tables struct {
	store   store.Store
	options Options
	// highestSeen is the highest version read or written so far, 0 if there is none. A
	// read that returns a lower one is stale.
	highestSeen atomic.Uint64
}

// New returns a Tables that keeps the table in the given store.
func New(backing store.Store, o Options) *Tables {
	if o.RetainedVersions == 0 {
		o.RetainedVersions = DefaultRetainedVersions
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.NewWriterID == nil {
		o.NewWriterID = uuid.NewString
	}
	return &Tables{store: backing, options: o}
}

// Get returns the current version. It returns store.ErrNotFound if there is none,
// and ErrStaleRead if the store returns an older version than was seen before, or none
// although one was seen before.
func (t *Tables) Get(ctx context.Context) (*Record, error) {
	obj, err := t.store.Get(ctx, Kind, Name)
	if errors.Is(err, store.ErrNotFound) && t.highestSeen.Load() > 0 {
		return nil, fmt.Errorf("tablestore: no table, but version %d was read before: %w", t.highestSeen.Load(), ErrStaleRead)
	}
	if err != nil {
		return nil, fmt.Errorf("tablestore: get current version: %w", err)
	}
	r, err := Decode(obj)
	if err != nil {
		return nil, err
	}
	if !t.observeVersion(r.Version) {
		return nil, fmt.Errorf("tablestore: read version %d after version %d: %w", r.Version, t.highestSeen.Load(), ErrStaleRead)
	}
	return r, nil
}

// observeVersion updates the highest version seen. It returns false if version is lower.
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

// Version returns one version, either the current one or one from the history. It
// returns store.ErrNotFound if the version does not exist or has been removed.
func (t *Tables) Version(ctx context.Context, version uint64) (*Record, error) {
	obj, err := t.store.Get(ctx, HistoryKind, historyName(version))
	if err == nil {
		return Decode(obj)
	}
	if !errors.Is(err, store.ErrNotFound) {
		return nil, fmt.Errorf("tablestore: get version %d: %w", version, err)
	}
	// The current version may not have been copied to the history yet.
	r, err := t.Get(ctx)
	if err != nil {
		return nil, err
	}
	if r.Version != version {
		return nil, fmt.Errorf("tablestore: version %d: %w", version, store.ErrNotFound)
	}
	return r, nil
}

// MaxHistoryRecords is the maximum number of records that one call of History returns,
// since each of them is a separate read of the store.
const MaxHistoryRecords = 100

// History returns up to limit records, but not more than MaxHistoryRecords, with
// versions lower than before, newest first. If before is 0, it starts with the current
// version. The list ends where versions have been removed from the history.
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
			return list, nil // removed by pruneHistory
		}
		if err != nil {
			return nil, err
		}
		list = append(list, r)
	}
	return list, nil
}

func historyName(version uint64) string { return strconv.FormatUint(version, 10) }

// archive copies a record to the history unless it is already there.
func (t *Tables) archive(ctx context.Context, r *Record) error {
	_, err := t.store.Create(ctx, store.Object{Kind: HistoryKind, Name: historyName(r.Version), Writer: t.options.NewWriterID(), Value: r.Value})
	if err != nil && !errors.Is(err, store.ErrExists) {
		return fmt.Errorf("tablestore: add version %d to the history: %w", r.Version, err)
	}
	return nil
}

// pruneHistory removes the version that is RetainedVersions older than current, the
// version that was just written. Errors are ignored: the older version then stays in
// the history.
func (t *Tables) pruneHistory(ctx context.Context, current uint64) {
	if current <= t.options.RetainedVersions {
		return
	}
	name := historyName(current - t.options.RetainedVersions)
	if obj, err := t.store.Get(ctx, HistoryKind, name); err == nil {
		_ = t.store.Delete(ctx, HistoryKind, name, obj.Version)
	}
}

// nextVersionFromHistory returns the next version for a store that has no current table,
// for example because it was deleted. It is higher than every version in the history,
// because instances never activate a lower version than they have.
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

// check validates a table before it is written. Its error is a finding.List.
func (t *Tables) check(next *table.Table, current *Record) error {
	o := table.Options{Zones: t.options.Zones}
	if current != nil {
		o.Previous = current.Table
	}
	return table.Check(next, o).Err()
}
