package server

import (
	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/ownership"
)

// States that the server reports in replies of the contract.
const (
	stateOK       = "ok"
	stateDraining = "draining"
)

// grantSet holds the lease of the server, the highest term that the server has
// seen, and the epochs of the granted partitions. It is guarded by Server.mu.
type grantSet struct {
	holder     *lease.Holder // nil before the first lease request
	leaseMS    int64
	term       uint64
	setVersion uint64 // of the last changes applied in the term
	maxEpoch   uint64
	heldEpochs map[int]uint64 // epoch of each granted partition
	// highestEpochs has the highest epoch of every partition that was ever granted, so
	// that a delayed grant cannot restore an older epoch.
	highestEpochs map[int]uint64
	inFlight      map[int]int // number of requests by partition
	draining      bool
	// requestEnded is closed and replaced whenever a request ends.
	requestEnded chan struct{}
}

func newGrantSet() grantSet {
	return grantSet{
		heldEpochs:    map[int]uint64{},
		highestEpochs: map[int]uint64{},
		inFlight:      map[int]int{},
		requestEnded:  make(chan struct{}),
	}
}

// acceptTerm reports whether the term is at least the highest term seen. A higher term
// is recorded, and the versions of the grant set start from 0 again.
func (g *grantSet) acceptTerm(term uint64) bool {
	if term < g.term {
		return false
	}
	if term > g.term {
		g.term, g.setVersion = term, 0
	}
	return true
}

// renew extends the lease, whose duration counts from the server's stamp that the request
// answers. It does not extend it for a stamp of an earlier process of the server.
func (g *grantSet) renew(now lease.Instant, r ownership.ServerRequest, bootID string) {
	if g.holder == nil || g.leaseMS != r.LeaseMS {
		config := lease.DefaultConfig
		config.Duration = milliseconds(r.LeaseMS)
		g.holder, g.leaseMS = lease.NewHolder(config), r.LeaseMS
	}
	if r.BootID == bootID && r.AnsweredStamp > 0 {
		g.holder.Renew(now, r.AnsweredStamp)
	}
}

// applyChanges applies the grants and removals of a request if its set version is
// higher than the last one applied.
func (g *grantSet) applyChanges(r ownership.ServerRequest) {
	if r.SetVersion <= g.setVersion {
		return
	}
	g.setVersion = r.SetVersion
	if r.Replace {
		clear(g.heldEpochs)
	}
	g.remove(r.Removals)
	for _, rg := range r.Grants {
		for p := rg.From; p <= rg.To; p++ {
			g.grant(p, rg.Epoch)
		}
	}
}

func (g *grantSet) grant(partition int, epoch uint64) {
	if epoch < g.highestEpochs[partition] {
		return
	}
	g.highestEpochs[partition] = epoch
	g.heldEpochs[partition] = epoch
	g.maxEpoch = max(g.maxEpoch, epoch)
}

func (g *grantSet) remove(ranges []ownership.PartitionRange) {
	for _, rg := range ranges {
		for p := rg.From; p <= rg.To; p++ {
			delete(g.heldEpochs, p)
		}
	}
}

// holds reports whether the partition is granted at the epoch and the lease is valid.
func (g *grantSet) holds(now lease.Instant, partition int, epoch uint64) bool {
	e, ok := g.heldEpochs[partition]
	return ok && e == epoch && g.holder != nil && g.holder.Valid(now)
}

func (g *grantSet) beginRequest(partition int) { g.inFlight[partition]++ }

func (g *grantSet) endRequest(partition int) {
	g.inFlight[partition]--
	if g.inFlight[partition] == 0 {
		delete(g.inFlight, partition)
	}
	close(g.requestEnded)
	g.requestEnded = make(chan struct{})
}

// hasInFlight reports whether a request is in flight for one of the partitions.
func (g *grantSet) hasInFlight(ranges []ownership.PartitionRange) bool {
	for _, rg := range ranges {
		for p := rg.From; p <= rg.To; p++ {
			if g.inFlight[p] > 0 {
				return true
			}
		}
	}
	return false
}

func (g *grantSet) state() string {
	if g.draining {
		return stateDraining
	}
	return stateOK
}
