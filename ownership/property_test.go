package ownership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/table"
)

// disturbance is one fault of a random schedule.
type disturbance struct {
	kind   string
	a, b   int
	length time.Duration
	wait   time.Duration // until the next one
}

var disturbances = []string{
	"pause", "pause-planner", "cut", "one-way", "freeze", "freeze", "crash-server", "store-down", "store-slow", "store-cut",
	"lose-reply", "lossy", "delays", "server-cut", "drain", "unhealthy", "kill", "restart", "stop",
}

func drawDisturbance(t *rapid.T) disturbance {
	ms := func(lo, hi int, label string) time.Duration {
		return time.Duration(rapid.IntRange(lo, hi).Draw(t, label)) * time.Millisecond
	}
	return disturbance{
		kind: rapid.SampledFrom(disturbances).Draw(t, "kind"),
		a:    rapid.IntRange(1, 5).Draw(t, "a"), b: rapid.IntRange(1, 5).Draw(t, "b"),
		length: ms(50, 3000, "length"), wait: ms(0, 1500, "wait"),
	}
}

// apply starts a disturbance and plans its end.
func (w *world) apply(d disturbance) {
	i, j := fmt.Sprintf("i%d", d.a), fmt.Sprintf("i%d", d.b)
	s := fmt.Sprintf("route/s%d", d.a)
	n, srv := w.nodes[i], w.servers[s]
	w.logf("disturbance %+v", d)
	link := func(x, y string) {
		w.cuts[[2]string{x, y}] = true
		w.after(d.length, func() { delete(w.cuts, [2]string{x, y}) })
	}
	switch d.kind {
	case "pause-planner":
		if p := w.planner(); p != nil {
			p.pause(d.length)
		}
	case "pause":
		n.pause(d.length)
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
			srv.frozen = w.now + d.length
		}
	case "crash-server":
		if srv != nil {
			srv.dead = true
			w.after(d.length, srv.restart)
		}
	case "store-down":
		w.store.down = true
		w.after(d.length, func() { w.store.down = false })
	case "store-slow":
		w.store.slow = d.length / 4
		w.after(2*d.length, func() { w.store.slow = 0 })
	case "lose-reply":
		w.store.loseReply++
	case "lossy":
		w.drop, w.double = 0.2, 0.2
		w.after(d.length, func() { w.drop, w.double = 0, 0 })
	case "delays":
		w.jitter = d.length / 4
		w.after(d.length, func() { w.jitter = 200 * time.Microsecond })
	case "unhealthy":
		d1 := func(up bool) {
			for _, id := range w.ids() {
				w.nodes[id].step(HealthObserved{Target: "depot/d1", Up: up})
			}
		}
		d1(false)
		w.after(d.length, func() { d1(true) })
	case "drain":
		w.drain(d.a, true)
		w.after(d.length, func() { w.drain(d.a, false) })
	case "kill", "restart", "stop":
		w.end(n, d)
	}
}

// end ends an instance and replaces it, unless another one has not come back yet:
// the loss of a majority at once is beyond what the cell recovers from by itself.
func (w *world) end(n *node, d disturbance) {
	for _, o := range w.nodes {
		if o.dead || o.core.stopping || !o.core.isMember() || len(o.core.cell.Members) < 5 {
			return
		}
	}
	back := func() { w.start(n.id, n.core.cfg.Self.Zone) }
	if d.kind == "stop" {
		n.step(StopRequested{})
		var wait func()
		wait = func() {
			if n.dead {
				back()
				return
			}
			w.after(100*time.Millisecond, wait)
		}
		wait()
		return
	}
	n.kill()
	w.after(d.length, back)
}

// unforwarded returns the number of partitions of depot that nobody forwards.
func (w *world) unforwarded() int {
	n := 4
	for _, o := range w.nodes {
		for _, id := range []string{"depot/d1", "depot/d2"} {
			if o.forwards(id) {
				n -= len(o.view.Controlled[id].Granted)
			}
		}
	}
	return n
}

func (w *world) drain(server int, on bool) {
	t := *w.table
	t.Version++
	t.Rows = append([]table.Row(nil), t.Rows...)
	for i := range t.Rows {
		if t.Rows[i].Target == fmt.Sprintf("s%d", server) {
			t.Rows[i].Drain = on
		}
	}
	w.setTable(&t)
}

func (w *world) setTable(t *table.Table) {
	w.table = t
	for _, id := range w.ids() {
		n := w.nodes[id]
		w.after(w.delay(), func() { n.step(TableObserved{Table: t}) })
	}
}

// TestFoundByRandomFaults keeps schedules that once broke an invariant.
func TestFoundByRandomFaults(t *testing.T) {
	for _, found := range []struct {
		name   string
		world  *world
		faults []disturbance
	}{
		{"the reply to a grant from before a lapse counted as proof of the server's set", standard(13, 5, 4, 3, 8), []disturbance{
			{kind: "pause", a: 4, length: 3 * time.Second, wait: 122 * time.Millisecond},
			{kind: "restart", a: 1, length: 52 * time.Millisecond, wait: 13 * time.Millisecond},
			{kind: "freeze", a: 2, length: 940 * time.Millisecond, wait: 3 * time.Second},
		}},
		{"the end of control of an earlier controller counted for the last one", build(-2, 5, 4, 3, 8, true), []disturbance{
			{kind: "pause", a: 1, length: 50 * time.Millisecond},
			{kind: "freeze", a: 1, length: 50 * time.Millisecond},
			{kind: "stop", a: 5, wait: 14 * time.Millisecond},
			{kind: "pause", a: 4, length: 1433 * time.Millisecond, wait: 1169 * time.Millisecond},
			{kind: "stop", a: 2, wait: 84 * time.Millisecond},
			{kind: "one-way", a: 1, b: 5, length: 1463 * time.Millisecond, wait: 3 * time.Second},
		}},
		{"a version of a member that acted for the planner won over a later one of the planner", build(-48, 5, 4, 3, 8, true), []disturbance{
			{kind: "restart", a: 5, length: 50 * time.Millisecond, wait: 542 * time.Millisecond},
			{kind: "pause", a: 4, length: 1244 * time.Millisecond, wait: 28 * time.Millisecond},
			{kind: "cut", a: 2, b: 4, length: 143 * time.Millisecond, wait: 902 * time.Millisecond},
			{kind: "pause", a: 1, length: 2747 * time.Millisecond, wait: time.Millisecond},
			{kind: "store-slow", length: 2710 * time.Millisecond, wait: 659 * time.Millisecond},
			{kind: "delays", length: 2320 * time.Millisecond, wait: 6 * time.Second},
		}},
	} {
		t.Run(found.name, func(t *testing.T) {
			found.world.run(4 * time.Second)
			for _, d := range found.faults {
				found.world.apply(d)
				found.world.run(d.wait)
			}
			if len(found.world.broken) > 0 {
				t.Fatal(found.world.broken)
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
		w := build(rapid.Int64().Draw(t, "world"), 5, 4, 3, 8, true)
		w.run(4 * time.Second)
		for _, d := range rapid.SliceOfN(rapid.Custom(drawDisturbance), 1, 12).Draw(t, "faults") {
			w.apply(d)
			w.run(d.wait)
		}
		w.run(7 * time.Second) // the longest fault and its consequences
		for range 18 {
			if w.run(time.Second); w.unowned("route")+w.unforwarded() == 0 {
				break
			}
		}
		bad := w.broken
		if n := w.unforwarded(); n > 0 {
			bad = append(bad, fmt.Sprintf("recovery: %d partitions of depot have no forwarder", n))
		}
		if n := w.unowned("route"); n > 0 {
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
