package placement

import (
	"math"
	"time"
)

const (
	// minSampleInterval is the minimum time between two samples of the reports of a target,
	// so that a burst of reports does not count as several confirmations.
	minSampleInterval = 5 * time.Second
	// reportStaleAfter is the age of the last report on a target beyond which its load causes
	// no moves. It is three report intervals.
	reportStaleAfter = 30 * time.Second
	// dispersionWeight is the weight of one round of reports in the estimate of the noise.
	dispersionWeight = 0.1
	// idleFraction is the fraction of all slots in use below which the load is too low to
	// balance by.
	idleFraction = 0.05
	// baseCostFraction is the cost of a partition without load as a fraction of the mean
	// load. It makes idle partitions spread over the targets, and it is small compared with
	// the allowed imbalance of 5%.
	baseCostFraction = 0.005
	// maxReportCount limits the report count of a partition. The count affects the weight of
	// a report only while it is much lower; after that, the exponential smoothing does.
	maxReportCount = 1 << 15
	// noReport is the smoothed and last reported load of a partition without any report.
	noReport = -1.0
)

// loadEstimator estimates the load of each partition from reports that may be noisy,
// outdated or wrong. A report is new if the load of any partition of its target has
// changed. A load far outside the noise takes effect only if the next report confirms it.
type loadEstimator struct {
	smoothed []float64
	// lastReported is the load in the last sampled report, by which a repeated report is
	// recognised.
	lastReported []float64
	// outlierLoad is the load in the last report if that was outside the noise,
	// lastOutlierDirection its direction.
	outlierLoad          []float64
	lastOutlierDirection []int8
	// epoch is the last known epoch of each partition, by which moves are detected. The
	// first report after a move covers the interruption by the handover and is skipped.
	epoch          []uint64
	skipNextReport []bool
	// lastAssignment is the assignment from which the epochs were taken.
	lastAssignment *Assignment
	// outlierSigmas is Settings.Outlier.
	outlierSigmas float64
	// dispersion is the variance of a reported load divided by its mean.
	dispersion float64
	// reportCount is the number of reports that the smoothed load of each partition is
	// based on.
	reportCount []uint16
	// steadyWeight is the weight of the last report in a smoothed load that is based on
	// many reports.
	steadyWeight float64
	// reportRounds is the number of rounds of reports. known reports whether the load has
	// ever been above idleFraction of the slots; until then the cost of a partition is its
	// number of keys.
	reportRounds int
	known        bool
}

func newLoadEstimator(n int, outlierSigmas float64) *loadEstimator {
	l := &loadEstimator{
		outlierSigmas: outlierSigmas,
		smoothed:      make([]float64, n), lastReported: make([]float64, n), outlierLoad: make([]float64, n),
		lastOutlierDirection: make([]int8, n), epoch: make([]uint64, n), skipNextReport: make([]bool, n), reportCount: make([]uint16, n),
	}
	for i := range l.smoothed {
		l.smoothed[i], l.lastReported[i] = noReport, noReport
	}
	return l
}

// targetSample summarises the reports on one target in one round.
type targetSample struct {
	// hasReport reports whether there is a new report on the target.
	hasReport bool
	// alpha is the weight of the report in the smoothed load.
	alpha float64
	// smoothedSum, reportedSum and driftSum are sums over the partitions of the target: of
	// the smoothed loads, of the reported loads, and of their differences without outliers.
	smoothedSum, reportedSum, driftSum float64
	// deviation is the direction in which the load of the whole target is outside the
	// noise, or 0. confirmed reports whether the previous report had the same direction.
	deviation int8
	confirmed bool
}

// observe updates the estimate from the reported loads of an input and returns whether it
// changed. The state holds the owners in the assignment, without the moves that have
// started. smoothingTime is the time constant of the smoothing.
func (l *loadEstimator) observe(in Input, state *planState, smoothingTime time.Duration) bool {
	if len(in.Load) != len(l.smoothed) {
		return false
	}
	samples := l.sampleTargets(in, state)
	if samples == nil {
		return false
	}
	l.sumTargets(in.Load, state, samples)
	for i := range samples {
		if s := &samples[i]; s.hasReport {
			if s.reportedSum == 0 {
				s.hasReport = false // the target has not reported, or has no load to balance
				continue
			}
			l.classify(in.Now, state.targets[i].history, s, smoothingTime)
		}
	}
	l.updateDispersion(in.Load, state, samples)
	l.updateEstimates(in.Load, state, samples)
	l.known = l.known || l.isBusy(state)
	return true
}

// isBusy reports whether the service uses enough of its slots for its load to be balanced.
func (l *loadEstimator) isBusy(state *planState) bool {
	load, slots := 0.0, 0
	for _, s := range l.smoothed {
		load += max(0, s)
	}
	for i := range state.targets {
		slots += state.targets[i].Slots
	}
	return load > idleFraction*float64(slots)
}

