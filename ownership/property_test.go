package ownership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/table"
)

// randomFault is one fault of a random schedule.
type randomFault struct {
	kind     string
	a, b     int
	duration time.Duration
	interval time.Duration // until the next one
}

var faultKinds = []string{
	"pause", "pause-planner", "cut", "one-way", "freeze", "freeze", "crash-server", "store-down", "store-slow", "store-cut",
	"lose-reply", "lossy", "delays", "server-cut", "drain", "unhealthy", "kill", "restart", "stop",
}

func drawFault(t *rapid.T) randomFault {
	ms := func(lo, hi int, label string) time.Duration {
		return time.Duration(rapid.IntRange(lo, hi).Draw(t, label)) * time.Millisecond
	}
	return randomFault{
		kind: rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		a:    rapid.IntRange(1, 5).Draw(t, "a"), b: rapid.IntRange(1, 5).Draw(t, "b"),
		duration: ms(50, 3000, "length"), interval: ms(0, 1500, "wait"),
	}
}

// injectFault starts a disturbance and plans its end.
func (w *simulation) injectFault(d randomFault) {
	i, j := fmt.Sprintf("i%d", d.a), fmt.Sprintf("i%d", d.b)
	s := fmt.Sprintf("route/s%d", d.a)
	n, srv := w.instances[i], w.servers[s]
	w.logf("disturbance %+v", d)
	link := func(x, y string) {
		w.cutLinks[[2]string{x, y}] = true
		w.schedule(d.duration, func() { delete(w.cutLinks, [2]string{x, y}) })
	}
	switch d.kind {
	case "pause-planner":
		if p := w.planner(); p != nil {
			p.pause(d.duration)
		}
	case "pause":
		n.pause(d.duration)
	case "cut":
		link(i, j)
		link(j, i)
	case "one-way":
		link(i, j)
	case "server-cut":
		link(i, fmt.Sprintf("route/s%d", d.b))
	case "store-cut":
		link(i, "store")
	case "freeze":
		if srv != nil {
			srv.frozenUntil = w.now + d.duration
		}
	case "crash-server":
		if srv != nil {
			srv.dead = true
			w.schedule(d.duration, srv.restart)
		}
	case "store-down":
		w.store.down = true
		w.schedule(d.duration, func() { w.store.down = false })
	case "store-slow":
		w.store.extraDelay = d.duration / 4
		w.schedule(2*d.duration, func() { w.store.extraDelay = 0 })
	case "lose-reply":
		w.store.repliesToLose++
	case "lossy":
		w.dropRate, w.duplicateRate = 0.2, 0.2
		w.schedule(d.duration, func() { w.dropRate, w.duplicateRate = 0, 0 })
	case "delays":
		w.jitter = d.duration / 4
		w.schedule(d.duration, func() { w.jitter = 200 * time.Microsecond })
	case "unhealthy":
		d1 := func(up bool) {
			for _, id := range w.instanceIDs() {
				w.instances[id].step(HealthObserved{Target: "depot/d1", Up: up})
			}
		}
		d1(false)
		w.schedule(d.duration, func() { d1(true) })
	case "drain":
		w.setDrain(d.a, true)
		w.schedule(d.duration, func() { w.setDrain(d.a, false) })
	case "kill", "restart", "stop":
		w.endInstance(n, d)
	}
}

// endInstance ends an instance and replaces it, unless another one has not come back yet:
// the loss of a majority at once is beyond what the cell recovers from by itself.
func (w *simulation) endInstance(n *simInstance, d randomFault) {
	for _, o := range w.instances {
		if o.dead || o.core.stopping || !o.core.isMember() || len(o.core.cell.Members) < 5 {
			return
		}
	}
	back := func() { w.startInstance(n.id, n.core.cfg.Self.Zone) }
	if d.kind == "stop" {
		n.step(StopRequested{})
		var wait func()
		wait = func() {
			if n.dead {
				back()
				return
			}
			w.schedule(100*time.Millisecond, wait)
		}
		wait()
		return
	}
	n.kill()
	w.schedule(d.duration, back)
}

// unforwardedPartitions returns the number of partitions of depot that nobody forwards.
func (w *simulation) unforwardedPartitions() int {
	n := 4
	for _, o := range w.instances {
		for _, id := range []string{"depot/d1", "depot/d2"} {
			if o.forwards(id) {
				n -= len(o.view.Controlled[id].Granted)
			}
		}
	}
	return n
}

