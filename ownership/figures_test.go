package ownership

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// unservedPartitions returns the number of partitions that no instance can forward to: no
// server owns them, or their server has no controller in contact that knows it.
func (w *simulation) unservedPartitions() (n int) {
	svc, _ := w.table.Service("route")
	served := make([]bool, svc.Partitions)
	for _, o := range w.instances {
		if o.dead || o.view == nil || w.now < o.pausedUntil || w.now-o.started >= o.contactUntil {
			continue
		}
		for id, h := range o.view.Controlled {
			s := w.servers[id]
			if h.State != TargetHeld || w.now < s.frozenUntil || s.term != h.Term {
				continue
			}
			for p := range h.Granted {
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

// lossCases are the losses whose unavailable time is measured.
var lossCases = []struct {
	name string
	do   func(w *simulation)
}{
	{"server", func(w *simulation) { w.failServer(fmt.Sprintf("route/s%d", w.rng.Intn(15)+1)) }},
	{"instance", func(w *simulation) { w.instances[fmt.Sprintf("i%d", w.rng.Intn(8)+1)].kill() }},
	{"server with its controller", func(w *simulation) {
		id := fmt.Sprintf("route/s%d", w.rng.Intn(15)+1)
		w.controllerOf(id).kill()
		w.failServer(id)
	}},
	{"zone", func(w *simulation) { w.failZone(fmt.Sprintf("z%d", w.rng.Intn(4)+1)) }},
}

// TestUnavailableTime measures the time from a loss to the moment at which every
// partition is served again, and guards against exceeding the bound of 1 s and
// the target of 600 ms in the median (design 3.3).
func TestUnavailableTime(t *testing.T) {
	t.Parallel()
	g, runs := NewWithT(t), 20
	if testing.Short() {
		runs = 4
	}
	for _, l := range lossCases {
		var took []time.Duration
		for seed := range runs {
			w := newSimulatedCell(int64(seed+1), 8, 15, 4, 60)
			w.run(4*time.Second + time.Duration(w.rng.Int63n(int64(time.Second))))
			g.Expect(w.unservedPartitions()).To(BeZero())
			l.do(w)
			start := w.now
			for w.run(time.Millisecond); w.unservedPartitions() > 0 && w.now < start+5*time.Second; {
				w.run(time.Millisecond)
			}
			g.Expect(w.violations).To(BeEmpty())
			took = append(took, w.now-start)
		}
		slices.Sort(took)
		t.Logf("loss of one %s: min %v, median %v, max %v of %d runs", l.name,
			took[0].Round(time.Millisecond), took[runs/2].Round(time.Millisecond), took[runs-1].Round(time.Millisecond), runs)
		g.Expect(took[runs-1]).To(BeNumerically("<=", time.Second), l.name)
		if l.name != "server with its controller" { // 450 ms + 515 ms (design 3.3)
			g.Expect(took[runs/2]).To(BeNumerically("<=", 600*time.Millisecond), l.name)
		}
	}
}

// TestMessageCosts measures store calls and bytes of messages, and guards against
// more than the 6 KB/s of control traffic per node (design 2.6) in steady state.
func TestMessageCosts(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newSimulatedCell(1, 8, 15, 4, 1024)
	w.run(6 * time.Second)
	count := func(d time.Duration) (steady, rest, calls int) {
		bytes, stores := maps.Clone(w.messageBytes), maps.Clone(w.storeCalls)
		w.run(d)
		for kind, n := range w.messageBytes {
			if kind == "Heartbeat" || kind == "HeartbeatAck" {
				steady += n - bytes[kind]
			} else {
				rest += n - bytes[kind]
			}
		}
		for kind, n := range w.storeCalls {
			calls += n - stores[kind]
		}
		return steady, rest, calls
	}
	before := maps.Clone(w.messageCounts)
	steady, rest, calls := count(10 * time.Second)
	sent := 0
	for kind, n := range w.messageCounts {
		sent += n - before[kind]
	}
	perMember := (steady + rest) / 10 / 8
	t.Logf("steady: %.1f messages/s and %d B/s sent per member, %d store calls in 10 s", float64(sent)/80, perMember, calls)
	g.Expect(perMember).To(BeNumerically("<=", 6000))
	g.Expect(calls).To(BeZero())
	for _, step := range []struct {
		name string
		do   func()
	}{
		{"hand-over of 69 partitions (drain of one target)", func() { w.setDrain(1, true) }},
		{"loss of one server", func() { w.failServer("route/s2") }},
		{"loss of one instance", func() { w.otherInstance(w.planner()).kill() }},
		{"loss of the planner", func() { w.planner().kill() }},
	} {
		step.do()
		_, rest, calls := count(2 * time.Second)
		t.Logf("%s: %d store calls, %d B of messages besides heartbeats in 2 s", step.name, calls, rest)
	}
	g.Expect(w.violations).To(BeEmpty())
}

// BenchmarkTick guards against work per tick that grows with the partitions.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{64, 4096} {
		b.Run(fmt.Sprintf("partitions=%d", n), func(b *testing.B) {
			w := newSimulatedCell(1, 3, 6, 3, n)
			w.run(4 * time.Second)
			p := w.planner()
			now := w.now - p.started
			b.ReportAllocs()
			for b.Loop() {
				p.core.Step(now, Tick{})
			}
		})
	}
}
