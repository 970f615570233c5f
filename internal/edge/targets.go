package edge

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/boragegate/boragegate/routing"
	"github.com/boragegate/boragegate/store"
)

const (
	// minOutageToKeepMissing is the shortest outage of the store after which targets with
	// missing entries are kept, for reregistrationTime. An entry expires after three missed
	// heartbeats, so it can be missing although its target lives.
	minOutageToKeepMissing = 1500 * time.Millisecond
	// reregistrationTime is the time after the end of an outage within which live targets
	// register again.
	reregistrationTime = 2200 * time.Millisecond
)

// targetList is the list of targets at a version of the store. Entries that are missing
// right after an outage of the store are kept until reregistrationTime is over.
type targetList struct {
	version store.Version
	era     store.Era // of version
	restoredTargets
	byName map[string]routing.Target
	// dropAt has the times at which missing entries are dropped, by name.
	dropAt map[string]time.Duration
	// keepMissingUntil is the time until which entries are kept that updates from the store lack.
	// While another instance leads and reaches the store, it is that instance's.
	keepMissingUntil time.Duration

	// services are the services that the configuration names, nil until one is known.
	services map[string]routing.Service
	// byAddress has the names of the entries by address. Only one of them is live, see
	// supersedes; live has it, also by address. changedAddresses has the addresses
	// whose entries have changed since the last call of takeChanges.
	byAddress        map[string][]string
	live             map[string]routing.Target
	changedAddresses map[string]bool
	// rewarmed has the addresses whose entries have been written again since then with an unchanged time of warm-up.
	rewarmed map[string]bool
}

func newTargetList() *targetList {
	return &targetList{
		restoredTargets: newRestoredTargets(),
		byName:          map[string]routing.Target{}, dropAt: map[string]time.Duration{},
		byAddress: map[string][]string{}, live: map[string]routing.Target{}, changedAddresses: map[string]bool{}, rewarmed: map[string]bool{},
	}
}

// set adds or replaces an entry.
func (l *targetList) set(now time.Duration, name string, t routing.Target) {
	old, known := l.byName[name]
	if known {
		l.goneAt[old.Lifetime()] = now
	}
	if known && old.Address != t.Address {
		l.removeFromAddress(name, old.Address)
	}
	if !known || old.Address != t.Address {
		l.byAddress[t.Address] = append(l.byAddress[t.Address], name)
	}
	l.byName[name] = t
	delete(l.goneAt, t.Lifetime())
	l.changedAddresses[t.Address] = true
}

// drop removes an entry at once.
func (l *targetList) drop(now time.Duration, name string) {
	if t, known := l.byName[name]; known {
		l.goneAt[t.Lifetime()] = now
		l.removeFromAddress(name, t.Address)
	}
	delete(l.byName, name)
	delete(l.dropAt, name)
}

func (l *targetList) removeFromAddress(name, address string) {
	l.changedAddresses[address] = true
	names := slices.DeleteFunc(l.byAddress[address], func(n string) bool { return n == name })
	if l.byAddress[address] = names; len(names) == 0 {
		delete(l.byAddress, address)
	}
}

// takeChanges returns the changes of the live targets since the last call: added or changed
// ones, and lifetimes that have ended.
func (l *targetList) takeChanges() (changed []routing.Target, ended []routing.Lifetime) {
	for address := range l.changedAddresses {
		before, wasLive := l.live[address]
		after, isLive := l.liveAt(address)
		if wasLive && (!isLive || after.Lifetime() != before.Lifetime()) {
			ended = append(ended, before.Lifetime())
			delete(l.live, address)
		}
		if isLive && (!wasLive || after != before || l.rewarmed[address]) {
			changed = append(changed, after)
			l.live[address] = after
		}
	}
	clear(l.changedAddresses)
	clear(l.rewarmed)
	// A target that moved to another address is still live.
	ended = slices.DeleteFunc(ended, func(id routing.Lifetime) bool {
		return slices.ContainsFunc(changed, func(t routing.Target) bool { return t.Lifetime() == id })
	})
	slices.SortFunc(changed, func(a, b routing.Target) int { return cmp.Compare(a.ID, b.ID) })
	return changed, ended
}

