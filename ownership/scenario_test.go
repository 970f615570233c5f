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

// scenario is one run whose log is kept as a golden file.
type scenario struct {
	name          string
	guardsAgainst string // the failure that the run guards against
	size          [3]int // instances, servers, zones
	inject        func(w *simulation)
	// maxUnownedTime is the longest time that a partition may be without owner; 0 if none may.
	maxUnownedTime time.Duration
}

const maxTakeoverTime = time.Second

func (w *simulation) controllerOf(target string) *simInstance {
	r, _ := w.planner().core.cell.Controller(target)
	return w.instances[r.Instance]
}

func (w *simulation) otherInstance(not *simInstance) *simInstance {
	for i := range len(w.instances) {
		if n := w.instances[fmt.Sprintf("i%d", i+1)]; n != not && !n.dead {
			return n
		}
	}
	return nil
}

func (w *simulation) failZone(zone string) {
	for i := range len(w.instances) {
		if n := w.instances[fmt.Sprintf("i%d", i+1)]; n.core.cfg.Self.Zone == zone {
			n.kill()
		}
	}
	for _, r := range w.table.Rows {
		if r.Zone == zone {
			w.servers[r.ID()].dead = true
			w.logf("%s lost", r.ID())
		}
	}
}

func (w *simulation) failServer(id string) {
	w.servers[id].dead = true
	w.logf("%s lost", id)
}

func (w *simulation) removeTarget(target string) {
	t := *w.table
	t.Version++
	t.Rows = slices.DeleteFunc(slices.Clone(t.Rows), func(r table.Row) bool { return r.Target == target })
	w.updateTable(&t)
}

// replaceInstances stops one instance after the other and starts a new one in its place.
func (w *simulation) replaceInstances() {
	for i := 1; i <= 3; i++ {
		old := w.instances[fmt.Sprintf("i%d", i)]
		w.startInstance(fmt.Sprintf("i%d", i+3), old.core.cfg.Self.Zone)
		w.runAndMeasure(2 * time.Second)
		w.logf("stop %s", old.id)
		old.step(StopRequested{})
		w.runAndMeasure(3 * time.Second)
		Expect(old.stopped).To(BeTrue(), old.id)
	}
}

// runAndMeasure runs and notes for how long partitions are without an owner.
func (w *simulation) runAndMeasure(d time.Duration) {
	for range d / (5 * time.Millisecond) {
		w.run(5 * time.Millisecond)
		if w.unownedPartitions("route") > 0 || w.servers["depot/d1"] != nil && w.unforwardedPartitions() > 0 {
			w.unownedTime += 5 * time.Millisecond
		}
	}
}

