package dispatch

import (
	"time"

	"github.com/boragegate/boragegate/routing"
)

const (
	// leastZoneCost is the cost of sending the smallest exchange to another zone.
	leastZoneCost = 4 * time.Millisecond
	// zoneShare is the fraction of the objective that a very large exchange may take longer
	// in order to stay in the zone: a response within the objective is on time, and the
	// links between zones are shared by all.
	zoneShare = 0.3
	// zoneBytes is the exchange size at which half of that cost applies.
	zoneBytes = 32 << 10
	// assumedObjective is used for routes without an objective.
	assumedObjective = 300 * time.Millisecond
	// bytesWeight is the weight of one exchange in the moving average of the size.
	bytesWeight = 0.05
	// smallBytes is the size that is assumed before the first exchange, and largeBytes the
	// same for kinds of requests with large bodies.
	smallBytes = 2 << 10
	largeBytes = 64 << 10
)

// traffic identifies exchanges that are assumed to be of similar size.
type traffic struct {
	service string
	kind    routing.Kind
}

// Moved records the total size of the request and response bodies of one exchange.
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

// zoneCost is the time that is added to the expected latency of targets in other zones.
func (b *Board) zoneCost(r *Request) time.Duration {
	objective := r.Objective
	if objective <= 0 {
		objective = assumedObjective
	}
	size := b.exchangeBytes(traffic{r.Service, r.Kind})
	return max(time.Duration(zoneShare*size/(size+zoneBytes)*float64(objective)), leastZoneCost)
}
