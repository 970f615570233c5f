package edge

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/ownership/rangelease"
	"github.com/boragegate/boragegate/routing"
	"github.com/boragegate/boragegate/store"
)

// A store that is restored from an older copy has lost the writes since the copy and assigns
// their versions again (docs/design/store-restore.md). An instance learns of it from the era in a
// response, before the response itself, or from its leader. Results of calls that were sent before
// are not applied.

// observeEra makes eras of the store known to the control loop.
func (c *controlLoop) observeEra() {
	if r, ok := c.store.(store.EraReporter); ok {
		r.ObserveEra(func(era store.Era) { c.postUrgent(func() { c.beginEra(socket.BootTime(), era) }) })
	}
}

// beginEra begins a later era of the store: what is known from the store is no longer current, so
// all that is being watched is read again.
func (c *controlLoop) beginEra(now time.Duration, era store.Era) {
	if era <= c.era {
		c.eraKnown = true
		return
	}
	before := c.era
	c.era, c.targets.era = era, era
	if !c.eraKnown { // nothing is known from an earlier era
		c.eraKnown = true
		return
	}
	c.restores++
	c.metrics.storeRestores.Inc(1)
	c.log.Warn().Str("event", "store.restored").Uint64("old_era", uint64(before)).Uint64("new_era", uint64(era)).
		Bool("leads", c.leadership != nil).Uint64("term", c.term).Send()
	c.recordVersion, c.recordWasRead, c.recordRestored = 0, false, c.record != nil
	c.targets.beginEra(now)
	c.evacuations.beginEra(now)
	for _, kind := range slices.Collect(maps.Keys(c.watches)) {
		c.watches[kind]()
		delete(c.watches, kind)
		c.startWatch(kind)
	}
	if c.leadership != nil {
		c.leadership.replaceRecord()
	}
}

// adoptEra begins the era of a state update from the leader, so that versions of different eras are
// not compared. An update of a leader of an earlier version counts as of the current era.
func (c *controlLoop) adoptEra(now time.Duration, update *stateUpdate) {
	if update.Era != nil {
		c.beginEra(now, *update.Era)
		return
	}
	c.eraKnown = true // what it sends may be of an earlier era than the store reports
	if update.Config != nil {
		update.Config.Era = c.era
	}
	if update.Targets != nil {
		update.Targets.Era = c.era
	}
}

// applyRestoredRecord applies a record that was written in an earlier era. The leader replaces it.
// Others take over on the basis of it, but do not follow a leader of an earlier term than known.
func (c *controlLoop) applyRestoredRecord(r *rangelease.Record, version store.Version) {
	if c.leadership != nil {
		if !c.leadership.replacing { // a delayed write has replaced the record of this term
			c.leadership.replaceRecord()
		}
		return
	}
	c.recordVersion, c.recordRestored = version, true
	if c.record != nil && c.term >= r.Term {
		next := *r
		next.Term, next.Leader = c.record.Term, c.record.Leader
		c.record = &next
		return
	}
	c.record = r
	c.adoptCandidates(r)
	c.followLeader(r)
}

// isRecordOutdated reports whether the store may lack the newest ownership record: it has one of an
// earlier era or, although it was restored, none.
func (c *controlLoop) isRecordOutdated() bool {
	return c.recordRestored || c.era > 0 && c.recordVersion == 0
}

// recordForTakeover returns the record by which this instance takes over. If the stored record is
// of an earlier era, or may be lost, it is not known who holds the keys; the last known holders are
// to get them, because they have served them.
func (c *controlLoop) recordForTakeover() *rangelease.Record {
	next := &rangelease.Record{Services: map[string][]rangelease.Entry{}}
	if c.record != nil {
		copied := *c.record
		next = &copied
	}
	next.Term = max(next.Term+1, c.term+1, rangelease.FirstTerm(c.era))
	next.Leader = c.self
	if c.isRecordOutdated() {
		services := map[string][]rangelease.Entry{}
		for name, entries := range next.Services {
			services[name] = slices.Clone(entries)
		}
		for name, owners := range c.owners {
			if entries := entriesOf(owners); entries != nil {
				services[name] = entries
			}
		}
		next.Services = services
		next.MarkHoldersUnknown()
	}
	return next
}

// entriesOf returns the entries of a record with the given holders, or nil if these do not cover
// all keys.
func entriesOf(owners []routing.Owner) []rangelease.Entry {
	entries := make([]rangelease.Entry, len(owners))
	for i, o := range owners {
		entries[i] = rangelease.Entry{Span: o.Span, Holder: o.Holder}
	}
	err := routing.CheckCoverage(func(yield func(routing.Span) bool) {
		for _, e := range entries {
			if !yield(e.Span) {
				return
			}
		}
	})
	if err != nil {
		return nil
	}
	return entries
}

