package edge

import (
	"maps"
	"time"

	"github.com/boragegate/boragegate/routing"
	"github.com/boragegate/boragegate/store"
)

const (
	// goneRetention is the time for which targets are remembered whose entries were removed. The
	// copy from which a store is restored is seconds old, and the restore may take seconds.
	goneRetention = time.Minute
	// goneCheckInterval is the interval at which expired ones are forgotten.
	goneCheckInterval = 5 * time.Second
)

// targetSuspicion says why an entry from an older copy is not believed.
type targetSuspicion int

const (
	suspectedGone targetSuspicion = iota + 1
	suspectedDraining
)

// restoredTargets tells old entries in a restored store from entries that were written after the
// restore. An old entry must not bring back a target that was draining or gone before.
type restoredTargets struct {
	goneAt      map[routing.Lifetime]time.Duration // when the entry was removed or replaced
	goneCheckAt time.Duration
	// suspects are the targets that were gone or draining when the era began. Their entries up to
	// the version restoredUpTo may be from the copy. It is 0 until the first list of the era.
	suspects     map[routing.Lifetime]targetSuspicion
	restoredUpTo store.Version
}

func newRestoredTargets() restoredTargets {
	return restoredTargets{goneAt: map[routing.Lifetime]time.Duration{}}
}

// forgetGone forgets targets that were removed longer than goneRetention ago.
func (r *restoredTargets) forgetGone(now time.Duration) {
	if now < r.goneCheckAt {
		return
	}
	r.goneCheckAt = now + goneCheckInterval
	maps.DeleteFunc(r.goneAt, func(_ routing.Lifetime, at time.Duration) bool { return now-at > goneRetention })
}

// beginEra makes the list accept the versions of a new era. Entries that are missing in the copy
// are kept until the targets have had time to register again.
func (l *targetList) beginEra(now time.Duration) {
	l.version, l.restoredUpTo = 0, 0
	l.recordOutageEnd(now)
	suspects := map[routing.Lifetime]targetSuspicion{}
	for id, s := range l.suspects { // whose entries have not been written since an earlier restore
		if s == suspectedGone {
			suspects[id] = s
		}
	}
	for id, at := range l.goneAt {
		if now-at <= goneRetention {
			suspects[id] = suspectedGone
		}
	}
	for name := range l.byName {
		if t := l.byName[name]; t.Draining {
			suspects[t.Lifetime()] = suspectedDraining
		}
	}
	l.suspects = suspects
}

// beginList records the version of a full list that was read from the store. All entries in the
// first one of an era may be from the copy.
func (r *restoredTargets) beginList(version store.Version) {
	if r.restoredUpTo == 0 {
		r.restoredUpTo = version
	}
}

// checkRestored returns the entry as it is to be used, or false if its target was gone before the
// restore. Later versions were written after the restore, so they are used as they are.
func (r *restoredTargets) checkRestored(t *routing.Target, version store.Version) bool {
	if version > r.restoredUpTo {
		delete(r.suspects, t.Lifetime())
		return true
	}
	suspicion := r.suspects[t.Lifetime()]
	t.Draining = t.Draining || suspicion == suspectedDraining
	return suspicion != suspectedGone
}

// decodeListedTarget decodes an entry of the store, unless it is from an older copy and its target
// was gone before the store was restored.
func (c *controlLoop) decodeListedTarget(o store.Object) (routing.Target, bool) {
	t, ok := c.decodeTarget(o)
	if !ok || c.targets.checkRestored(&t, o.Version) {
		return t, ok
	}
	c.log.Info().Str("event", "target.restored_ignored").Str("target", o.Name).Int64("incarnation", t.Incarnation).Uint64("store_version", uint64(o.Version)).Send()
	return t, false
}
