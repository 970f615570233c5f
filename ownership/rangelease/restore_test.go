package rangelease_test

import (
	"time"

	"github.com/boragegate/boragegate/ownership/rangelease"
	"github.com/boragegate/boragegate/store"
)

// storeCopy is an older copy of the record, from which the store can be restored.
type storeCopy struct {
	record  *rangelease.Record
	version int
}

func (sim *simulation) copyStore() { sim.copy = storeCopy{sim.record, sim.version} }

// restoreStore loses the writes since the copy. Their versions are assigned again.
func (sim *simulation) restoreStore() {
	sim.record, sim.version = sim.copy.record, sim.copy.version
	sim.era++
}

// reconfirm lets a grantor that has learned of a restore write its own record under a term of the
// new era, unless another instance has taken over in it.
func (sim *simulation) reconfirm(in *simInstance) {
	in.era = sim.era
	g, version, era := in.grantor, sim.version, sim.era
	g.SuspendMoves()
	if g.IsTermInDoubt() || sim.record != nil && sim.record.Term >= rangelease.FirstTerm(era) {
		in.grantor = nil
		return
	}
	term := max(g.Term()+1, rangelease.FirstTerm(era))
	b, _ := g.RecordForTerm(sim.now, term).Encode()
	sent := sim.now
	sim.schedule(5*time.Millisecond, func() {
		if in.storeUnreachable || sim.era != era || sim.version != version {
			if sim.era == era {
				in.era = store.Era(0) // tries again
			}
			return
		}
		sim.record, _ = rangelease.DecodeRecord(b)
		sim.version++
		in.version = sim.version
		g.BeginTerm(sent, term)
	})
}

// tickActions performs the actions that are due.
func (sim *simulation) tickActions(in *simInstance) {
	g := in.grantor
	if g == nil {
		return
	}
	for _, a := range g.Tick(sim.now, sim.maxCalls) {
		sim.perform(in, g, a)
	}
}
