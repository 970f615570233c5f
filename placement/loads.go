package placement

import (
	"math"
	"time"
)

const (
	// minSampleInterval is the minimum time between two samples of the reports of a target,
	// so that a burst of reports does not count as several confirmations.
	minReportGap = 5 * time.Second
	// reportStaleAfter is the age from which on the reported load of a target causes no
	// moves. It is three report intervals.
	reportStale = 30 * time.Second
	// dispersionWeight is the weight of one round of reports in the estimate of the noise.
	dispersionRate = 0.1
	// idleFraction is the fraction of all slots in use below which the load is too low to
	// balance by.
	idlePart = 0.05
	// baseCostFraction is the cost of a partition without load as a fraction of the mean
	// load. It spreads idle partitions and is small against the allowed imbalance of 5%.
	baseCost = 0.005
	// maxReportCount limits the report count of a partition. The exponential smoothing
	// determines the weight of a report well before.
	maxCount = 1 << 15
	// noReport is the smoothed and last reported load of a partition without any report.
	unseen = -1.0
)

// loadEstimator estimates the load of each partition from reports that may be noisy,
// outdated or wrong. A report is new if the load of any partition of its target has
// changed. A load far outside the noise takes effect only if the next report confirms it.
type loads struct {
	smooth []float64
	// lastReported is the load in the last sampled report. It serves to recognise a
	// repeated report.
	raw []float64
	// outlierLoad is the load in the last report if that was outside the noise,
	// lastOutlierDirection its direction.
	odd    []float64
	oddRun []int8
	// epoch is the last known epoch of each partition, by which moves are detected. The
	// first report after a move covers the interruption by the handover and is skipped.
	epoch  []uint64
	settle []bool
	// lastAssignment is the assignment from which the epochs were taken.
	seen *Assignment
	// outlierSigmas is Settings.Outlier.
	outlier float64
	// dispersion is the variance of a reported load divided by its mean.
	dispersion float64
	// reportCount is the number of reports that the smoothed load of each partition is
	// based on.
	count []uint16
	// steadyWeight is the weight of the last report in a smoothed load that is based on
	// many reports.
	steady float64
	// reportRounds is the number of rounds of reports. known reports whether the load has
	// ever been above idleFraction; until then the cost of a partition is its number of
	// keys.
	rounds int
	known  bool
}

func newLoads(n int, outlier float64) *loads {
	l := &loads{
		outlier: outlier,
		smooth:  make([]float64, n), raw: make([]float64, n), odd: make([]float64, n),
		oddRun: make([]int8, n), epoch: make([]uint64, n), settle: make([]bool, n), count: make([]uint16, n),
	}
	for i := range l.smooth {
		l.smooth[i], l.raw[i] = unseen, unseen
	}
	return l
}

// targetSample summarises the reports on one target in one round.
type sample struct {
	// hasReport reports whether there is a new report on the target.
	fresh bool
	// alpha is the weight of the report in the smoothed load.
	alpha float64
	// smoothedSum, reportedSum and driftSum are sums over the partitions of the target: of
	// the smoothed loads, of the reported loads, and of their differences without outliers.
	smooth, raw, drift float64
	// deviation is the direction in which the load of the whole target is outside the
	// noise, or 0. confirmed reports whether the previous report had the same direction.
	shift     int8
	confirmed bool
}

// observe updates the estimate from the reported loads of an input and returns whether it
// changed. The state holds the owners in the assignment, without the moves that have
// started.
func (l *loads) observe(in Input, b *board, tau time.Duration) bool {
	if len(in.Load) != len(l.smooth) {
		return false
	}
	samples := l.freshTargets(in, b)
	if samples == nil {
		return false
	}
	l.sumTargets(in.Load, b, samples)
	for i := range samples {
		if s := &samples[i]; s.fresh {
			if s.raw == 0 {
				s.fresh = false // Without load, the target has not reported or has nothing to balance.
				continue
			}
			l.classify(in.Now, b.nodes[i].hist, s, tau)
		}
	}
	l.learnNoise(in.Load, b, samples)
	l.update(in.Load, b, samples)
	l.known = l.known || l.busy(b)
	return true
}

// isBusy reports whether the service uses enough of its slots for its load to be balanced.
func (l *loads) busy(b *board) bool {
	load, slots := 0.0, 0
	for _, s := range l.smooth {
		load += max(0, s)
	}
	for i := range b.nodes {
		slots += b.nodes[i].Slots
	}
	return load > idlePart*float64(slots)
}

// sampleTargets returns a sample for each target, with those marked that have a new report.
// It returns nil if there are none.
func (l *loads) freshTargets(in Input, b *board) []sample {
	l.noteEpochs(in.Assignment)
	var samples []sample
	for p, x := range in.Load {
		o := b.owner[p]
		if x == l.raw[p] || o == nobody || !valid(x) {
			continue
		}
		if samples == nil {
			samples = make([]sample, len(b.nodes))
		}
		samples[o].fresh = true
	}
	any := false
	for i := range samples {
		h := b.nodes[i].hist
		if h.reports > 0 && in.Now-h.reportAt < minReportGap {
			samples[i].fresh = false
		}
		any = any || samples[i].fresh
	}
	if !any {
		return nil
	}
	return samples
}

// detectMoves marks the partitions whose owner has changed since the last assignment.
func (l *loads) noteEpochs(a *Assignment) {
	if a == l.seen {
		return
	}
	l.seen = a
	for p, e := range a.Epoch {
		if e != l.epoch[p] {
			l.epoch[p], l.settle[p] = e, l.smooth[p] != unseen
		}
	}
}