func (w *simulation) setDrain(server int, on bool) {
	t := *w.table
	t.Version++
	t.Rows = append([]table.Row(nil), t.Rows...)
	for i := range t.Rows {
		if t.Rows[i].Target == fmt.Sprintf("s%d", server) {
			t.Rows[i].Drain = on
		}
	}
	w.updateTable(&t)
}

func (w *simulation) updateTable(t *table.Table) {
	w.table = t
	for _, id := range w.instanceIDs() {
		n := w.instances[id]
		w.schedule(w.networkDelay(), func() { n.step(TableObserved{Table: t}) })
	}
}

// TestRandomFaultRegressions keeps schedules that once broke an invariant.
func TestRandomFaultRegressions(t *testing.T) {
	for _, found := range []struct {
		name   string
		world  *simulation
		faults []randomFault
	}{
		{"the reply to a grant from before a lapse counted as proof of the server's set", newSimulatedCell(13, 5, 4, 3, 8), []randomFault{
			{kind: "pause", a: 4, duration: 3 * time.Second, interval: 122 * time.Millisecond},
			{kind: "restart", a: 1, duration: 52 * time.Millisecond, interval: 13 * time.Millisecond},
			{kind: "freeze", a: 2, duration: 940 * time.Millisecond, interval: 3 * time.Second},
		}},
		{"the end of control of an earlier controller counted for the last one", buildSimulatedCell(-2, 5, 4, 3, 8, true), []randomFault{
			{kind: "pause", a: 1, duration: 50 * time.Millisecond},
			{kind: "freeze", a: 1, duration: 50 * time.Millisecond},
			{kind: "stop", a: 5, interval: 14 * time.Millisecond},
			{kind: "pause", a: 4, duration: 1433 * time.Millisecond, interval: 1169 * time.Millisecond},
			{kind: "stop", a: 2, interval: 84 * time.Millisecond},
			{kind: "one-way", a: 1, b: 5, duration: 1463 * time.Millisecond, interval: 3 * time.Second},
		}},
		{"a version of a member that acted for the planner won over a later one of the planner", buildSimulatedCell(-48, 5, 4, 3, 8, true), []randomFault{
			{kind: "restart", a: 5, duration: 50 * time.Millisecond, interval: 542 * time.Millisecond},
			{kind: "pause", a: 4, duration: 1244 * time.Millisecond, interval: 28 * time.Millisecond},
			{kind: "cut", a: 2, b: 4, duration: 143 * time.Millisecond, interval: 902 * time.Millisecond},
			{kind: "pause", a: 1, duration: 2747 * time.Millisecond, interval: time.Millisecond},
			{kind: "store-slow", duration: 2710 * time.Millisecond, interval: 659 * time.Millisecond},
			{kind: "delays", duration: 2320 * time.Millisecond, interval: 6 * time.Second},
		}},
	} {
		t.Run(found.name, func(t *testing.T) {
			found.world.run(4 * time.Second)
			for _, d := range found.faults {
				found.world.injectFault(d)
				found.world.run(d.interval)
			}
			if len(found.world.violations) > 0 {
				t.Fatal(found.world.violations)
			}
		})
	}
}

// TestRandomFaults guards against two owners, reverted records and falling
// epochs or terms under any mixture of faults, and against a cell that does not
// recover when the faults are over. rapid prints the seed of a failure.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := buildSimulatedCell(rapid.Int64().Draw(t, "world"), 5, 4, 3, 8, true)
		w.run(4 * time.Second)
		for _, d := range rapid.SliceOfN(rapid.Custom(drawFault), 1, 12).Draw(t, "faults") {
			w.injectFault(d)
			w.run(d.interval)
		}
		w.run(7 * time.Second) // the longest fault and its consequences
		for range 18 {
			if w.run(time.Second); w.unownedPartitions("route")+w.unforwardedPartitions() == 0 {
				break
			}
		}
		bad := w.violations
		if n := w.unforwardedPartitions(); n > 0 {
			bad = append(bad, fmt.Sprintf("recovery: %d partitions of depot have no forwarder", n))
		}
		if n := w.unownedPartitions("route"); n > 0 {
			bad = append(bad, fmt.Sprintf("recovery: %d partitions have no owner 25 s after the last fault began", n))
		}
		if len(bad) > 0 {
			for _, l := range w.log {
				t.Log(l)
			}
			t.Fatalf("invariants failed: %v", bad[:min(len(bad), 3)])
		}
	})
}
