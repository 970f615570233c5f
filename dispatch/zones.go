package dispatch

import (
	"time"

	"github.com/boragegate/boragegate/routing"
)

const (
	// minZoneCost is the cost of a target in another zone for the smallest exchange.
	minZoneCost = 4 * time.Millisecond
	// maxZoneCostFraction of the objective is what a very large exchange may take longer at a
	// target of the own zone: an answer within the objective has its full value, and
	// the links between zones are shared by all.
	maxZoneCostFraction = 0.3
	// halfZoneCostBytes is the size of an exchange at which half of that is allowed.
	halfZoneCostBytes = 32 << 10
	// defaultObjective stands for routes without an objective.
	defaultObjective = 300 * time.Millisecond
	// exchangeSizeWeight is the weight of one exchange in the average size.
	exchangeSizeWeight = 0.05
	// defaultExchangeBytes and defaultLargeExchangeBytes are the sizes that are assumed before the first exchange.
	defaultExchangeBytes      = 2 << 10
	defaultLargeExchangeBytes = 64 << 10
)

// trafficClass names exchanges that are taken to be of similar size.
type trafficClass struct {
	service string
	kind    routing.Kind
}

// RecordExchangeBytes notes the bytes of the bodies of one exchange, both ways together.
func (b *Balancer) RecordExchangeBytes(service string, kind routing.Kind, bytes int64) {
	of := trafficClass{service, kind}
	mean := b.averageExchangeBytes(of)
	b.exchangeSizes[of] = mean + exchangeSizeWeight*(float64(bytes)-mean)
}

func (b *Balancer) averageExchangeBytes(of trafficClass) float64 {
	if mean, ok := b.exchangeSizes[of]; ok {
		return mean
	}
	if of.kind == routing.Bulk || of.kind == routing.Upload {
		return defaultLargeExchangeBytes
	}
	return defaultExchangeBytes
}

// zoneCost is the time by which a target in another zone has to be better for a request.
func (b *Balancer) zoneCost(r *Request) time.Duration {
	objective := r.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	size := b.averageExchangeBytes(trafficClass{r.Service, r.Kind})
	return max(time.Duration(maxZoneCostFraction*size/(size+halfZoneCostBytes)*float64(objective)), minZoneCost)
}
