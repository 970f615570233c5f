package keyrange

import (
	"math"
	"time"
)

const (
	// waitReserveServiceTimes times the service time is kept free of the objective for the service
	// itself, which varies, before the rest may be spent waiting.
	waitReserveServiceTimes = 1.5
	// minOnTimeUtilisation and maxOnTimeUtilisation bound the utilisation at which requests count
	// as on time: a target that is too slow for the objective still gets a part of the load, and
	// the estimates are too inaccurate for a load closer to the saturation.
	minOnTimeUtilisation = 0.5
	maxOnTimeUtilisation = 0.95
	// utilisationSteps is the number of halvings by which the utilisation is found.
	utilisationSteps = 12
)

// SaturationRate returns the number of requests per second at which all slots of a target are busy.
// The service time must be positive.
func SaturationRate(slots int, serviceTime time.Duration) float64 {
	return float64(slots) / serviceTime.Seconds()
}

// OnTimeRate returns the number of requests per second up to which the mean time that requests wait at a
// target leaves them time to be served within the objective. Of targets with the same utilisation, a
// slow one serves more requests late, because its requests wait longer and have less time to wait. An
// objective of 0 means none; then OnTimeRate is the same as SaturationRate.
func OnTimeRate(slots int, serviceTime, objective time.Duration) float64 {
	saturation := SaturationRate(slots, serviceTime)
	if objective <= 0 {
		return saturation
	}
	maxWait := objective.Seconds() - waitReserveServiceTimes*serviceTime.Seconds()
	low, high := minOnTimeUtilisation, maxOnTimeUtilisation
	for range utilisationSteps {
		if middle := (low + high) / 2; meanWait(slots, serviceTime.Seconds(), middle) <= maxWait {
			low = middle
		} else {
			high = middle
		}
	}
	return low * saturation
}

// meanWait returns the approximate mean time in the queue of a target, in the unit of the service time
// (H. Sakasegawa, "An approximation formula Lq = α·ρ^β/(1−ρ)", 1977).
func meanWait(slots int, serviceTime, utilisation float64) float64 {
	exponent := math.Sqrt(2*float64(slots+1)) - 1
	return serviceTime / float64(slots) * math.Pow(utilisation, exponent) / (1 - utilisation)
}
