// Package keyrange assigns contiguous ranges of shard keys to targets by measured load. It
// is deterministic and has no clock, no goroutines and no I/O.
//
// Busy keys lie close to one another and shift during the day. A range with too much load
// is therefore cut around its busiest keys, and the narrowest part that relieves its
// holder moves to the target with the lowest utilisation. Few keys change their holder,
// because only few are busy.
package keyrange

import (
	"math"
	"time"

	"github.com/boragegate/boragegate/routing"
)

const (
	// shortestWindow is the minimum averaging window of the slow rate. At 500 requests/s
	// over 14 targets it leaves a standard error of about 10% for each target.
	shortestWindow = 3 * time.Second
	// longestWindow bounds the averaging window when each target gets few requests.
	longestWindow = 12 * time.Second
	// requestsPerTarget is the number of requests that each target should get within the
	// window. 60 requests leave a standard error of 13%.
	requestsPerTarget = 60
	// assumedRequests is a prior: this many requests, spread evenly over all keys, are
	// added to the counted ones, so that a handful of requests does not decide how the
	// keys are divided.
	assumedRequests = 20
	// shortestTime is the minimum duration by which counts are divided to get a rate.
	shortestTime = 150 * time.Millisecond
	// fastWindow is the averaging window of the fast rate, which shows load that appeared
	// within half a second. The fast rate is used where it exceeds the slow rate by more
	// than its own noise.
	fastWindow = 500 * time.Millisecond
	// noiseSigmas is the number of standard errors that count as noise with up to
	// noiseRanges ranges, and sigmasPerDoubling is added for each doubling of that number:
	// the more ranges there are, the more of them look busy by chance.
	noiseSigmas       = 2.0
	noiseRanges       = 64
	sigmasPerDoubling = 0.4
	// unseenShare is the fraction of the measured load that is spread evenly over all keys
	// in addition, so that keys without requests have a load too and an idle service is
	// divided evenly.
	unseenShare = 0.05
)

// Rates estimates the requests per second of each shard key of one service from decaying
// counts. It is not safe for concurrent use.
type Rates struct {
	slow, fast []float32
	// window is the averaging window of the slow counts.
	window time.Duration
	// slowFor and fastFor are the durations that the counts cover. They are shorter than
	// the windows soon after the first request.
	slowFor, fastFor time.Duration
	begun            bool
}

// NewRates returns rates without any request.
func NewRates() *Rates {
	return &Rates{slow: make([]float32, routing.Keys), fast: make([]float32, routing.Keys), window: shortestWindow}
}

// SetTargets adapts the averaging window to the number of targets that share the load.
func (r *Rates) SetTargets(n int) {
	window := longestWindow
	if total := r.total(); total > 0 {
		window = min(time.Duration(float64(n)*requestsPerTarget/total*float64(time.Second)), longestWindow)
	}
	r.window = max(window, shortestWindow)
}

// total returns the requests per second of all keys.
func (r *Rates) total() float64 {
	sum := 0.0
	for _, v := range r.slow {
		sum += float64(v)
	}
	return sum / r.slowTime()
}

// slowTime and fastTime return the durations that the counts cover, in seconds.
func (r *Rates) slowTime() float64 { return max(r.slowFor, shortestTime).Seconds() }
func (r *Rates) fastTime() float64 { return max(r.fastFor, shortestTime).Seconds() }

// Advance decays the counts by the time d since the last call.
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

// fade returns the factor by which counts decay in the time d, and updates the duration
// that they cover.
func fade(over *time.Duration, d, window time.Duration) float32 {
	f := math.Exp(-float64(d) / float64(window))
	*over = time.Duration(float64(*over)*f + float64(window)*(1-f))
	return float32(f)
}

// Add counts requests for a key. Keys out of range are ignored.
func (r *Rates) Add(key, requests int) {
	if key < 0 || key >= routing.Keys {
		return
	}
	r.begun = true
	r.slow[key] += float32(requests)
	r.fast[key] += float32(requests)
}

// weights returns the requests per second of each key of the span and their sum. Each key
// has at least the rate unseen; sigmas standard errors of the fast rate count as noise.
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

// sigmas returns the number of standard errors that count as noise with the given number
// of ranges.
func sigmas(ranges int) float64 {
	return noiseSigmas + sigmasPerDoubling*math.Log2(max(float64(ranges)/noiseRanges, 1))
}

// unseen returns the minimum rate of each key, in requests per second.
func (r *Rates) unseen() float64 {
	return (r.total()*unseenShare + assumedRequests/r.slowTime()) / routing.Keys
}