// setServices sets the services that the configuration names. It reports whether other entries
// are live because of that.
func (l *targetList) setServices(services map[string]routing.Service) (changed bool) {
	l.services = services
	for address, names := range l.byAddress {
		if len(names) == 1 {
			continue
		}
		before := l.live[address]
		if after, _ := l.liveAt(address); after.Lifetime() != before.Lifetime() {
			l.changedAddresses[address], changed = true, true
		}
	}
	return changed
}

// liveAt returns the live entry of an address. ok is false if the address has no entry.
func (l *targetList) liveAt(address string) (best routing.Target, ok bool) {
	for _, name := range l.byAddress[address] {
		t := l.byName[name]
		if !ok || l.supersedes(&t, &best) {
			best, ok = t, true
		}
	}
	return best, ok
}

// supersedes reports whether an entry counts instead of another one with the same address: it is
// that of a later lifetime. An entry for a service that the configuration does not name has another
// writer than a target, so it says nothing about the target at its address.
func (l *targetList) supersedes(t, other *routing.Target) bool {
	if named := l.isServiceNamed(t.Service); named != l.isServiceNamed(other.Service) {
		return named
	}
	return t.Incarnation > other.Incarnation || t.Incarnation == other.Incarnation && t.ID > other.ID
}

func (l *targetList) isServiceNamed(service string) bool {
	_, named := l.services[service]
	return named || l.services == nil
}

// isKnown reports whether a list was read, also one of an earlier era of the store.
func (l *targetList) isKnown() bool { return l.version > 0 || len(l.byName) > 0 }

// recordOutageEnd records the end of a store outage.
func (l *targetList) recordOutageEnd(now time.Duration) {
	l.keepMissingUntil = now + reregistrationTime
}

// keepMissingFor returns the time for which entries are still kept that updates from the store
// lack.
func (l *targetList) keepMissingFor(now time.Duration) time.Duration {
	return max(l.keepMissingUntil-now, 0)
}

// setKeepMissingFor sets that time to the leader's, but at most to reregistrationTime.
func (l *targetList) setKeepMissingFor(now, d time.Duration) {
	l.keepMissingUntil = now + min(d, reregistrationTime)
}

// put adds or replaces an entry and cancels its pending removal. It reports whether
// anything changed.
func (l *targetList) put(now time.Duration, name string, t routing.Target) bool {
	delete(l.dropAt, name)
	old, known := l.byName[name]
	if known && old == t {
		return false
	}
	l.set(now, name, t)
	return true
}

// remove drops an entry that an update deletes or lacks, or schedules that if it may be
// missing only because of an outage. It reports whether the entry was dropped.
func (l *targetList) remove(now time.Duration, name string, keepMissingUntil time.Duration) bool {
	t, known := l.byName[name]
	if !known {
		return false
	}
	if now < keepMissingUntil && !t.Draining {
		if _, scheduled := l.dropAt[name]; !scheduled {
			l.dropAt[name] = keepMissingUntil
		}
		return false
	}
	l.drop(now, name)
	return true
}

// applyLeaderUpdate applies the leader's full list or changes of it, and returns the effective
// changes. Apart from missing entries, a list that is newer than the update stays as it is.
func (l *targetList) applyLeaderUpdate(now time.Duration, update *targetUpdate) *targetUpdate {
	change := &targetUpdate{Version: l.version, Era: l.era}
	if update.Era < l.era {
		return change // versions of different eras are not comparable
	}
	if update.Full {
		change.Deleted = l.dropUnlisted(now, update)
	}
	if update.Version < l.version {
		return change
	}
	// The leader decides which missing entries are kept. They are dropped here too when their
	// time is over, since the leader may have failed by then.
	change = change.merge(l.applyKeeping(now, update, 0))
	for name, d := range update.Missing {
		if _, known := l.byName[name]; known {
			l.dropAt[name] = now + min(d, reregistrationTime)
		}
	}
	return change
}

