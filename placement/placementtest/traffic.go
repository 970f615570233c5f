// Package placementtest holds traffic makers, baselines and a simulation with
// which placement policies are measured. All of it repeats from a seed.
package placementtest

import (
	"math"
	"math/rand/v2"
)

// Traffic is a service's requests: keys with Zipf popularity, hashed to
// partitions. The most popular keys are drawn one by one, the rest as a tail
// that is even over the keys of each partition.
type Traffic struct {
	rng *rand.Rand
	// popularPartitions holds the partition of each popular key by rank, share its part of the requests.
	popularPartitions []int
	popularFractions  []float64
	// KeyCounts is the number of keys of each partition, tail its part of the requests.
	KeyCounts, tailFractions []float64
	// TotalLoad is the whole load in slots, SecondsPerRequest the slot time of a request in seconds.
	TotalLoad, SecondsPerRequest float64
}

// popularKeys is the number of keys that are drawn one by one.
const popularKeys = 20000

// NewTraffic makes traffic for n partitions.
func NewTraffic(seed uint64, n int, keys, exponent, load, perRequest float64) *Traffic {
	t := &Traffic{
		rng:       rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // repeatable traces
		KeyCounts: make([]float64, n), tailFractions: make([]float64, n), TotalLoad: load, SecondsPerRequest: perRequest,
	}
	harmonic := 0.0
	for i := 1; i <= popularKeys; i++ {
		harmonic += math.Pow(float64(i), -exponent)
	}
	rest := (math.Pow(keys, 1-exponent) - math.Pow(popularKeys, 1-exponent)) / (1 - exponent)
	for i := range popularKeys {
		t.popularPartitions = append(t.popularPartitions, t.rng.IntN(n))
		t.popularFractions = append(t.popularFractions, math.Pow(float64(i+1), -exponent)/(harmonic+rest))
	}
	mean, sum := keys/float64(n), 0.0
	for p := range t.KeyCounts {
		t.KeyCounts[p] = math.Round(mean + math.Sqrt(mean)*t.rng.NormFloat64())
		sum += t.KeyCounts[p]
	}
	for p := range t.tailFractions {
		t.tailFractions[p] = rest / (harmonic + rest) * t.KeyCounts[p] / sum
	}
	return t
}

// HottestFraction is the part of the requests that goes to the most popular key.
func (t *Traffic) HottestFraction() float64 { return t.popularFractions[0] }

// ReplaceHottest replaces the k most popular keys by others in other partitions.
func (t *Traffic) ReplaceHottest(k int) {
	for i := range k {
		t.popularPartitions[i] = t.rng.IntN(len(t.KeyCounts))
	}
}

// SwapHottest exchanges the k most popular keys with the k at a rank. A second call restores them.
func (t *Traffic) SwapHottest(k, rank int) {
	for i := range k {
		t.popularPartitions[i], t.popularPartitions[rank+i] = t.popularPartitions[rank+i], t.popularPartitions[i]
	}
}

// ExpectedLoads returns the expected load of each partition in slots.
func (t *Traffic) ExpectedLoads() []float64 {
	rates := make([]float64, len(t.tailFractions))
	for p, x := range t.tailFractions {
		rates[p] = x * t.TotalLoad
	}
	for i, p := range t.popularPartitions {
		rates[p] += t.popularFractions[i] * t.TotalLoad
	}
	return rates
}

// SampleLoads draws the load of each partition over some seconds. Arrivals are
// Poisson and slot times exponential, so the variance is twice that of the arrivals.
func (t *Traffic) SampleLoads(rates []float64, seconds float64) []float64 {
	x := make([]float64, len(rates))
	for p, rate := range rates {
		requests := rate / t.SecondsPerRequest * seconds
		x[p] = max(0, requests+math.Sqrt(2*requests)*t.rng.NormFloat64()) * t.SecondsPerRequest / seconds
	}
	return x
}
