package edge

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragegate/boragegate/routing"
	"github.com/boragegate/boragegate/store"
)

const (
	// minOutageToKeepMissing without an answer of the store after which missing entries of
	// targets are doubted: entries lapse after three missed heartbeats.
	minOutageToKeepMissing = 1500 * time.Millisecond
	// reregistrationTime is the time after the end of an outage within which targets that
	// live enter themselves again.
	reregistrationTime = 2200 * time.Millisecond
)

// targetList is the list of targets with the store's version. Entries that were
// missing right after an outage of the store are kept until reregistrationTime is over.
type targetList struct {
	version store.Version
	byName  map[string]routing.Target
	// dropAt has the times at which entries are dropped.
	dropAt map[string]time.Duration
	// keepMissingUntil is the end of the time in which missing entries are doubted.
	keepMissingUntil time.Duration

	// byAddress has the names of the entries with one address, of which only the
	// youngest is alive; live has that one, and touched the addresses of entries that
	// have changed since the last call of change.
	byAddress        map[string][]string
	live             map[string]routing.Target
	changedAddresses map[string]bool
}

func newTargetList() *targetList {
	return &targetList{
		byName: map[string]routing.Target{}, dropAt: map[string]time.Duration{},
		byAddress: map[string][]string{}, live: map[string]routing.Target{}, changedAddresses: map[string]bool{},
	}
}

// set adds or replaces an entry.
func (l *targetList) set(name string, t routing.Target) {
	old, known := l.byName[name]
	if known && old.Address != t.Address {
		l.removeFromAddress(name, old.Address)
	}
	if !known || old.Address != t.Address {
		l.byAddress[t.Address] = append(l.byAddress[t.Address], name)
	}
	l.byName[name] = t
	l.changedAddresses[t.Address] = true
}

// drop removes an entry.
func (l *targetList) drop(name string) {
	if t, known := l.byName[name]; known {
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

// takeChanges returns what has changed of the targets that are alive since the last call.
func (l *targetList) takeChanges() (put []routing.Target, gone []routing.Lifetime) {
	for address := range l.changedAddresses {
		before, was := l.live[address]
		after, is := l.liveAt(address)
		if was && (!is || after.Lifetime() != before.Lifetime()) {
			gone = append(gone, before.Lifetime())
			delete(l.live, address)
		}
		if is && (!was || after != before) {
			put = append(put, after)
			l.live[address] = after
		}
	}
	clear(l.changedAddresses)
	// A target that moved to another address has not gone.
	gone = slices.DeleteFunc(gone, func(id routing.Lifetime) bool {
		return slices.ContainsFunc(put, func(t routing.Target) bool { return t.Lifetime() == id })
	})
	slices.SortFunc(put, func(a, b routing.Target) int { return cmp.Compare(a.ID, b.ID) })
	return put, gone
}

// liveAt is the entry of an address that is alive.
func (l *targetList) liveAt(address string) (best routing.Target, ok bool) {
	for _, name := range l.byAddress[address] {
		t := l.byName[name]
		if !ok || t.Incarnation > best.Incarnation || t.Incarnation == best.Incarnation && t.ID > best.ID {
			best, ok = t, true
		}
	}
	return best, ok
}

// outageEnded notes that the store answers again.
func (l *targetList) outageEnded(now time.Duration) { l.keepMissingUntil = now + reregistrationTime }

// put adds or replaces an entry. It reports whether anything changed.
func (l *targetList) put(name string, t routing.Target) bool {
	delete(l.dropAt, name)
	old, known := l.byName[name]
	if known && old == t {
		return false
	}
	l.set(name, t)
	return true
}

// remove drops an entry, or keeps it for the time being. It reports whether the entry was dropped.
func (l *targetList) remove(now time.Duration, name string) bool {
	t, known := l.byName[name]
	if !known {
		return false
	}
	if now < l.keepMissingUntil && !t.Draining {
		if _, noted := l.dropAt[name]; !noted {
			l.dropAt[name] = l.keepMissingUntil
		}
		return false
	}
	l.drop(name)
	return true
}

// apply adopts a whole list or changes of it, and returns what has changed.
func (l *targetList) apply(now time.Duration, n *targetUpdate) *targetUpdate {
	change := &targetUpdate{Version: n.Version, Put: map[string]routing.Target{}}
	for name, t := range n.Put {
		if l.put(name, t) {
			change.Put[name] = t
		}
	}
	gone := n.Deleted
	if n.Full {
		for name := range l.byName {
			if _, ok := n.Put[name]; !ok {
				gone = append(gone, name)
			}
		}
	}
	for _, name := range gone {
		if l.remove(now, name) {
			change.Deleted = append(change.Deleted, name)
		}
	}
	l.version = n.Version
	return change
}

// dropUnlisted drops the doubted entries that the leader's list lacks, and returns their
// names. The leader's list may be older than this one: it reached the store all the
// while, so what it lacks has not lapsed in an outage of this instance.
func (l *targetList) dropUnlisted(leaders map[string]routing.Target) []string {
	var names []string
	for name := range l.dropAt {
		if _, ok := leaders[name]; !ok {
			names = append(names, name)
			l.drop(name)
		}
		delete(l.dropAt, name)
	}
	return names
}

// dropExpired drops the entries that have not come back, and returns their names.
func (l *targetList) dropExpired(now time.Duration) []string {
	var names []string
	for name, until := range l.dropAt {
		if now >= until {
			names = append(names, name)
			l.drop(name)
		}
	}
	return names
}

// list returns the targets that are alive, in order.
func (l *targetList) list() []routing.Target {
	out := make([]routing.Target, 0, len(l.byAddress))
	for address := range l.byAddress {
		if t, ok := l.liveAt(address); ok {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b routing.Target) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
