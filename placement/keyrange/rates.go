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
	// slowWindow averages the steady load. At 500 requests/s over 14 targets it
	// leaves a standard error of about 10% a target.
	slowWindow = 3 * time.Second
	// fastWindow shows a load that appeared within half a second. It counts where
	// it exceeds the slow rate by more than its own noise.
	fastWindow = 500 * time.Millisecond
	// noiseSigmas is the number of standard errors that are taken for noise.
	noiseSigmas = 2.0
	// unseenShare is the share of the measured load that is spread evenly over all
	// keys, so that keys without a request still count and an idle service is
	// divided evenly.
	unseenShare = 0.05
)

// Rates estimates requests per second for each shard key of one service.
type Rates struct {
	slow, fast []float32
}

// NewRates returns rates without any request.
func NewRates() *Rates {
	return &Rates{slow: make([]float32, routing.Keys), fast: make([]float32, routing.Keys)}
}

// Advance lets older counts fade by the time since the last call.
func (r *Rates) Advance(d time.Duration) {
	slow := float32(math.Exp(-float64(d) / float64(slowWindow)))
	fast := float32(math.Exp(-float64(d) / float64(fastWindow)))
	for k := range r.slow {
		r.slow[k] *= slow
		r.fast[k] *= fast
	}
}

// Add counts requests for a key.
func (r *Rates) Add(key, requests int) {
	if key < 0 || key >= routing.Keys {
		return
	}
	r.slow[key] += float32(requests)
	r.fast[key] += float32(requests)
}

// weights returns requests per second for each key of the span and their sum.
func (r *Rates) weights(s routing.Span, unseen float64) ([]float64, float64) {
	var slow, fast float64
	for k := s.From; k <= s.To; k++ {
		slow += float64(r.slow[k])
		fast += float64(r.fast[k])
	}
	slowRate := slow / slowWindow.Seconds()
	surely := (fast - noiseSigmas*math.Sqrt(fast)) / fastWindow.Seconds()
	from, scale := r.slow, 1/slowWindow.Seconds()
	if surely > slowRate {
		from, scale = r.fast, 1/fastWindow.Seconds()
	}
	w := make([]float64, s.Len())
	sum := 0.0
	for i := range w {
		w[i] = float64(from[s.From+i])*scale + unseen
		sum += w[i]
	}
	return w, sum
}

// unseen is the rate that each key has at least.
func (r *Rates) unseen() float64 {
	total := 0.0
	for _, v := range r.slow {
		total += float64(v)
	}
	return (total/slowWindow.Seconds()*unseenShare + 1) / routing.Keys
}
