package dispatch

import (
	"time"

	"github.com/boragegate/boragegate/routing"
)

const (
	// minZoneCost is the cost of sending the smallest exchange to another zone, as time that is
	// added to the expected latency there.
	minZoneCost = 4 * time.Millisecond
	// maxZoneCostFraction is the cost of sending a very large exchange to another zone, as a
	// fraction of the objective. The exchange may take that much longer to stay in the zone: a
	// response within the objective is still on time, and all requests share the links between
	// zones.
	maxZoneCostFraction = 0.3
	// halfZoneCostBytes is the exchange size for which half of maxZoneCostFraction applies.
	halfZoneCostBytes = 32 << 10
	// defaultObjective is used for routes without an objective.
	defaultObjective = 300 * time.Millisecond
	// exchangeSizeWeight is the weight of one exchange in the moving average of the size.
	exchangeSizeWeight = 0.05
	// defaultExchangeBytes is the size that is assumed before the first exchange, and
	// defaultLargeExchangeBytes the same for the kinds Bulk and Upload.
	defaultExchangeBytes      = 2 << 10
	defaultLargeExchangeBytes = 64 << 10
)

// trafficClass identifies requests whose exchanges are assumed to be of similar size, and whose
// callers are assumed to have similar timeouts.
type trafficClass struct {
	service string
	kind    routing.Kind
}

// RecordExchangeBytes records the total size of the request and response bodies of one
// exchange.
func (b *Balancer) RecordExchangeBytes(service string, kind routing.Kind, bytes int64) {
	class := trafficClass{service, kind}
	mean := b.averageExchangeBytes(class)
	b.exchangeSizes[class] = mean + exchangeSizeWeight*(float64(bytes)-mean)
}

func (b *Balancer) averageExchangeBytes(class trafficClass) float64 {
	if mean, ok := b.exchangeSizes[class]; ok {
		return mean
	}
	if class.kind == routing.Bulk || class.kind == routing.Upload {
		return defaultLargeExchangeBytes
	}
	return defaultExchangeBytes
}

// ServiceLoad returns the estimated number of requests at all targets of a service that are not draining. Its cost
// grows with their number.
func (b *Balancer) ServiceLoad(now time.Duration, service string) float64 {
	load := 0.0
	for _, t := range b.services[service] {
		if !t.Draining {
			load += b.estimate(now, t).Load
		}
	}
	return load
}

// zoneCost returns the time that is added to the expected latency of targets in other zones. It
// grows with the average size of the exchanges.
func (b *Balancer) zoneCost(r *Request) time.Duration {
	objective := r.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	size := b.averageExchangeBytes(trafficClass{r.Service, r.Kind})
	return max(time.Duration(maxZoneCostFraction*size/(size+halfZoneCostBytes)*float64(objective)), minZoneCost)
}
