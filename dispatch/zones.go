package dispatch

import (
	"time"

	"github.com/boragegate/boragegate/routing"
)

const (
	// leastZoneCost is the cost of a target in another zone for the smallest exchange.
	leastZoneCost = 4 * time.Millisecond
	// zoneShare of the objective is what a very large exchange may take longer at a
	// target of the own zone: an answer within the objective has its full value, and
	// the links between zones are shared by all.
	zoneShare = 0.3
	// zoneBytes is the size of an exchange at which half of that is allowed.
	zoneBytes = 32 << 10
	// assumedObjective stands for routes without an objective.
	assumedObjective = 300 * time.Millisecond
	// bytesWeight is the weight of one exchange in the average size.
	bytesWeight = 0.05
	// smallBytes and largeBytes are the sizes that are assumed before the first exchange.
	smallBytes = 2 << 10
	largeBytes = 64 << 10
)

// traffic names exchanges that are taken to be of similar size.
type traffic struct {
	service string
	kind    routing.Kind
}

// Moved notes the bytes of the bodies of one exchange, both ways together.
func (b *Board) Moved(service string, kind routing.Kind, bytes int64) {
	of := traffic{service, kind}
	mean := b.exchangeBytes(of)
	b.bytes[of] = mean + bytesWeight*(float64(bytes)-mean)
}

func (b *Board) exchangeBytes(of traffic) float64 {
	if mean, ok := b.bytes[of]; ok {
		return mean
	}
	if of.kind == routing.Bulk || of.kind == routing.Upload {
		return largeBytes
	}
	return smallBytes
}

// zoneCost is the time by which a target in another zone has to be better for a request.
func (b *Board) zoneCost(r *Request) time.Duration {
	objective := r.Objective
	if objective <= 0 {
		objective = assumedObjective
	}
	size := b.exchangeBytes(traffic{r.Service, r.Kind})
	return max(time.Duration(zoneShare*size/(size+zoneBytes)*float64(objective)), leastZoneCost)
}
