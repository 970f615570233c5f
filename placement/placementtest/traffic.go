// Package placementtest provides simulated traffic, baseline policies and a simulation to
// measure placement policies with. All results are reproducible from a seed.
package placementtest

import (
	"math"
	"math/rand/v2"
)

// Traffic models the requests of a service: keys with a Zipf distribution of popularity,
// hashed to partitions. The most popular keys are modelled individually, the others as a tail
// that is uniform over the keys of all partitions.
type Traffic struct {
	rng *rand.Rand
	// popularPartitions holds the partition of each popular key by rank, popularFractions
	// its fraction of the requests.
	popularPartitions []int
	popularFractions  []float64
	// KeyCounts is the number of keys of each partition, tailFractions the fraction of the
	// requests that are for its unpopular keys.
	KeyCounts, tailFractions []float64
	// TotalLoad is the total load in slots. SecondsPerRequest is the time for which a
	// request occupies a slot.
	TotalLoad, SecondsPerRequest float64
}

// popularKeys is the number of keys that are modelled individually.
const popularKeys = 20000

// NewTraffic returns traffic for n partitions with the given number of keys and exponent of
// the Zipf distribution, which must not be 1. The total load is in slots, the time per
// request in seconds.
func NewTraffic(seed uint64, n int, keys, exponent, load, perRequest float64) *Traffic {
	t := &Traffic{
		rng:       rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // repeatable traces
		KeyCounts: make([]float64, n), tailFractions: make([]float64, n), TotalLoad: load, SecondsPerRequest: perRequest,
	}
	popularWeight := 0.0
	for i := 1; i <= popularKeys; i++ {
		popularWeight += math.Pow(float64(i), -exponent)
	}
	tailWeight := (math.Pow(keys, 1-exponent) - math.Pow(popularKeys, 1-exponent)) / (1 - exponent)
	for i := range popularKeys {
		t.popularPartitions = append(t.popularPartitions, t.rng.IntN(n))
		t.popularFractions = append(t.popularFractions, math.Pow(float64(i+1), -exponent)/(popularWeight+tailWeight))
	}
	mean, sum := keys/float64(n), 0.0
	for p := range t.KeyCounts {
		t.KeyCounts[p] = math.Round(mean + math.Sqrt(mean)*t.rng.NormFloat64())
		sum += t.KeyCounts[p]
	}
	for p := range t.tailFractions {
		t.tailFractions[p] = tailWeight / (popularWeight + tailWeight) * t.KeyCounts[p] / sum
	}
	return t
}

// HottestFraction returns the fraction of the requests that are for the most popular key.
func (t *Traffic) HottestFraction() float64 { return t.popularFractions[0] }

// ReplaceHottest replaces the k most popular keys with keys in random partitions.
func (t *Traffic) ReplaceHottest(k int) {
	for i := range k {
		t.popularPartitions[i] = t.rng.IntN(len(t.KeyCounts))
	}
}

// SwapHottest exchanges the k most popular keys with the k keys from the given rank on,
// counted from 0. A second call with the same arguments restores them.
func (t *Traffic) SwapHottest(k, rank int) {
	for i := range k {
		t.popularPartitions[i], t.popularPartitions[rank+i] = t.popularPartitions[rank+i], t.popularPartitions[i]
	}
}

// ExpectedLoads returns the expected load of each partition in slots.
func (t *Traffic) ExpectedLoads() []float64 {
	loads := make([]float64, len(t.tailFractions))
	for p, x := range t.tailFractions {
		loads[p] = x * t.TotalLoad
	}
	for i, p := range t.popularPartitions {
		loads[p] += t.popularFractions[i] * t.TotalLoad
	}
	return loads
}

// SampleLoads draws a random load of each partition over a number of seconds. Arrivals are
// Poisson and the times per request exponential, so the variance is twice that of the
// arrivals.
func (t *Traffic) SampleLoads(expectedLoads []float64, seconds float64) []float64 {
	x := make([]float64, len(expectedLoads))
	for p, load := range expectedLoads {
		requests := load / t.SecondsPerRequest * seconds
		x[p] = max(0, requests+math.Sqrt(2*requests)*t.rng.NormFloat64()) * t.SecondsPerRequest / seconds
	}
	return x
}
