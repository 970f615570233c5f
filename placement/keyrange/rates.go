// Package keyrange places contiguous ranges of shard keys on targets by measured
// load. It is deterministic: no clock, no goroutines, no I/O.
//
// Busy keys lie close to one another and move during the day, so a range that
// carries too much is cut around its busiest keys and the narrowest part that
// relieves its holder goes to the target with the most room. Few keys change
// hands, because the busy ones are few.
package keyrange

import (
	"math"
	"time"

	"github.com/boragegate/boragegate/routing"
)

const (
	// minWindow averages the steady load. At 500 requests/s over 14 targets it
	// leaves a standard error of about 10% a target.
	minWindow = 3 * time.Second
	// maxWindow bounds the window where requests are few for each target.
	maxWindow = 12 * time.Second
	// windowRequestsPerTarget is the number of requests that a target should get within
	// the window: 60 leave a standard error of 13%.
	windowRequestsPerTarget = 60
	// ratePriorRequests are counted besides the measured ones, spread over all keys, so
	// that a handful of requests does not decide how the keys are divided.
	ratePriorRequests = 20
	// minSampleTime is the least time to which counts are referred.
	minSampleTime = 150 * time.Millisecond
	// fastWindow shows a load that appeared within half a second. It counts where
	// it exceeds the slow rate by more than its own noise.
	fastWindow = 500 * time.Millisecond
	// noiseSigmas is the number of standard errors that are taken for noise in each of up
	// to noiseBaseRanges ranges, and sigmasPerDoubling what is added for each doubling of their
	// number: the more ranges, the more of them look busy by chance.
	noiseSigmas       = 2.0
	noiseBaseRanges   = 64
	sigmasPerDoubling = 0.4
	// baseRateFraction is the share of the measured load that is spread evenly over all
	// keys, so that keys without a request still count and an idle service is
	// divided evenly.
	baseRateFraction = 0.05
)

// KeyRates estimates requests per second for each shard key of one service.
type KeyRates struct {
	slowCounts, fastCounts []float32
	// slowWindow is the time over which slow averages.
	slowWindow time.Duration
	// slowSampleTime and fastSampleTime are the times over which the counts were made: less than
	// the windows soon after the first request.
	slowSampleTime, fastSampleTime time.Duration
	started                        bool
}

// NewKeyRates returns rates without any request.
func NewKeyRates() *KeyRates {
	return &KeyRates{slowCounts: make([]float32, routing.KeyCount), fastCounts: make([]float32, routing.KeyCount), slowWindow: minWindow}
}

// SetTargets fits the window to the number of targets that share the load.
func (r *KeyRates) SetTargets(n int) {
	window := maxWindow
	if total := r.totalRate(); total > 0 {
		window = min(time.Duration(float64(n)*windowRequestsPerTarget/total*float64(time.Second)), maxWindow)
	}
	r.slowWindow = max(window, minWindow)
}

// totalRate is the requests per second of all keys.
func (r *KeyRates) totalRate() float64 {
	sum := 0.0
	for _, v := range r.slowCounts {
		sum += float64(v)
	}
	return sum / r.slowSeconds()
}

// slowSeconds and fastSeconds are the seconds over which the counts were made.
func (r *KeyRates) slowSeconds() float64 { return max(r.slowSampleTime, minSampleTime).Seconds() }
func (r *KeyRates) fastSeconds() float64 { return max(r.fastSampleTime, minSampleTime).Seconds() }

// Advance lets older counts fade by the time since the last call.
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

// decay returns the factor by which counts fade in the time d, and adds it to the
// time over which they were made.
func decay(over *time.Duration, d, window time.Duration) float32 {
	f := math.Exp(-float64(d) / float64(window))
	*over = time.Duration(float64(*over)*f + float64(window)*(1-f))
	return float32(f)
}

// Add counts requests for a key.
func (r *KeyRates) Add(key, requests int) {
	if key < 0 || key >= routing.KeyCount {
		return
	}
	r.started = true
	r.slowCounts[key] += float32(requests)
	r.fastCounts[key] += float32(requests)
}

// spanRates returns requests per second for each key of the span and their sum.
func (r *KeyRates) spanRates(s routing.Span, unseen, sigmas float64) ([]float64, float64) {
	var slow, fast float64
	for k := s.From; k <= s.To; k++ {
		slow += float64(r.slowCounts[k])
		fast += float64(r.fastCounts[k])
	}
	slowRate := slow / r.slowSeconds()
	surely := (fast - sigmas*math.Sqrt(fast)) / r.fastSeconds()
	from, scale := r.slowCounts, 1/r.slowSeconds()
	if surely > slowRate {
		from, scale = r.fastCounts, 1/r.fastSeconds()
	}
	w := make([]float64, s.Len())
	sum := 0.0
	for i := range w {
		w[i] = float64(from[s.From+i])*scale + unseen
		sum += w[i]
	}
	return w, sum
}

// noiseSigmasFor is the number of standard errors that are taken for noise with so many ranges.
func noiseSigmasFor(ranges int) float64 {
	return noiseSigmas + sigmasPerDoubling*math.Log2(max(float64(ranges)/noiseBaseRanges, 1))
}

// baseRate is the rate that each key has at least.
func (r *KeyRates) baseRate() float64 {
	return (r.totalRate()*baseRateFraction + ratePriorRequests/r.slowSeconds()) / routing.KeyCount
}