// validLoad reports whether x is a possible load: finite and not negative.
func valid(x float64) bool { return x >= 0 && !math.IsInf(x, 0) && !math.IsNaN(x) }

// sumTargets computes the sums of the samples of targets with a new report.
func (l *loads) sumTargets(load []float64, b *board, samples []sample) {
	for p, o := range b.owner {
		if o == nobody || !samples[o].fresh || !valid(load[p]) {
			continue
		}
		s := &samples[o]
		s.raw += load[p]
		if l.smooth[p] == unseen || l.settle[p] {
			continue
		}
		s.smooth += l.smooth[p]
		if l.outlies(p, load[p]) == 0 {
			s.drift += load[p] - l.smooth[p]
		}
	}
}

// outlierDirection returns the direction in which the load x of partition p is outside the
// noise, or 0.
func (l *loads) outlies(p int, x float64) int8 {
	return l.direction(x-l.smooth[p], max(l.smooth[p], x/l.outlier))
}

// deviationDirection returns the sign of a deviation that exceeds outlierSigmas standard
// deviations of a report with the given mean, otherwise 0.
func (l *loads) direction(d, mean float64) int8 {
	switch {
	case l.dispersion == 0 || d*d <= l.outlier*l.outlier*l.dispersion*mean:
		return 0
	case d > 0:
		return 1
	}
	return -1
}

// classify determines the weight of the report on a target and whether its deviation is
// confirmed. It records the report in the history.
func (l *loads) classify(now time.Duration, h *history, s *sample, tau time.Duration) {
	dt := min(now-h.reportAt, time.Minute)
	h.reports++
	h.reportAt = now
	h.doubted = false
	s.alpha = 1 - math.Exp(-float64(dt)/float64(tau))
	l.steady = s.alpha
	l.rounds = max(l.rounds, h.reports)
	s.shift = l.direction(s.drift, s.smooth)
	s.confirmed = s.shift != 0 && s.shift == h.shift
	h.shift = s.shift
	if s.confirmed {
		h.shift = 0
	}
}

// updateDispersion updates the dispersion from the differences between reported and
// smoothed loads.
func (l *loads) learnNoise(load []float64, b *board, samples []sample) {
	squares, sum, all := 0.0, 0.0, 0.0
	for p, o := range b.owner {
		if l.smooth[p] == unseen {
			continue
		}
		all += l.smooth[p]
		if o == nobody || !samples[o].fresh || l.settle[p] || samples[o].shift != 0 || !valid(load[p]) || load[p] == l.raw[p] {
			continue
		}
		if l.outlies(p, load[p]) == 0 {
			d := load[p] - l.smooth[p]
			squares += d * d
			sum += l.smooth[p]
		}
	}
	if sum <= 0 {
		return
	}
	if l.dispersion == 0 {
		l.dispersion = squares / sum
		return
	}
	l.dispersion += dispersionRate * sum / all * (squares/sum - l.dispersion)
}

// updateEstimates updates the smoothed loads of targets with a new report.
func (l *loads) update(load []float64, b *board, samples []sample) {
	for p, o := range b.owner {
		if o == nobody || !samples[o].fresh || !valid(load[p]) {
			continue
		}
		x, s := load[p], &samples[o]
		l.raw[p] = x
		switch {
		case l.smooth[p] == unseen:
			l.smooth[p], l.count[p] = x, 1
		case l.settle[p]:
			l.settle[p] = false
		case s.confirmed:
			l.smooth[p], l.oddRun[p], l.count[p] = (l.odd[p]+x)/2, 0, 2
		case s.shift != 0:
			l.odd[p], l.oddRun[p] = x, l.outlies(p, x)
			b.nodes[o].hist.doubted = true
		case l.follow(p, x, s.alpha):
			b.nodes[o].hist.doubted = true
		}
	}
}

// smoothPartition adds a reported load to the smoothed load of a partition. A load outside
// the noise replaces it only if it is the second one in a row in that direction.
// smoothPartition returns true if it is the first.
func (l *loads) follow(p int, x, alpha float64) bool {
	out := l.outlies(p, x)
	switch out {
	case 0:
		l.count[p] = min(l.count[p]+1, maxCount)
		l.smooth[p] += max(alpha, 1/float64(l.count[p])) * (x - l.smooth[p])
	case l.oddRun[p]:
		l.smooth[p], l.count[p], out = (l.odd[p]+x)/2, 2, 0
	default:
		l.odd[p] = x
	}
	l.oddRun[p] = out
	return out != 0
}

// writeCosts writes the cost of each partition: its smoothed load plus a small part for its
// keys. A partition without a report is taken to have the mean load for its number of keys.
func (l *loads) costs(into, keys []float64) {
	sum, n := 0.0, 0
	for _, s := range l.smooth {
		if s != unseen {
			sum += s
			n++
		}
	}
	mean := sum / float64(max(1, n))
	if mean <= 0 {
		mean = 1
	}
	for p, s := range l.smooth {
		if s == unseen {
			s = mean * keys[p]
		}
		into[p] = s + baseCost*mean*keys[p]
	}
}

// standardErrors returns the standard deviation of the smoothed load of each target.
func (l *loads) noise(b *board) []float64 {
	v := make([]float64, len(b.nodes))
	smoothed := l.steady / (2 - l.steady)
	enough := uint16(min(maxCount, 1/smoothed))
	for p, o := range b.owner {
		if o == nobody {
			continue
		}
		if c := l.count[p]; c >= enough {
			v[o] += l.smooth[p] * smoothed
		} else if c > 0 {
			v[o] += l.smooth[p] / float64(c)
		}
	}
	for i := range v {
		v[i] = math.Sqrt(l.dispersion * max(0, v[i]))
	}
	return v
}