var scenarios = []scenario{
	{"planned-hand-over", "a gap or an overlap when a target drains", [3]int{3, 3, 3}, func(w *simulation) {
		w.setDrain(1, true)
	}, 20 * time.Millisecond},
	{"target-removed", "partitions or controllers left behind by a removed row", [3]int{3, 3, 3}, func(w *simulation) {
		w.removeTarget("s1")
	}, 20 * time.Millisecond},
	{"server-loss", "partitions that stay with a lost server", [3]int{3, 3, 3}, func(w *simulation) {
		w.failServer("route/s1")
	}, maxTakeoverTime},
	{"controller-loss", "a target without a controller", [3]int{3, 3, 3}, func(w *simulation) {
		w.otherInstance(w.planner()).kill()
	}, maxTakeoverTime},
	{"planner-loss", "a cell without decisions", [3]int{3, 3, 3}, func(w *simulation) {
		w.planner().kill()
	}, maxTakeoverTime},
	{"zone-loss", "a loss of instances and servers that adds up", [3]int{8, 15, 4}, func(w *simulation) {
		w.failZone("z1")
	}, maxTakeoverTime},
	{"store-outage", "unavailability while the store is down, and provisional changes that are lost", [3]int{3, 3, 3}, func(w *simulation) {
		w.store.down = true
		w.logf("store down")
		w.runAndMeasure(time.Second)
		w.failServer("route/s1")
		w.runAndMeasure(2 * time.Second)
		w.store.down = false
		w.logf("store up")
	}, maxTakeoverTime},
	{"planner-loss-in-outage", "a stale set that is revived when planner and store are lost", [3]int{3, 3, 3}, func(w *simulation) {
		w.store.down = true
		w.logf("store down")
		w.planner().kill()
		w.runAndMeasure(3 * time.Second)
		w.store.down = false
		w.logf("store up")
	}, 3*time.Second + maxTakeoverTime}, // until the store is back: see Limits in docs/design/ownership.md
	{"lost-write-reply", "a write that took effect and is written twice or given up", [3]int{3, 3, 3}, func(w *simulation) {
		w.store.repliesToLose = 1
		w.failServer("route/s1")
	}, maxTakeoverTime},
	{"paused-server", "a server that resumes and believes that it owns", [3]int{3, 3, 3}, func(w *simulation) {
		w.servers["route/s1"].frozenUntil = w.now + 2*time.Second
		w.logf("route/s1 frozen for 2s")
	}, maxTakeoverTime},
	{"paused-instance", "a controller that resumes and acts on an old record", [3]int{3, 3, 3}, func(w *simulation) {
		n := w.otherInstance(w.planner())
		n.pause(3 * time.Second)
		w.logf("%s paused for 3s", n.id)
	}, maxTakeoverTime},
	{"racing-planners", "two planners at a time", [3]int{4, 3, 4}, func(w *simulation) {
		w.store.extraDelay = 120 * time.Millisecond
		w.planner().kill()
	}, maxTakeoverTime},
	{"asymmetric-cut", "a planner that hears nobody, or that nobody hears, and still acts", [3]int{3, 3, 3}, func(w *simulation) {
		p := w.planner()
		for id := range w.instances {
			w.cutLinks[[2]string{p.id, id}] = true
		}
		w.logf("messages from %s are lost for 3s", p.id)
		w.schedule(3*time.Second, func() { clear(w.cutLinks) })
	}, maxTakeoverTime},
	{"unchecked-hand-over", "two targets that get requests for a partition", [3]int{3, 3, 3}, func(w *simulation) {
		w.removeTarget("d1")
	}, 20 * time.Millisecond},
	{"unchecked-controller-loss", "two instances that forward to a server that refuses nothing", [3]int{3, 3, 3}, func(w *simulation) {
		w.controllerOf("depot/d1").kill()
	}, maxTakeoverTime},
	{"unchecked-server-loss", "partitions that stay with a server that is down", [3]int{3, 3, 3}, func(w *simulation) {
		w.controllerOf("depot/d1").step(HealthObserved{Target: "depot/d1"})
	}, maxTakeoverTime},
	{"rolling-replacement", "a gap while all instances are replaced", [3]int{3, 3, 3}, func(w *simulation) {
		w.replaceInstances()
	}, 0},
}

var _ = Describe("golden runs", func() {
	for _, s := range scenarios {
		It(s.name+": guards against "+s.guardsAgainst, func() {
			w := buildSimulatedCell(7, s.size[0], s.size[1], s.size[2], 2*s.size[1], strings.HasPrefix(s.name, "unchecked"))
			w.run(6 * time.Second)
			Expect(w.unownedPartitions("route")).To(BeZero())
			w.log = []string{"guards against " + s.guardsAgainst}
			w.verbose = true
			s.inject(w)
			w.runAndMeasure(4 * time.Second)
			for _, l := range w.log {
				GinkgoWriter.Println(l)
			}
			w.logf("partitions without owner: %d, for %v in all", w.unownedPartitions("route"), w.unownedTime)
			Expect(w.violations).To(BeEmpty())
			Expect(w.unownedPartitions("route")).To(BeZero())
			Expect(w.unownedTime).To(BeNumerically("<=", s.maxUnownedTime))
			goldie.New(GinkgoTB()).Assert(GinkgoTB(), s.name, []byte(strings.Join(w.log, "\n")+"\n"))
		})
	}
})
