package placement

import (
	"math"
	"time"
)

const (
	// minSampleInterval bounds how often a target's reports are sampled, so that a
	// burst of reports does not count as several confirmations.
	minSampleInterval = 5 * time.Second
	// reportStaleAfter is the age from which on a target's load causes no moves: three report intervals.
	reportStaleAfter = 30 * time.Second
	// dispersionWeight is the weight of one round of reports in the estimate of the noise.
	dispersionWeight = 0.1
	// idleFraction is the part of all slots in use below which the load says nothing about balance.
	idleFraction = 0.05
	// baseCostFraction is the cost of a partition without load, as a part of the mean
	// load. It spreads idle partitions and is small against the bound of 5%.
	baseCostFraction = 0.005
	// maxReportCount bounds the count of reports of a partition; smoothing takes over well before.
	maxReportCount = 1 << 15
	// noReport marks a partition without any report.
	noReport = -1.0
)

// loadEstimator estimates the load of each partition from reports that may be noisy,
// stale or misleading. A report counts as new when any partition of its target
// changes. A report far outside the noise counts only if the next one confirms it.
type loadEstimator struct {
	smoothed []float64
	// lastReported is the last sampled report, by which a repeated one is recognised.
	lastReported []float64
	// outlierLoad is the load in the last report if that was outside the noise, lastOutlierDirection its direction.
	outlierLoad          []float64
	lastOutlierDirection []int8
	// epoch tells when a partition has moved; its first report afterwards covers
	// the pause of the hand-over and is not used.
	epoch          []uint64
	skipNextReport []bool
	// lastAssignment is the assignment whose epochs have been noted.
	lastAssignment *Assignment
	// outlierSigmas is Settings.Outlier.
	outlierSigmas float64
	// dispersion is the variance of a report relative to its mean.
	dispersion float64
	// reportCount is the number of reports in the smoothed load.
	reportCount []uint16
	// steadyWeight is the weight of a report in a load that has been smoothed for long.
	steadyWeight float64
	// reportRounds is the number of rounds of reports, known says that the load has
	// been above idleFraction; until then partitions count by their keys.
	reportRounds int
	known        bool
}

func newLoadEstimator(n int, outlier float64) *loadEstimator {
	l := &loadEstimator{
		outlierSigmas: outlier,
		smoothed:      make([]float64, n), lastReported: make([]float64, n), outlierLoad: make([]float64, n),
		lastOutlierDirection: make([]int8, n), epoch: make([]uint64, n), skipNextReport: make([]bool, n), reportCount: make([]uint16, n),
	}
	for i := range l.smoothed {
		l.smoothed[i], l.lastReported[i] = noReport, noReport
	}
	return l
}

// targetSample is what one round of reports says about one target.
type targetSample struct {
	// hasReport says that the target has a new report.
	hasReport bool
	// alpha is the weight of the report in the smoothed load.
	alpha float64
	// smoothedSum, raw and drift are the sums over the target's partitions of the
	// smoothed load, the reported load, and their difference without outliers.
	smoothedSum, reportedSum, driftSum float64
	// deviation is the direction of a deviation of the whole target, confirmed whether it is the second one.
	deviation int8
	confirmed bool
}

// observe takes in the reports of one input. The board has the owners of the
// assignment, without started moves.
//
// It returns true if that changes the estimate.
func (l *loadEstimator) observe(in Input, b *planState, tau time.Duration) bool {
	if len(in.Load) != len(l.smoothed) {
		return false
	}
	samples := l.sampleTargets(in, b)
	if samples == nil {
		return false
	}
	l.sumTargets(in.Load, b, samples)
	for i := range samples {
		if s := &samples[i]; s.hasReport {
			if s.reportedSum == 0 {
				s.hasReport = false // A target without any load has not reported, or there is nothing to balance.
				continue
			}
			l.classify(in.Now, b.targets[i].history, s, tau)
		}
	}
	l.updateDispersion(in.Load, b, samples)
	l.updateEstimates(in.Load, b, samples)
	l.known = l.known || l.isBusy(b)
	return true
}

