package ownership

import (
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/boragegate/boragegate/table"
)

// scenario is a simulation with a fault or a planned change, whose log is compared with a
// golden file.
type scenario struct {
	name          string
	guardsAgainst string // failure that the run must not show
	size          [3]int // instances, servers, zones
	inject        func(sim *simulation)
	// maxUnownedTime is the maximum total time in which a partition may be without an owner.
	maxUnownedTime time.Duration
}

// maxUnavailableTime is the maximum time for which one failure may make partitions unavailable
// (docs/design.md, section 3.3).
const maxUnavailableTime = time.Second

func (sim *simulation) controllerOf(target string) *simInstance {
	r, _ := sim.planner().core.cell.Controller(target)
	return sim.instances[r.Instance]
}

func (sim *simulation) otherInstance(except *simInstance) *simInstance {
	for i := range len(sim.instances) {
		if inst := sim.instances[fmt.Sprintf("i%d", i+1)]; inst != except && !inst.dead {
			return inst
		}
	}
	return nil
}

func (sim *simulation) failZone(zone string) {
	for i := range len(sim.instances) {
		if inst := sim.instances[fmt.Sprintf("i%d", i+1)]; inst.core.cfg.Self.Zone == zone {
			inst.kill()
		}
	}
	for _, r := range sim.table.Rows {
		if r.Zone == zone {
			sim.servers[r.ID()].dead = true
			sim.logf("%s lost", r.ID())
		}
	}
}

func (sim *simulation) failServer(id string) {
	sim.servers[id].dead = true
	sim.logf("%s lost", id)
}

func (sim *simulation) removeTarget(target string) {
	t := *sim.table
	t.Version++
	t.Rows = slices.DeleteFunc(slices.Clone(t.Rows), func(r table.Row) bool { return r.Target == target })
	sim.updateTable(&t)
}

// replaceInstances replaces the instances i1 to i3 one at a time: it starts a new instance
// in the same zone, then stops the old one.
func (sim *simulation) replaceInstances() {
	for i := 1; i <= 3; i++ {
		old := sim.instances[fmt.Sprintf("i%d", i)]
		sim.startInstance(fmt.Sprintf("i%d", i+3), old.core.cfg.Self.Zone)
		sim.runAndMeasure(2 * time.Second)
		sim.logf("stop %s", old.id)
		old.step(StopRequested{})
		sim.runAndMeasure(3 * time.Second)
		Expect(old.stopped).To(BeTrue(), old.id)
	}
}

// runAndMeasure runs the simulation in steps of 5 ms and adds to unownedTime each step after
// which a partition has no owner or, in the service depot, no forwarder.
func (sim *simulation) runAndMeasure(d time.Duration) {
	for range d / (5 * time.Millisecond) {
		sim.run(5 * time.Millisecond)
		if sim.unownedPartitions("route") > 0 || sim.servers["depot/d1"] != nil && sim.unforwardedPartitions() > 0 {
			sim.unownedTime += 5 * time.Millisecond
		}
	}
}

