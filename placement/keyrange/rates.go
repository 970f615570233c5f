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
	// shortestWindow averages the steady load. At 500 requests/s over 14 targets it
	// leaves a standard error of about 10% a target.
	shortestWindow = 3 * time.Second
	// longestWindow bounds the window where requests are few for each target.
	longestWindow = 12 * time.Second
	// requestsPerTarget is the number of requests that a target should get within
	// the window: 60 leave a standard error of 13%.
	requestsPerTarget = 60
	// assumedRequests are counted besides the measured ones, spread over all keys, so
	// that a handful of requests does not decide how the keys are divided.
	assumedRequests = 20
	// shortestTime is the least time to which counts are referred.
	shortestTime = 150 * time.Millisecond
	// fastWindow shows a load that appeared within half a second. It counts where
	// it exceeds the slow rate by more than its own noise.
	fastWindow = 500 * time.Millisecond
	// noiseSigmas is the number of standard errors that are taken for noise in each of up
	// to noiseRanges ranges, and sigmasPerDoubling what is added for each doubling of their
	// number: the more ranges, the more of them look busy by chance.
	noiseSigmas       = 2.0
	noiseRanges       = 64
	sigmasPerDoubling = 0.4
	// unseenShare is the share of the measured load that is spread evenly over all
	// keys, so that keys without a request still count and an idle service is
	// divided evenly.
	unseenShare = 0.05
)

// Rates estimates requests per second for each shard key of one service.
type Rates struct {
	slow, fast []float32
	// window is the time over which slow averages.
	window time.Duration
	// slowFor and fastFor are the times over which the counts were made: less than
	// the windows soon after the first request.
	slowFor, fastFor time.Duration
	begun            bool
}

// NewRates returns rates without any request.
func NewRates() *Rates {
	return &Rates{slow: make([]float32, routing.KeyCount), fast: make([]float32, routing.KeyCount), window: shortestWindow}
}

// SetTargets fits the window to the number of targets that share the load.
func (r *Rates) SetTargets(n int) {
	window := longestWindow
	if total := r.total(); total > 0 {
		window = min(time.Duration(float64(n)*requestsPerTarget/total*float64(time.Second)), longestWindow)
	}
	r.window = max(window, shortestWindow)
}

// total is the requests per second of all keys.
func (r *Rates) total() float64 {
	sum := 0.0
	for _, v := range r.slow {
		sum += float64(v)
	}
	return sum / r.slowTime()
}

// slowTime and fastTime are the seconds over which the counts were made.
func (r *Rates) slowTime() float64 { return max(r.slowFor, shortestTime).Seconds() }
func (r *Rates) fastTime() float64 { return max(r.fastFor, shortestTime).Seconds() }

// Advance lets older counts fade by the time since the last call.
func (r *Rates) Advance(d time.Duration) {
	if !r.begun {
		return
	}
	slow, fast := fade(&r.slowFor, d, r.window), fade(&r.fastFor, d, fastWindow)
	for k := range r.slow {
		r.slow[k] *= slow
		r.fast[k] *= fast
	}
}

// fade returns the factor by which counts fade in the time d, and adds it to the
// time over which they were made.
func fade(over *time.Duration, d, window time.Duration) float32 {
	f := math.Exp(-float64(d) / float64(window))
	*over = time.Duration(float64(*over)*f + float64(window)*(1-f))
	return float32(f)
}

// Add counts requests for a key.
func (r *Rates) Add(key, requests int) {
	if key < 0 || key >= routing.KeyCount {
		return
	}
	r.begun = true
	r.slow[key] += float32(requests)
	r.fast[key] += float32(requests)
}

// weights returns requests per second for each key of the span and their sum.
func (r *Rates) weights(s routing.Span, unseen, sigmas float64) ([]float64, float64) {
	var slow, fast float64
	for k := s.From; k <= s.To; k++ {
		slow += float64(r.slow[k])
		fast += float64(r.fast[k])
	}
	slowRate := slow / r.slowTime()
	surely := (fast - sigmas*math.Sqrt(fast)) / r.fastTime()
	from, scale := r.slow, 1/r.slowTime()
	if surely > slowRate {
		from, scale = r.fast, 1/r.fastTime()
	}
	w := make([]float64, s.Len())
	sum := 0.0
	for i := range w {
		w[i] = float64(from[s.From+i])*scale + unseen
		sum += w[i]
	}
	return w, sum
}

// sigmas is the number of standard errors that are taken for noise with so many ranges.
func sigmas(ranges int) float64 {
	return noiseSigmas + sigmasPerDoubling*math.Log2(max(float64(ranges)/noiseRanges, 1))
}

// unseen is the rate that each key has at least.
func (r *Rates) unseen() float64 {
	return (r.total()*unseenShare + assumedRequests/r.slowTime()) / routing.KeyCount
}