// isBusy says that the service uses enough of its slots for its load to be balanced.
func (l *loadEstimator) isBusy(b *planState) bool {
	load, slots := 0.0, 0
	for _, s := range l.smoothed {
		load += max(0, s)
	}
	for i := range b.targets {
		slots += b.targets[i].Slots
	}
	return load > idleFraction*float64(slots)
}

// sampleTargets finds the targets with a new report; nil if there are none.
func (l *loadEstimator) sampleTargets(in Input, b *planState) []targetSample {
	l.detectMoves(in.Assignment)
	var samples []targetSample
	for p, x := range in.Load {
		o := b.owner[p]
		if x == l.lastReported[p] || o == noTarget || !validLoad(x) {
			continue
		}
		if samples == nil {
			samples = make([]targetSample, len(b.targets))
		}
		samples[o].hasReport = true
	}
	any := false
	for i := range samples {
		h := b.targets[i].history
		if h.reportCount > 0 && in.Now-h.lastReportAt < minSampleInterval {
			samples[i].hasReport = false
		}
		any = any || samples[i].hasReport
	}
	if !any {
		return nil
	}
	return samples
}

// detectMoves finds the partitions that have moved.
func (l *loadEstimator) detectMoves(a *Assignment) {
	if a == l.lastAssignment {
		return
	}
	l.lastAssignment = a
	for p, e := range a.Epoch {
		if e != l.epoch[p] {
			l.epoch[p], l.skipNextReport[p] = e, l.smoothed[p] != noReport
		}
	}
}

// validLoad refuses values that no load can have.
func validLoad(x float64) bool { return x >= 0 && !math.IsInf(x, 0) && !math.IsNaN(x) }

func (l *loadEstimator) sumTargets(load []float64, b *planState, samples []targetSample) {
	for p, o := range b.owner {
		if o == noTarget || !samples[o].hasReport || !validLoad(load[p]) {
			continue
		}
		s := &samples[o]
		s.reportedSum += load[p]
		if l.smoothed[p] == noReport || l.skipNextReport[p] {
			continue
		}
		s.smoothedSum += l.smoothed[p]
		if l.outlierDirection(p, load[p]) == 0 {
			s.driftSum += load[p] - l.smoothed[p]
		}
	}
}

// outlierDirection returns the direction in which a load is outside the noise, or 0.
func (l *loadEstimator) outlierDirection(p int, x float64) int8 {
	return l.deviationDirection(x-l.smoothed[p], max(l.smoothed[p], x/l.outlierSigmas))
}

func (l *loadEstimator) deviationDirection(d, mean float64) int8 {
	switch {
	case l.dispersion == 0 || d*d <= l.outlierSigmas*l.outlierSigmas*l.dispersion*mean:
		return 0
	case d > 0:
		return 1
	}
	return -1
}

// classify decides how the target's report is used and notes it in the history.
func (l *loadEstimator) classify(now time.Duration, h *targetHistory, s *targetSample, tau time.Duration) {
	dt := min(now-h.lastReportAt, time.Minute)
	h.reportCount++
	h.lastReportAt = now
	h.unconfirmed = false
	s.alpha = 1 - math.Exp(-float64(dt)/float64(tau))
	l.steadyWeight = s.alpha
	l.reportRounds = max(l.reportRounds, h.reportCount)
	s.deviation = l.deviationDirection(s.driftSum, s.smoothedSum)
	s.confirmed = s.deviation != 0 && s.deviation == h.unconfirmedDeviation
	h.unconfirmedDeviation = s.deviation
	if s.confirmed {
		h.unconfirmedDeviation = 0
	}
}