// sampleTargets returns a sample for each target and marks those with a new report. It
// returns nil if no target has one.
func (l *loadEstimator) sampleTargets(in Input, state *planState) []targetSample {
	l.detectMoves(in.Assignment)
	var samples []targetSample
	for p, x := range in.Load {
		o := state.owner[p]
		if x == l.lastReported[p] || o == noTarget || !validLoad(x) {
			continue
		}
		if samples == nil {
			samples = make([]targetSample, len(state.targets))
		}
		samples[o].hasReport = true
	}
	any := false
	for i := range samples {
		h := state.targets[i].history
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

// detectMoves marks the partitions whose epoch has changed since the last assignment.
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

// validLoad reports whether x is a possible load: finite and not negative.
func validLoad(x float64) bool { return x >= 0 && !math.IsInf(x, 0) && !math.IsNaN(x) }

// sumTargets computes the sums of the samples of targets with a new report.
func (l *loadEstimator) sumTargets(load []float64, state *planState, samples []targetSample) {
	for p, o := range state.owner {
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

// outlierDirection returns the direction in which the load x of partition p is outside the
// noise, or 0.
func (l *loadEstimator) outlierDirection(p int, x float64) int8 {
	return l.deviationDirection(x-l.smoothed[p], max(l.smoothed[p], x/l.outlierSigmas))
}

// deviationDirection returns the sign of a deviation that exceeds outlierSigmas standard
// deviations of a report with the given mean, otherwise 0.
func (l *loadEstimator) deviationDirection(d, mean float64) int8 {
	switch {
	case l.dispersion == 0 || d*d <= l.outlierSigmas*l.outlierSigmas*l.dispersion*mean:
		return 0
	case d > 0:
		return 1
	}
	return -1
}

// classify determines the weight of the report on a target and whether its deviation is
// confirmed. It records the report in the history.
func (l *loadEstimator) classify(now time.Duration, h *targetHistory, s *targetSample, smoothingTime time.Duration) {
	dt := min(now-h.lastReportAt, time.Minute)
	h.reportCount++
	h.lastReportAt = now
	h.unconfirmed = false
	s.alpha = 1 - math.Exp(-float64(dt)/float64(smoothingTime))
	l.steadyWeight = s.alpha
	l.reportRounds = max(l.reportRounds, h.reportCount)
	s.deviation = l.deviationDirection(s.driftSum, s.smoothedSum)
	s.confirmed = s.deviation != 0 && s.deviation == h.unconfirmedDeviation
	h.unconfirmedDeviation = s.deviation
	if s.confirmed {
		h.unconfirmedDeviation = 0
	}
}

// updateDispersion updates the dispersion from the differences between reported and
// smoothed loads.
func (l *loadEstimator) updateDispersion(load []float64, state *planState, samples []targetSample) {
	squares, sum, total := 0.0, 0.0, 0.0
	for p, o := range state.owner {
		if l.smoothed[p] == noReport {
			continue
		}
		total += l.smoothed[p]
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
	l.dispersion += dispersionWeight * sum / total * (squares/sum - l.dispersion)
}

// updateEstimates updates the smoothed loads of targets with a new report.
func (l *loadEstimator) updateEstimates(load []float64, state *planState, samples []targetSample) {
	for p, o := range state.owner {
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
			state.targets[o].history.unconfirmed = true
		case l.smoothPartition(p, x, s.alpha):
			state.targets[o].history.unconfirmed = true
		}
	}
}

// smoothPartition adds a reported load to the smoothed load of a partition. The first load
// outside the noise has no effect, and smoothPartition returns true. If the next one is
// outside in the same direction, the mean of both replaces the smoothed load.
func (l *loadEstimator) smoothPartition(p int, x, alpha float64) bool {
	direction := l.outlierDirection(p, x)
	switch direction {
	case 0:
		l.reportCount[p] = min(l.reportCount[p]+1, maxReportCount)
		l.smoothed[p] += max(alpha, 1/float64(l.reportCount[p])) * (x - l.smoothed[p])
	case l.lastOutlierDirection[p]:
		l.smoothed[p], l.reportCount[p], direction = (l.outlierLoad[p]+x)/2, 2, 0
	default:
		l.outlierLoad[p] = x
	}
	l.lastOutlierDirection[p] = direction
	return direction != 0
}

// writeCosts writes the cost of each partition: its smoothed load plus a small part for its
// keys. The load of a partition without a report is taken to be the mean load times its key
// weight.
func (l *loadEstimator) writeCosts(costs, keyWeights []float64) {
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
			s = mean * keyWeights[p]
		}
		costs[p] = s + baseCostFraction*mean*keyWeights[p]
	}
}

// standardErrors returns the standard deviation of the smoothed load of each target, in the
// order of state.targets.
func (l *loadEstimator) standardErrors(state *planState) []float64 {
	variances := make([]float64, len(state.targets))
	// The variance of a load smoothed over many reports, relative to that of one report.
	varianceFactor := l.steadyWeight / (2 - l.steadyWeight)
	minReports := uint16(min(maxReportCount, 1/varianceFactor))
	for p, o := range state.owner {
		if o == noTarget {
			continue
		}
		if c := l.reportCount[p]; c >= minReports {
			variances[o] += l.smoothed[p] * varianceFactor
		} else if c > 0 {
			variances[o] += l.smoothed[p] / float64(c)
		}
	}
	for i := range variances {
		variances[i] = math.Sqrt(l.dispersion * max(0, variances[i]))
	}
	return variances
}
