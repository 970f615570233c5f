package ownership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/table"
)

// randomFault is a fault of a random schedule. The meaning of a and b, numbers of
// instances or servers, depends on the kind.
type randomFault struct {
	kind     string
	a, b     int
	duration time.Duration
	interval time.Duration // time until the next fault
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

// injectFault starts a fault and schedules its end.
func (sim *simulation) injectFault(f randomFault) {
	i, j := fmt.Sprintf("i%d", f.a), fmt.Sprintf("i%d", f.b)
	s := fmt.Sprintf("route/s%d", f.a)
	inst, srv := sim.instances[i], sim.servers[s]
	sim.logf("fault %+v", f)
	cutLink := func(x, y string) {
		sim.cutLinks[[2]string{x, y}] = true
		sim.schedule(f.duration, func() { delete(sim.cutLinks, [2]string{x, y}) })
	}
	switch f.kind {
	case "pause-planner":
		if p := sim.planner(); p != nil {
			p.pause(f.duration)
		}
	case "pause":
		inst.pause(f.duration)
	case "cut":
		cutLink(i, j)
		cutLink(j, i)
	case "one-way":
		cutLink(i, j)
	case "server-cut":
		cutLink(i, fmt.Sprintf("route/s%d", f.b))
	case "store-cut":
		cutLink(i, "store")
	case "freeze":
		if srv != nil {
			srv.frozenUntil = sim.now + f.duration
		}
	case "crash-server":
		if srv != nil {
			srv.dead = true
			sim.schedule(f.duration, srv.restart)
		}
	case "store-down":
		sim.store.down = true
		sim.schedule(f.duration, func() { sim.store.down = false })
	case "store-slow":
		sim.store.extraDelay = f.duration / 4
		sim.schedule(2*f.duration, func() { sim.store.extraDelay = 0 })
	case "lose-reply":
		sim.store.repliesToLose++
	case "lossy":
		sim.dropRate, sim.duplicateRate = 0.2, 0.2
		sim.schedule(f.duration, func() { sim.dropRate, sim.duplicateRate = 0, 0 })
	case "delays":
		sim.jitter = f.duration / 4
		sim.schedule(f.duration, func() { sim.jitter = 200 * time.Microsecond })
	case "unhealthy":
		reportHealth := func(up bool) {
			for _, id := range sim.instanceIDs() {
				sim.instances[id].step(HealthObserved{Target: "depot/d1", Up: up})
			}
		}
		reportHealth(false)
		sim.schedule(f.duration, func() { reportHealth(true) })
	case "drain":
		sim.setDrain(f.a, true)
		sim.schedule(f.duration, func() { sim.setDrain(f.a, false) })
	case "kill", "restart", "stop":
		sim.endInstance(inst, f)
	}
}

// endInstance ends an instance and starts it again later. It does nothing while another
// instance has not rejoined: a cell does not recover by itself if it loses a majority at once.
func (sim *simulation) endInstance(inst *simInstance, f randomFault) {
	for _, o := range sim.instances {
		if o.dead || o.core.stopping || !o.core.isMember() || len(o.core.cell.Members) < 5 {
			return
		}
	}
	restart := func() { sim.startInstance(inst.id, inst.core.cfg.Self.Zone) }
	if f.kind == "stop" {
		inst.step(StopRequested{})
		var restartWhenStopped func()
		restartWhenStopped = func() {
			if inst.dead {
				restart()
				return
			}
			sim.schedule(100*time.Millisecond, restartWhenStopped)
		}
		restartWhenStopped()
		return
	}
	inst.kill()
	sim.schedule(f.duration, restart)
}

// unforwardedPartitions returns the number of partitions of depot that no instance forwards.
func (sim *simulation) unforwardedPartitions() int {
	n := 4
	for _, o := range sim.instances {
		for _, id := range []string{"depot/d1", "depot/d2"} {
			if o.forwards(id) {
				n -= len(o.view.Controlled[id].Granted)
			}
		}
	}
	return n
}

func (sim *simulation) setDrain(server int, on bool) {
	t := *sim.table
	t.Version++
	t.Rows = append([]table.Row(nil), t.Rows...)
	for i := range t.Rows {
		if t.Rows[i].Target == fmt.Sprintf("s%d", server) {
			t.Rows[i].Drain = on
		}
	}
	sim.updateTable(&t)
}

func (sim *simulation) updateTable(t *table.Table) {
	sim.table = t
	for _, id := range sim.instanceIDs() {
		inst := sim.instances[id]
		sim.schedule(sim.networkDelay(), func() { inst.step(TableObserved{Table: t}) })
	}
}

// TestRandomFaultRegressions guards against the return of faults that TestRandomFaults
// found. Each case is a schedule of faults, named after what went wrong.
func TestRandomFaultRegressions(t *testing.T) {
	for _, regression := range []struct {
		name       string
		simulation *simulation
		faults     []randomFault
	}{
		{"the reply to a grant sent before the lease expired confirmed the server's set", newSimulatedCell(13, 5, 4, 3, 8), []randomFault{
			{kind: "pause", a: 4, duration: 3 * time.Second, interval: 122 * time.Millisecond},
			{kind: "restart", a: 1, duration: 52 * time.Millisecond, interval: 13 * time.Millisecond},
			{kind: "freeze", a: 2, duration: 940 * time.Millisecond, interval: 3 * time.Second},
		}},
		{"the end of control of an earlier controller was attributed to the most recent one", buildSimulatedCell(-2, 5, 4, 3, 8, true), []randomFault{
			{kind: "pause", a: 1, duration: 50 * time.Millisecond},
			{kind: "freeze", a: 1, duration: 50 * time.Millisecond},
			{kind: "stop", a: 5, interval: 14 * time.Millisecond},
			{kind: "pause", a: 4, duration: 1433 * time.Millisecond, interval: 1169 * time.Millisecond},
			{kind: "stop", a: 2, interval: 84 * time.Millisecond},
			{kind: "one-way", a: 1, b: 5, duration: 1463 * time.Millisecond, interval: 3 * time.Second},
		}},
		{"a record version of a member that acted for the planner replaced a later version of the planner", buildSimulatedCell(-48, 5, 4, 3, 8, true), []randomFault{
			{kind: "restart", a: 5, duration: 50 * time.Millisecond, interval: 542 * time.Millisecond},
			{kind: "pause", a: 4, duration: 1244 * time.Millisecond, interval: 28 * time.Millisecond},
			{kind: "cut", a: 2, b: 4, duration: 143 * time.Millisecond, interval: 902 * time.Millisecond},
			{kind: "pause", a: 1, duration: 2747 * time.Millisecond, interval: time.Millisecond},
			{kind: "store-slow", duration: 2710 * time.Millisecond, interval: 659 * time.Millisecond},
			{kind: "delays", duration: 2320 * time.Millisecond, interval: 6 * time.Second},
		}},
	} {
		t.Run(regression.name, func(t *testing.T) {
			regression.simulation.run(4 * time.Second)
			for _, f := range regression.faults {
				regression.simulation.injectFault(f)
				regression.simulation.run(f.interval)
			}
			if len(regression.simulation.violations) > 0 {
				t.Fatal(regression.simulation.violations)
			}
		})
	}
}

// TestRandomFaults guards against two owners or forwarders of a partition, reverted records
// and decreasing epochs or terms under combined faults, and against a cell that does not
// recover when the faults are over. rapid prints the seed of a failure.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		sim := buildSimulatedCell(rapid.Int64().Draw(t, "seed"), 5, 4, 3, 8, true)
		sim.run(4 * time.Second)
		for _, f := range rapid.SliceOfN(rapid.Custom(drawFault), 1, 12).Draw(t, "faults") {
			sim.injectFault(f)
			sim.run(f.interval)
		}
		sim.run(7 * time.Second) // until the longest fault and its direct effects are over
		for range 18 {
			if sim.run(time.Second); sim.unownedPartitions("route")+sim.unforwardedPartitions() == 0 {
				break
			}
		}
		failures := sim.violations
		if n := sim.unforwardedPartitions(); n > 0 {
			failures = append(failures, fmt.Sprintf("recovery: %d partitions of depot have no forwarder", n))
		}
		if n := sim.unownedPartitions("route"); n > 0 {
			failures = append(failures, fmt.Sprintf("recovery: %d partitions have no owner at least 25 s after the last fault began", n))
		}
		if len(failures) > 0 {
			for _, l := range sim.log {
				t.Log(l)
			}
			t.Fatalf("invariants violated: %v", failures[:min(len(failures), 3)])
		}
	})
}
