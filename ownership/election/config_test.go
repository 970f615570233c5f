package election_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/ownership/rangelease"
)

const (
	// configBound is the time within which a change of the configuration must be active.
	configBound = 3 * time.Second
	// contactTime is the time without a fault of its own after which an instance is held to
	// that bound.
	contactTime = 4 * time.Second
	// unstableStoreSlack is added to the bound while the store refuses an instance, and for
	// contactTime afterwards, as the platform's rules allow.
	unstableStoreSlack = 6 * time.Second
)

// configState is what a simulated instance has of the configuration.
type configState struct {
	version     int
	confirmedAt lease.Instant // as of when the version was last known to be the newest
	// stateFrom is the leader that has sent its complete state, and stateDueAt the time at which
	// the one that is followed does.
	stateFrom, followed rangelease.InstanceInfo
	stateDueAt          lease.Instant
	watchStalled        bool          // a leader that sends heartbeats does not get changes from the store
	faultyUntil         lease.Instant // end of the last fault of this instance itself
}

func (c *cluster) configVersion() int { return len(c.configAckedAt) - 1 }

// watchConfigAsLeader makes a leader read the configuration, and send it if it has changed.
func (c *cluster) watchConfigAsLeader(l *simInstance) {
	if c.storeDown || l.storeUnreachable || l.config.watchStalled {
		return
	}
	changed := l.config.version != c.configVersion()
	l.config.version, l.config.confirmedAt = c.configVersion(), c.now
	if changed {
		c.sendStateUpdate(l)
	}
}

// deliverConfig makes a follower get the configuration with a state update of the leader, once
// the leader has sent its complete state.
func (c *cluster) deliverConfig(l, m *simInstance) {
	f := &m.config
	if f.followed != l.InstanceInfo {
		f.followed, f.stateDueAt = l.InstanceInfo, c.now+time.Duration(c.random.Float64()*float64(c.maxStateDelay))
	}
	if f.stateFrom != l.InstanceInfo && c.now >= f.stateDueAt {
		f.stateFrom = l.InstanceInfo
	}
	if f.stateFrom == l.InstanceInfo {
		f.version = max(f.version, l.config.version)
		f.confirmedAt = max(f.confirmedAt, l.config.confirmedAt)
		m.view.ConfigConfirmedAt = max(m.view.ConfigConfirmedAt, l.config.confirmedAt)
	}
}

// checkConfig fails if an instance without a recent fault of its own lacks a version that was
// acknowledged longer than the bound ago.
func (c *cluster) checkConfig() {
	bound := configBound
	for _, m := range c.instances {
		if m.storeUnreachable {
			c.storeUnstableUntil = c.now + contactTime
		}
	}
	if c.now < c.storeUnstableUntil {
		bound += unstableStoreSlack
	}
	required := c.configVersion()
	for required > 0 && c.configAckedAt[required] > c.now-bound {
		required--
	}
	for _, m := range c.instances {
		if !m.up || m.frozen || m.isolated || m.storeUnreachable || m.config.watchStalled {
			m.config.faultyUntil = c.now
		}
		if c.now-m.config.faultyUntil > contactTime && m.config.version < required {
			Fail(fmt.Sprintf("at %s %s has version %d; %d was acknowledged at %s; it leads: %t, its leader is %s, heard at %s", c.now, m.ID, m.config.version,
				required, c.configAckedAt[required], m.leads, m.view.Leader.ID, m.view.LeaderHeardAt))
		}
	}
}

// injectLeaderFault makes the leader, if there is one, fail for some time in a random way, and
// returns a function that ends the fault.
func (c *cluster) injectLeaderFault() (kind string, end func()) {
	l := c.leader()
	if l == nil {
		return "none", func() {}
	}
	switch c.random.IntN(5) {
	case 0:
		l.up, l.leads = false, false
		return "killed", func() { c.restart(l) }
	case 1:
		l.frozen, l.leads = true, false
		return "frozen", func() { l.frozen = false }
	case 2:
		l.storeUnreachable = true
		return "store refuses it", func() { l.storeUnreachable = false }
	case 3:
		l.isolated = true
		return "isolated", func() { l.isolated = false }
	default:
		l.config.watchStalled = true
		return "watch stalled", func() { l.config.watchStalled = false }
	}
}

// configRun is one run of the model.
type configRun struct {
	instances int
	seed      uint64
}

// configRuns returns the runs of a short test: some that once failed, and one of each size.
func configRuns() []configRun {
	return []configRun{
		{8, 1},
		{10, 8},  // an instance that waited for a new leader to be heard did not watch the store
		{30, 34}, // the last candidate in the order began to watch the store after 3.2 s
		{30, 54}, // a watch waited for that of the record, which had ended, to find that the store responds again
		{300, 1},
		{1000, 1},
	}
}

var _ = Describe("the configuration", func() {
	for _, run := range configRuns() {
		It(fmt.Sprintf("is in force in time at %d instances whatever happens to their leaders (seed %d)", run.instances, run.seed), func() {
			// Guards against changes of the configuration that no instance is responsible for: followers of short-lived leaders
			// relied on them before they had sent their state, and had a change 3.7 s after others.
			c := newCluster(run.instances)
			c.random = rand.New(rand.NewPCG(run.seed, 99))
			c.maxStateDelay = 2 * time.Second
			c.run(8 * time.Second)
			changeAt := c.now
			for range 12 {
				kind, end := c.injectLeaderFault()
				endAt := c.now + time.Duration(500+c.random.IntN(5500))*time.Millisecond
				nextAt := c.now + time.Duration(300+c.random.IntN(4000))*time.Millisecond
				GinkgoWriter.Printf("%s: %s until %s\n", c.now, kind, endAt)
				for ended := false; c.now < nextAt || !ended; {
					if c.now >= changeAt {
						changeAt = c.now + time.Second
						c.configAckedAt = append(c.configAckedAt, c.now)
					}
					c.step()
					if !ended && c.now >= endAt {
						ended = true
						end()
					}
					c.checkConfig()
				}
			}
		})
	}
})
