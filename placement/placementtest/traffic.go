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
	// head holds the partition of each popular key by rank, share its part of the requests.
	head  []int
	share []float64
	// Keys is the number of keys of each partition, tail its part of the requests.
	Keys, tail []float64
	// Load is the whole load in slots, PerRequest the slot time of a request in seconds.
	Load, PerRequest float64
}

// headKeys is the number of keys that are drawn one by one.
const headKeys = 20000

// NewTraffic makes traffic for n partitions.
func NewTraffic(seed uint64, n int, keys, exponent, load, perRequest float64) *Traffic {
	t := &Traffic{
		rng:  rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // repeatable traces
		Keys: make([]float64, n), tail: make([]float64, n), Load: load, PerRequest: perRequest,
	}
	harmonic := 0.0
	for i := 1; i <= headKeys; i++ {
		harmonic += math.Pow(float64(i), -exponent)
	}
	rest := (math.Pow(keys, 1-exponent) - math.Pow(headKeys, 1-exponent)) / (1 - exponent)
	for i := range headKeys {
		t.head = append(t.head, t.rng.IntN(n))
		t.share = append(t.share, math.Pow(float64(i+1), -exponent)/(harmonic+rest))
	}
	mean, sum := keys/float64(n), 0.0
	for p := range t.Keys {
		t.Keys[p] = math.Round(mean + math.Sqrt(mean)*t.rng.NormFloat64())
		sum += t.Keys[p]
	}
	for p := range t.tail {
		t.tail[p] = rest / (harmonic + rest) * t.Keys[p] / sum
	}
	return t
}

// Hottest is the part of the requests that goes to the most popular key.
func (t *Traffic) Hottest() float64 { return t.share[0] }

// Shift replaces the k most popular keys by others in other partitions.
func (t *Traffic) Shift(k int) {
	for i := range k {
		t.head[i] = t.rng.IntN(len(t.Keys))
	}
}

// Swap exchanges the k most popular keys with the k at a rank. A second call restores them.
func (t *Traffic) Swap(k, rank int) {
	for i := range k {
		t.head[i], t.head[rank+i] = t.head[rank+i], t.head[i]
	}
}

// Rates returns the expected load of each partition in slots.
func (t *Traffic) Rates() []float64 {
	rates := make([]float64, len(t.tail))
	for p, x := range t.tail {
		rates[p] = x * t.Load
	}
	for i, p := range t.head {
		rates[p] += t.share[i] * t.Load
	}
	return rates
}

// Sample draws the load of each partition over some seconds. Arrivals are
// Poisson and slot times exponential, so the variance is twice that of the arrivals.
func (t *Traffic) Sample(rates []float64, seconds float64) []float64 {
	x := make([]float64, len(rates))
	for p, rate := range rates {
		requests := rate / t.PerRequest * seconds
		x[p] = max(0, requests+math.Sqrt(2*requests)*t.rng.NormFloat64()) * t.PerRequest / seconds
	}
	return x
}
