// Package keyrange assigns contiguous ranges of shard keys to targets by measured load. It
// is deterministic and has no clock, no goroutines and no I/O.
//
// Busy keys lie close to one another, and which ones are busy changes during the day. A range
// with too much load is therefore cut around its busiest keys, and the narrowest part that
// relieves its holder moves to the target with the lowest utilisation. Few keys change their
// holder, because only few are busy.
package keyrange

import (
	"math"
	"time"

	"github.com/boragegate/boragegate/routing"
)

const (
	// minWindow is the minimum averaging window of the slow rate. At 500 requests/s over
	// 14 targets it leaves a standard error of about 10% for each target.
	minWindow = 3 * time.Second
	// maxWindow bounds the averaging window when each target gets few requests.
	maxWindow = 12 * time.Second
	// windowRequestsPerTarget is the number of requests that each target should get within
	// the window. 60 requests leave a standard error of 13%.
	windowRequestsPerTarget = 60
	// ratePriorRequests is a prior: this many requests, spread evenly over all keys, are
	// added to the counted ones, so that a handful of requests does not decide how the keys
	// are divided.
	ratePriorRequests = 20
	// minSampleTime is the minimum duration by which counts are divided to get a rate, even if
	// they cover less time.
	minSampleTime = 150 * time.Millisecond
	// fastWindow is the averaging window of the fast rate, which shows new load within half a
	// second. The fast rate is used for spans where it differs from the slow rate by more than
	// its own noise.
	fastWindow = 500 * time.Millisecond
	// noiseSigmas is the number of standard errors that count as noise with up to
	// noiseBaseRanges ranges, and sigmasPerDoubling is added for each doubling of that
	// number: the more ranges there are, the more of them look busy by chance.
	noiseSigmas       = 2.0
	noiseBaseRanges   = 64
	sigmasPerDoubling = 0.4
	// baseRateFraction times the measured load is added to it, spread evenly over all keys,
	// so that keys without requests have a load too and are divided evenly.
	baseRateFraction = 0.05
)

// KeyRates estimates the request rate of each shard key of one service from two counts of its
// requests, which decay over a long window (slow rate) and a short one (fast rate). It is not
// safe for concurrent use.
type KeyRates struct {
	slowCounts, fastCounts []float32
	// slowWindow is the averaging window of the slow counts.
	slowWindow time.Duration
	// slowSampleTime and fastSampleTime are the durations that the counts cover. They start
	// at 0 with the first request and approach the windows.
	slowSampleTime, fastSampleTime time.Duration
	started                        bool
}

// NewKeyRates returns rates to which no requests have been added.
func NewKeyRates() *KeyRates {
	return &KeyRates{slowCounts: make([]float32, routing.KeyCount), fastCounts: make([]float32, routing.KeyCount), slowWindow: minWindow}
}

// SetTargetCount adapts the window of the slow rate to the number n of targets that share the load.
func (r *KeyRates) SetTargetCount(n int) {
	window := maxWindow
	if total := r.totalRate(); total > 0 {
		window = min(time.Duration(float64(n)*windowRequestsPerTarget/total*float64(time.Second)), maxWindow)
	}
	r.slowWindow = max(window, minWindow)
}

// totalRate returns the slow rate of all keys together, in requests per second.
func (r *KeyRates) totalRate() float64 {
	sum := 0.0
	for _, v := range r.slowCounts {
		sum += float64(v)
	}
	return sum / r.slowSeconds()
}

// slowSeconds and fastSeconds return the durations that the counts cover, in seconds.
func (r *KeyRates) slowSeconds() float64 { return max(r.slowSampleTime, minSampleTime).Seconds() }
func (r *KeyRates) fastSeconds() float64 { return max(r.fastSampleTime, minSampleTime).Seconds() }

// Advance decays the counts by the time d since the last call.
func (r *KeyRates) Advance(d time.Duration) {
	if !r.started {
		return
	}
	slow, fast := decay(&r.slowSampleTime, d, r.slowWindow), decay(&r.fastSampleTime, d, fastWindow)
	for k := range r.slowCounts {
		r.slowCounts[k] *= slow
		r.fastCounts[k] *= fast
	}
}

// decay returns the factor by which counts decay in the time d, and updates the duration
// that they cover.
func decay(sampleTime *time.Duration, d, window time.Duration) float32 {
	factor := math.Exp(-float64(d) / float64(window))
	*sampleTime = time.Duration(float64(*sampleTime)*factor + float64(window)*(1-factor))
	return float32(factor)
}

// Add counts requests for a key. Keys out of range are ignored.
func (r *KeyRates) Add(key, requests int) {
	if key < 0 || key >= routing.KeyCount {
		return
	}
	r.started = true
	r.slowCounts[key] += float32(requests)
	r.fastCounts[key] += float32(requests)
}

// spanRates returns the requests per second of each key of the span and their sum. They are fast
// rates if the fast rate of the span differs from the slow one by more than its noise, which is
// sigmas standard errors, and slow rates otherwise: a burst for one key that is over would
// otherwise count as load for several slow windows. They include baseRate for each key.
func (r *KeyRates) spanRates(s routing.Span, baseRate, sigmas float64) ([]float64, float64) {
	var slow, fast float64
	for k := s.From; k <= s.To; k++ {
		slow += float64(r.slowCounts[k])
		fast += float64(r.fastCounts[k])
	}
	slowRate := slow / r.slowSeconds()
	fastLowerBound := (fast - sigmas*math.Sqrt(fast)) / r.fastSeconds()
	// The noise of a low rate is that of the requests which the slow rate would have brought.
	expected := slowRate * r.fastSeconds()
	isFalling := fast < expected-sigmas*math.Sqrt(expected)
	counts, scale := r.slowCounts, 1/r.slowSeconds()
	if fastLowerBound > slowRate || isFalling {
		counts, scale = r.fastCounts, 1/r.fastSeconds()
	}
	perKey := make([]float64, s.Len())
	sum := 0.0
	for i := range perKey {
		perKey[i] = float64(counts[s.From+i])*scale + baseRate
		sum += perKey[i]
	}
	return perKey, sum
}

// noiseSigmasFor returns the number of standard errors that count as noise with the given
// number of ranges.
func noiseSigmasFor(ranges int) float64 {
	return noiseSigmas + sigmasPerDoubling*math.Log2(max(float64(ranges)/noiseBaseRanges, 1))
}

// baseRate returns the rate that is added to the measured rate of each key, in requests per second.
func (r *KeyRates) baseRate() float64 {
	return (r.totalRate()*baseRateFraction + ratePriorRequests/r.slowSeconds()) / routing.KeyCount
}