// apply applies a full list from the store or changes of it, and returns the effective changes.
func (l *targetList) apply(now time.Duration, update *targetUpdate) *targetUpdate {
	return l.applyKeeping(now, update, l.keepMissingUntil)
}

// applyKeeping applies an update and returns the effective changes. Until the given time it
// keeps entries that the update deletes or lacks.
func (l *targetList) applyKeeping(now time.Duration, update *targetUpdate, keepMissingUntil time.Duration) *targetUpdate {
	change := &targetUpdate{Version: update.Version, Era: update.Era, Put: map[string]routing.Target{}}
	for name, t := range update.Put {
		switch {
		case l.put(now, name, t):
			change.Put[name] = t
		case !update.Full && t.WarmUp > 0:
			// The target has written its entry again, so its warm-up begins again.
			l.changedAddresses[t.Address], l.rewarmed[t.Address] = true, true
			change.Put[name] = t
		}
	}
	deleted := update.Deleted
	if update.Full {
		for name := range l.byName {
			if _, ok := update.Put[name]; !ok {
				deleted = append(deleted, name)
			}
		}
	}
	for _, name := range deleted {
		if l.remove(now, name, keepMissingUntil) {
			change.Deleted = append(change.Deleted, name)
		}
	}
	l.version = update.Version
	return change
}

// full returns the full list, with the entries that are kept although the store lacks them.
func (l *targetList) full(now time.Duration) *targetUpdate {
	update := &targetUpdate{Version: l.version, Era: l.era, Full: true, Put: maps.Clone(l.byName), Missing: map[string]time.Duration{}}
	for name, dropAt := range l.dropAt {
		update.Missing[name] = max(dropAt-now, 0)
	}
	return update
}

// followerUpdate returns what the followers need to know of an update from the store that has
// been applied. After a full list that is the full list: they may have entries that this
// instance has never had. Changes contain every entry of the update, also those that have not
// changed here, because the followers may have the list of another version.
func (l *targetList) followerUpdate(now time.Duration, update *targetUpdate) *targetUpdate {
	if update.Full {
		return l.full(now)
	}
	out := &targetUpdate{Version: update.Version, Era: update.Era, Put: update.Put, Missing: map[string]time.Duration{}}
	for _, name := range update.Deleted {
		if dropAt, kept := l.dropAt[name]; kept {
			out.Missing[name] = max(dropAt-now, 0)
		} else {
			out.Deleted = append(out.Deleted, name)
		}
	}
	return out
}

// dropUnlisted drops missing entries that the leader's full list lacks too, and returns their
// names. Entries that are not missing in that list are not missing here any more. It may be
// older than this list. But the leader reached the store all the time, so the entries that it
// lacks did not expire in an outage of this instance.
func (l *targetList) dropUnlisted(now time.Duration, full *targetUpdate) []string {
	var names []string
	for name := range l.dropAt {
		if _, ok := full.Put[name]; !ok {
			names = append(names, name)
			l.drop(now, name)
		} else if _, missing := full.Missing[name]; !missing {
			delete(l.dropAt, name)
		}
	}
	return names
}

// dropExpired drops missing entries whose time is over, and returns their names.
func (l *targetList) dropExpired(now time.Duration) []string {
	l.forgetGone(now)
	var names []string
	for name, dropAt := range l.dropAt {
		if now >= dropAt {
			names = append(names, name)
			l.drop(now, name)
		}
	}
	return names
}

// liveTargets returns the live targets, sorted by ID.
func (l *targetList) liveTargets() []routing.Target {
	out := make([]routing.Target, 0, len(l.byAddress))
	for address := range l.byAddress {
		if t, ok := l.liveAt(address); ok {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b routing.Target) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
