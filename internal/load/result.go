package load

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the latency histograms in microseconds, and the number of significant
// decimal digits that they keep.
const (
	lowestMicros      = 1
	highestMicros     = 10 * 60 * 1_000_000
	significantDigits = 3
)

// Result is the summary of a run. Rates are per second, latencies in microseconds.
type Result struct {
	Seconds float64 `json:"seconds"`
	// Scheduled counts arrivals; Skipped counts those that were not sent because
	// MaxOutstanding requests were in flight.
	Scheduled int64 `json:"scheduled"`
	Skipped   int64 `json:"skipped"`
	// Good counts complete and correct responses with a status below 400.
	Good          int64   `json:"good"`
	GoodPerSecond float64 `json:"good_per_second"`
	// Outcomes counts error responses by outcome, or "none" if the header is missing.
	Outcomes map[string]int64 `json:"outcomes"`
	// Statuses counts complete responses by HTTP status.
	Statuses map[string]int64 `json:"statuses"`
	// Broken counts requests without a complete response.
	Broken int64 `json:"broken"`
	// Mismatched counts complete responses with a status below 400 whose body is not JSON
	// with the path and key of the request. It must be 0.
	Mismatched int64 `json:"mismatched"`
	// Targets counts good responses by target.
	Targets map[string]int64 `json:"targets"`
	// Latency is the latency of good responses, ErrorLatency that of error responses,
	// from the scheduled time, in microseconds.
	Latency      Quantiles `json:"latency_us"`
	ErrorLatency Quantiles `json:"refusal_us"`
}

// Quantiles summarises a latency histogram, in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	P999  int64 `json:"p999"`
	Max   int64 `json:"max"`
}

func quantiles(h *hdr.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90),
		P99: h.ValueAtQuantile(99), P999: h.ValueAtQuantile(99.9), Max: h.Max(),
	}
}

// recorder collects results from all workers.
type recorder struct {
	mu           sync.Mutex
	result       Result
	goodLatency  *hdr.Histogram
	errorLatency *hdr.Histogram
}

func newRecorder() *recorder {
	return &recorder{
		result:       Result{Outcomes: map[string]int64{}, Statuses: map[string]int64{}, Targets: map[string]int64{}},
		goodLatency:  hdr.New(lowestMicros, highestMicros, significantDigits),
		errorLatency: hdr.New(lowestMicros, highestMicros, significantDigits),
	}
}

// response is the checked response to one request.
type response struct {
	status  int // 0 if no complete response was received
	outcome string
	target  string
	matches bool
}

func (r *recorder) recordResponse(resp response, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &r.result
	if resp.status == 0 {
		res.Broken++
		return
	}
	res.Statuses[strconv.Itoa(resp.status)]++
	switch {
	case resp.status >= 400:
		res.Outcomes[resp.outcome]++
		_ = r.errorLatency.RecordValue(latency.Microseconds()) // fails only beyond 10 minutes, the end of the range
	case !resp.matches:
		res.Mismatched++
	default:
		res.Good++
		res.Targets[resp.target]++
		_ = r.goodLatency.RecordValue(latency.Microseconds())
	}
}

func (r *recorder) recordArrival(sent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Scheduled++
	if !sent {
		r.result.Skipped++
	}
}

// snapshot returns the result after the elapsed time.
func (r *recorder) snapshot(elapsed time.Duration) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := r.result
	res.Seconds = elapsed.Seconds()
	res.GoodPerSecond = float64(res.Good) / res.Seconds
	res.Latency, res.ErrorLatency = quantiles(r.goodLatency), quantiles(r.errorLatency)
	return res
}

// progressLine formats the progress of a run; open is the number of requests in flight.
func (r *recorder) progressLine(elapsed time.Duration, open int) string {
	s := r.snapshot(elapsed)
	errorResponses := int64(0)
	for _, n := range s.Outcomes {
		errorResponses += n
	}
	return fmt.Sprintf("%4.0fs  good %d (%.0f/s)  refused %d  broken %d  mismatched %d  open %d  p50 %s  p99 %s",
		s.Seconds, s.Good, s.GoodPerSecond, errorResponses, s.Broken, s.Mismatched, open,
		time.Duration(s.Latency.P50)*time.Microsecond, time.Duration(s.Latency.P99)*time.Microsecond)
}
