package placementtest

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/boragegate/boragegate/placement"
)

// sizes are numbers of targets and partitions: those of the current system, of one cell of a
// system of the target size (676 targets, 65,536 partitions), and of whole systems up to that
// size.
var sizes = [][2]int{{15, 1024}, {31, 3072}, {169, 16384}, {338, 32768}, {676, 65536}}

// steadySim returns a simulation of a service that has run for the warm-up, so that its
// policy has a load estimate.
func steadySim(targets, partitions int) *Sim {
	traffic := NewTraffic(1, partitions, 620e6, 0.7, 77*float64(targets), 0.01)
	s := NewSim(1, placement.NewWeighted(placement.Settings{}), traffic, Targets(targets, 7, 64, 1, 2, 4), false)
	s.Run(warmUp)
	s.Input.Now += Step
	s.Policy.Plan(s.Input)
	return s
}

// BenchmarkPlan measures one call of Plan: "full" assigns every partition, "loss" reassigns
// the partitions of one lost target, "reports" processes a load report on every target, and
// "quiet" has nothing to change.
func BenchmarkPlan(b *testing.B) {
	for _, size := range sizes {
		s := steadySim(size[0], size[1])
		name := fmt.Sprintf("targets=%d/partitions=%d/", size[0], size[1])
		b.Run(name+"full", func(b *testing.B) {
			in := placement.Input{Assignment: placement.NewAssignment("service", size[1]), Targets: s.Input.Targets}
			for b.Loop() {
				placement.NewWeighted(placement.Settings{}).Plan(in)
			}
		})
		b.Run(name+"quiet", func(b *testing.B) {
			in := s.Input
			for b.Loop() {
				s.Policy.Plan(in)
			}
		})
		b.Run(name+"reports", func(b *testing.B) {
			in := s.Input
			loads := [][]float64{s.Traffic.SampleLoads(s.expectedLoads, 10), s.Traffic.SampleLoads(s.expectedLoads, 10)}
			for i := 0; b.Loop(); i++ {
				in.Now += Step
				in.Load = loads[i%2]
				s.Policy.Plan(in)
			}
			s.Input.Now, s.Input.Load = in.Now, in.Load
		})
		b.Run(name+"loss", func(b *testing.B) {
			in := s.Input
			in.Targets = slices.Clone(in.Targets)
			in.Targets[5].Lost, in.Targets[5].Usable = true, false
			for b.Loop() {
				in.Now += time.Millisecond
				if len(s.Policy.Plan(in).Urgent) == 0 {
					b.Fatal("plan for a lost target reassigns no partition")
				}
			}
		})
	}
}