// updateDispersion updates the dispersion from the differences between reports and estimates.
func (l *loadEstimator) updateDispersion(load []float64, b *planState, samples []targetSample) {
	squares, sum, all := 0.0, 0.0, 0.0
	for p, o := range b.owner {
		if l.smoothed[p] == noReport {
			continue
		}
		all += l.smoothed[p]
		if o == noTarget || !samples[o].hasReport || l.skipNextReport[p] || samples[o].deviation != 0 || !validLoad(load[p]) || load[p] == l.lastReported[p] {
			continue
		}
		if l.outlierDirection(p, load[p]) == 0 {
			d := load[p] - l.smoothed[p]
			squares += d * d
			sum += l.smoothed[p]
		}
	}
	if sum <= 0 {
		return
	}
	if l.dispersion == 0 {
		l.dispersion = squares / sum
		return
	}
	l.dispersion += dispersionWeight * sum / all * (squares/sum - l.dispersion)
}

// updateEstimates moves the smoothed loads.
func (l *loadEstimator) updateEstimates(load []float64, b *planState, samples []targetSample) {
	for p, o := range b.owner {
		if o == noTarget || !samples[o].hasReport || !validLoad(load[p]) {
			continue
		}
		x, s := load[p], &samples[o]
		l.lastReported[p] = x
		switch {
		case l.smoothed[p] == noReport:
			l.smoothed[p], l.reportCount[p] = x, 1
		case l.skipNextReport[p]:
			l.skipNextReport[p] = false
		case s.confirmed:
			l.smoothed[p], l.lastOutlierDirection[p], l.reportCount[p] = (l.outlierLoad[p]+x)/2, 0, 2
		case s.deviation != 0:
			l.outlierLoad[p], l.lastOutlierDirection[p] = x, l.outlierDirection(p, x)
			b.targets[o].history.unconfirmed = true
		case l.smoothPartition(p, x, s.alpha):
			b.targets[o].history.unconfirmed = true
		}
	}
}

// smoothPartition smooths one load, or jumps to it when it is outside the noise for the
// second time. It returns true if the load is outside the noise for the first time.
func (l *loadEstimator) smoothPartition(p int, x, alpha float64) bool {
	out := l.outlierDirection(p, x)
	switch out {
	case 0:
		l.reportCount[p] = min(l.reportCount[p]+1, maxReportCount)
		l.smoothed[p] += max(alpha, 1/float64(l.reportCount[p])) * (x - l.smoothed[p])
	case l.lastOutlierDirection[p]:
		l.smoothed[p], l.reportCount[p], out = (l.outlierLoad[p]+x)/2, 2, 0
	default:
		l.outlierLoad[p] = x
	}
	l.lastOutlierDirection[p] = out
	return out != 0
}

// writeCosts writes the cost of each partition: its smoothed load and a small part for its keys.
func (l *loadEstimator) writeCosts(into, keys []float64) {
	sum, n := 0.0, 0
	for _, s := range l.smoothed {
		if s != noReport {
			sum += s
			n++
		}
	}
	mean := sum / float64(max(1, n))
	if mean <= 0 {
		mean = 1
	}
	for p, s := range l.smoothed {
		if s == noReport {
			s = mean * keys[p]
		}
		into[p] = s + baseCostFraction*mean*keys[p]
	}
}

// standardErrors returns the standard deviation of each node's smoothed load.
func (l *loadEstimator) standardErrors(b *planState) []float64 {
	v := make([]float64, len(b.targets))
	smoothed := l.steadyWeight / (2 - l.steadyWeight)
	enough := uint16(min(maxReportCount, 1/smoothed))
	for p, o := range b.owner {
		if o == noTarget {
			continue
		}
		if c := l.reportCount[p]; c >= enough {
			v[o] += l.smoothed[p] * smoothed
		} else if c > 0 {
			v[o] += l.smoothed[p] / float64(c)
		}
	}
	for i := range v {
		v[i] = math.Sqrt(l.dispersion * max(0, v[i]))
	}
	return v
}