var scenarios = []scenario{
	{"planned-hand-over", "a gap or an overlap in ownership while a target drains", [3]int{3, 3, 3}, func(sim *simulation) {
		sim.setDrain(1, true)
	}, 20 * time.Millisecond},
	{"target-removed", "partitions or controllers that a target keeps after its removal from the table", [3]int{3, 3, 3}, func(sim *simulation) {
		sim.removeTarget("s1")
	}, 20 * time.Millisecond},
	{"server-loss", "partitions that stay assigned to a failed server", [3]int{3, 3, 3}, func(sim *simulation) {
		sim.failServer("route/s1")
	}, maxUnavailableTime},
	{"controller-loss", "a target that stays without a controller after its controller failed", [3]int{3, 3, 3}, func(sim *simulation) {
		sim.otherInstance(sim.planner()).kill()
	}, maxUnavailableTime},
	{"planner-loss", "a cell that stays without a planner after its planner failed", [3]int{3, 3, 3}, func(sim *simulation) {
		sim.planner().kill()
	}, maxUnavailableTime},
	{"zone-loss", "outages that add up when instances and servers of a zone fail at once", [3]int{8, 15, 4}, func(sim *simulation) {
		sim.failZone("z1")
	}, maxUnavailableTime},
	{"store-outage", "unavailable partitions while the store is down, and the loss of provisional changes", [3]int{3, 3, 3}, func(sim *simulation) {
		sim.store.down = true
		sim.logf("store down")
		sim.runAndMeasure(time.Second)
		sim.failServer("route/s1")
		sim.runAndMeasure(2 * time.Second)
		sim.store.down = false
		sim.logf("store up")
	}, maxUnavailableTime},
	{"planner-loss-in-outage", "an outdated set of partitions that becomes active again when planner and store fail together", [3]int{3, 3, 3}, func(sim *simulation) {
		sim.store.down = true
		sim.logf("store down")
		sim.planner().kill()
		sim.runAndMeasure(3 * time.Second)
		sim.store.down = false
		sim.logf("store up")
	}, 3*time.Second + maxUnavailableTime}, // no planner until the store is back: see Limits in docs/design/ownership.md
	{"lost-write-reply", "a write that took effect but is applied twice or abandoned because its reply was lost", [3]int{3, 3, 3}, func(sim *simulation) {
		sim.store.repliesToLose = 1
		sim.failServer("route/s1")
	}, maxUnavailableTime},
	{"paused-server", "a server that serves partitions after a pause in which its lease expired", [3]int{3, 3, 3}, func(sim *simulation) {
		sim.servers["route/s1"].frozenUntil = sim.now + 2*time.Second
		sim.logf("route/s1 frozen for 2s")
	}, maxUnavailableTime},
	{"paused-instance", "a controller that acts on an outdated record after a pause", [3]int{3, 3, 3}, func(sim *simulation) {
		inst := sim.otherInstance(sim.planner())
		inst.pause(3 * time.Second)
		sim.logf("%s paused for 3s", inst.id)
	}, maxUnavailableTime},
	{"racing-planners", "two planners at the same time", [3]int{4, 3, 4}, func(sim *simulation) {
		sim.store.extraDelay = 120 * time.Millisecond
		sim.planner().kill()
	}, maxUnavailableTime},
	{"asymmetric-cut", "a planner that still acts while its messages reach no member", [3]int{3, 3, 3}, func(sim *simulation) {
		p := sim.planner()
		for id := range sim.instances {
			sim.cutLinks[[2]string{p.id, id}] = true
		}
		sim.logf("messages from %s are lost for 3s", p.id)
		sim.schedule(3*time.Second, func() { clear(sim.cutLinks) })
	}, maxUnavailableTime},
	{"unchecked-hand-over", "two targets that receive requests for the same partition", [3]int{3, 3, 3}, func(sim *simulation) {
		sim.removeTarget("d1")
	}, 20 * time.Millisecond},
	{"unchecked-controller-loss", "two instances that forward to a server that does not check grants", [3]int{3, 3, 3}, func(sim *simulation) {
		sim.controllerOf("depot/d1").kill()
	}, maxUnavailableTime},
	{"unchecked-server-loss", "partitions that stay assigned to an unhealthy server", [3]int{3, 3, 3}, func(sim *simulation) {
		sim.controllerOf("depot/d1").step(HealthObserved{Target: "depot/d1"})
	}, maxUnavailableTime},
	{"rolling-replacement", "a gap in ownership while all instances are replaced", [3]int{3, 3, 3}, func(sim *simulation) {
		sim.replaceInstances()
	}, 0},
}

var _ = Describe("Recorded scenarios", func() {
	for _, s := range scenarios {
		It(s.name+": guards against "+s.guardsAgainst, func() {
			sim := buildSimulatedCell(7, s.size[0], s.size[1], s.size[2], 2*s.size[1], strings.HasPrefix(s.name, "unchecked"))
			sim.run(6 * time.Second)
			Expect(sim.unownedPartitions("route")).To(BeZero())
			sim.log = []string{"guards against " + s.guardsAgainst}
			sim.verbose = true
			s.inject(sim)
			sim.runAndMeasure(4 * time.Second)
			for _, l := range sim.log {
				GinkgoWriter.Println(l)
			}
			sim.logf("partitions without owner: %d, for %v in all", sim.unownedPartitions("route"), sim.unownedTime)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unownedPartitions("route")).To(BeZero())
			Expect(sim.unownedTime).To(BeNumerically("<=", s.maxUnownedTime))
			goldie.New(GinkgoTB()).Assert(GinkgoTB(), s.name, []byte(strings.Join(sim.log, "\n")+"\n"))
		})
	}
})