// replaceRecord replaces the record of a store that was restored by that of this leader, which
// knows the holders better, under a term of the new era. Until then no keys move.
func (l *leadership) replaceRecord() {
	l.replacing = true
	l.grantor.SuspendMoves()
	l.readRestoredRecord()
}

// retryReplaceRecord begins another attempt to replace the record if the last one has failed.
func (l *leadership) retryReplaceRecord(now time.Duration) {
	if l.replacing && l.replaceAgainAt > 0 && now >= l.replaceAgainAt {
		l.readRestoredRecord()
	}
}

// readRestoredRecord begins an attempt to replace the record. Results of earlier attempts are not
// used any more.
func (l *leadership) readRestoredRecord() {
	l.replaceAttempt++
	l.replaceAgainAt = 0
	attempt, c := l.replaceAttempt, l.c
	c.t.Go(func() error {
		sentAt := socket.BootTime()
		stored, err := c.store.Get(l.ctx, ownershipRecordKind, ownershipRecordName)
		c.postUrgent(func() {
			if l.ctx.Err() == nil && attempt == l.replaceAttempt {
				l.handleRestoredRecord(sentAt, stored, err)
			}
		})
		return nil
	})
}

// handleRestoredRecord writes the record of this leader over the stored one, unless another
// instance has taken over in this era, or may have done so in the last one and moved keys since.
func (l *leadership) handleRestoredRecord(sentAt time.Duration, stored store.Object, err error) {
	c, now := l.c, socket.BootTime()
	write, term := c.store.Update, max(l.replaceTerm, l.grantor.Term())
	switch {
	case errors.Is(err, store.ErrNotFound): // the copy is older than the first record
		write, stored = c.store.Create, store.Object{}
	case err != nil:
		l.replaceFailed(now, err)
		return
	default:
		r, decodeErr := rangelease.DecodeRecord(stored.Value)
		if decodeErr == nil && r.Term >= rangelease.FirstTerm(c.era) && r.Leader != c.self {
			c.applyRecord(sentAt, r, stored.Version)
			return
		}
		if decodeErr == nil {
			term = max(term, r.Term)
		}
	}
	c.recordStoreAnswer(now)
	if l.grantor.IsTermInDoubt() {
		c.stepDown("the store was restored while the term was in doubt")
		return
	}
	// Each attempt has its own term, because the outcome of an earlier one may be unknown.
	l.replaceTerm = max(term+1, rangelease.FirstTerm(c.era))
	next := l.grantor.RecordForTerm(now, l.replaceTerm)
	value, err := next.Encode()
	if err != nil {
		l.replaceFailed(now, err)
		return
	}
	object := store.Object{Kind: ownershipRecordKind, Name: ownershipRecordName, Version: stored.Version, Value: value, Writer: writerID(next)}
	attempt := l.replaceAttempt
	c.t.Go(func() error {
		sentAt := socket.BootTime()
		written, err := write(l.ctx, object)
		c.postUrgent(func() {
			if l.ctx.Err() == nil && attempt == l.replaceAttempt {
				l.handleReplacedRecord(sentAt, next, written, err)
			}
		})
		return nil
	})
}

func (l *leadership) handleReplacedRecord(sentAt time.Duration, next *rangelease.Record, written store.Object, err error) {
	c, now := l.c, socket.BootTime()
	if err != nil {
		l.replaceFailed(now, err)
		return
	}
	c.recordStoreAnswer(now)
	l.replacing = false
	l.recordVersion = written.Version
	c.record, c.recordVersion, c.recordRestored, c.recordWasRead, c.term = next, written.Version, false, true, next.Term
	l.grantor.BeginTerm(sentAt, next.Term)
	c.log.Info().Str("event", "leader.record_replaced").Uint64("term", next.Term).Uint64("era", uint64(c.era)).Send()
	l.broadcast(stateUpdate{})
}

func (l *leadership) replaceFailed(now time.Duration, err error) {
	l.replaceAgainAt = now + storeRetryInterval
	l.c.log.Warn().Str("event", "leader.record_not_replaced").Uint64("term", l.grantor.Term()).Err(err).Send()
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrOutcomeUnknown) {
		l.c.recordStoreFailure(context.Background(), now, err)
	}
}

// notifyCandidates tells the other candidates that this instance leads until they follow it. One of
// them may have become the leader by a write that the store has lost, and be cut off from the store.
func (l *leadership) notifyCandidates() {
	for _, candidate := range l.c.elector.Candidates() {
		if candidate.ID != l.c.self.ID && candidate.Address != "" {
			l.lostFollowers[candidate.ID] = lostFollower{address: candidate.Address, notifyUntil: socket.BootTime() + lostFollowerRetention}
		}
	}
}
