package ownership

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// unservedPartitions returns the number of partitions of route that no instance can forward
// to: no server owns them, or no controller in contact knows that a server does.
func (sim *simulation) unservedPartitions() (n int) {
	svc, _ := sim.table.Service("route")
	served := make([]bool, svc.Partitions)
	for _, o := range sim.instances {
		if o.dead || o.view == nil || sim.now < o.pausedUntil || sim.now-o.started >= o.contactUntil {
			continue
		}
		for id, controlled := range o.view.Controlled {
			s := sim.servers[id]
			if controlled.State != TargetHeld || sim.now < s.frozenUntil || s.term != controlled.Term {
				continue
			}
			for p := range controlled.Granted {
				served[p] = served[p] || s.owns(p)
			}
		}
	}
	for _, ok := range served {
		if !ok {
			n++
		}
	}
	return n
}

// lossCases are the failures for which the unavailable time is measured.
var lossCases = []struct {
	name string
	do   func(sim *simulation)
}{
	{"server", func(sim *simulation) { sim.failServer(fmt.Sprintf("route/s%d", sim.rng.Intn(15)+1)) }},
	{"instance", func(sim *simulation) { sim.instances[fmt.Sprintf("i%d", sim.rng.Intn(8)+1)].kill() }},
	{"server with its controller", func(sim *simulation) {
		id := fmt.Sprintf("route/s%d", sim.rng.Intn(15)+1)
		sim.controllerOf(id).kill()
		sim.failServer(id)
	}},
	{"zone", func(sim *simulation) { sim.failZone(fmt.Sprintf("z%d", sim.rng.Intn(4)+1)) }},
}

// TestUnavailableTime guards against failovers that take too long. It measures the time from
// a failure until every partition is served again, which must not exceed 1 s. Its median
// must not exceed 600 ms, except for the loss of a server with its controller
// (docs/design.md, section 3.3).
func TestUnavailableTime(t *testing.T) {
	t.Parallel()
	g, runs := NewWithT(t), 20
	if testing.Short() {
		runs = 4
	}
	for _, l := range lossCases {
		var durations []time.Duration
		for seed := range runs {
			sim := newSimulatedCell(int64(seed+1), 8, 15, 4, 60)
			sim.run(4*time.Second + time.Duration(sim.rng.Int63n(int64(time.Second))))
			g.Expect(sim.unservedPartitions()).To(BeZero())
			l.do(sim)
			start := sim.now
			for sim.run(time.Millisecond); sim.unservedPartitions() > 0 && sim.now < start+5*time.Second; {
				sim.run(time.Millisecond)
			}
			g.Expect(sim.violations).To(BeEmpty())
			durations = append(durations, sim.now-start)
		}
		slices.Sort(durations)
		t.Logf("loss of one %s: min %v, median %v, max %v of %d runs", l.name,
			durations[0].Round(time.Millisecond), durations[runs/2].Round(time.Millisecond), durations[runs-1].Round(time.Millisecond), runs)
		g.Expect(durations[runs-1]).To(BeNumerically("<=", time.Second), l.name)
		if l.name != "server with its controller" { // the losses are handled one after the other: 450 ms + 515 ms (docs/design.md, section 3.3)
			g.Expect(durations[runs/2]).To(BeNumerically("<=", 600*time.Millisecond), l.name)
		}
	}
}

// TestMessageCosts guards against control traffic above 6 KB/s per instance
// (docs/design.md, section 2.6) and against store calls in steady state. It also logs the
// costs of a drain and of failures.
func TestMessageCosts(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	sim := newSimulatedCell(1, 8, 15, 4, 1024)
	sim.run(6 * time.Second)
	measure := func(d time.Duration) (heartbeatBytes, otherBytes, storeCalls int) {
		bytesBefore, callsBefore := maps.Clone(sim.messageBytes), maps.Clone(sim.storeCalls)
		sim.run(d)
		for kind, n := range sim.messageBytes {
			if kind == "Heartbeat" || kind == "HeartbeatAck" {
				heartbeatBytes += n - bytesBefore[kind]
			} else {
				otherBytes += n - bytesBefore[kind]
			}
		}
		for kind, n := range sim.storeCalls {
			storeCalls += n - callsBefore[kind]
		}
		return heartbeatBytes, otherBytes, storeCalls
	}
	countsBefore := maps.Clone(sim.messageCounts)
	heartbeatBytes, otherBytes, storeCalls := measure(10 * time.Second)
	sent := 0
	for kind, n := range sim.messageCounts {
		sent += n - countsBefore[kind]
	}
	bytesPerMember := (heartbeatBytes + otherBytes) / 10 / 8
	t.Logf("steady state: %.1f messages/s and %d B/s sent per member, %d store calls in 10 s", float64(sent)/80, bytesPerMember, storeCalls)
	g.Expect(bytesPerMember).To(BeNumerically("<=", 6000))
	g.Expect(storeCalls).To(BeZero())
	for _, step := range []struct {
		name string
		do   func()
	}{
		{"handover of 69 partitions (drain of one target)", func() { sim.setDrain(1, true) }},
		{"loss of one server", func() { sim.failServer("route/s2") }},
		{"loss of one instance", func() { sim.otherInstance(sim.planner()).kill() }},
		{"loss of the planner", func() { sim.planner().kill() }},
	} {
		step.do()
		_, otherBytes, storeCalls := measure(2 * time.Second)
		t.Logf("%s: %d store calls, %d B of messages besides heartbeats in 2 s", step.name, storeCalls, otherBytes)
	}
	g.Expect(sim.violations).To(BeEmpty())
}

// BenchmarkTick measures a tick of the planner at 64 and 4096 partitions. Its cost must not
// grow with the number of partitions.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{64, 4096} {
		b.Run(fmt.Sprintf("partitions=%d", n), func(b *testing.B) {
			sim := newSimulatedCell(1, 3, 6, 3, n)
			sim.run(4 * time.Second)
			p := sim.planner()
			now := sim.now - p.started
			b.ReportAllocs()
			for b.Loop() {
				p.core.Step(now, Tick{})
			}
		})
	}
}
