package placement

import (
	"math"
	"time"
)

const (
	// minReportGap bounds how often a target's reports are sampled, so that a
	// burst of reports does not count as several confirmations.
	minReportGap = 5 * time.Second
	// reportStale is the age from which on a target's load causes no moves: three report intervals.
	reportStale = 30 * time.Second
	// dispersionRate is the weight of one round of reports in the estimate of the noise.
	dispersionRate = 0.1
	// idlePart is the part of all slots in use below which the load says nothing about balance.
	idlePart = 0.05
	// baseCost is the cost of a partition without load, as a part of the mean
	// load. It spreads idle partitions and is small against the bound of 5%.
	baseCost = 0.005
	// maxCount bounds the count of reports of a partition; smoothing takes over well before.
	maxCount = 1 << 15
	// unseen marks a partition without any report.
	unseen = -1.0
)

// loads estimates the load of each partition from reports that may be noisy,
// stale or misleading. A report counts as new when any partition of its target
// changes. A report far outside the noise counts only if the next one confirms it.
type loads struct {
	smooth []float64
	// raw is the last sampled report, by which a repeated one is recognised.
	raw []float64
	// odd is the load in the last report if that was outside the noise, oddRun its direction.
	odd    []float64
	oddRun []int8
	// epoch tells when a partition has moved; its first report afterwards covers
	// the pause of the hand-over and is not used.
	epoch  []uint64
	settle []bool
	// seen is the assignment whose epochs have been noted.
	seen *Assignment
	// outlier is Settings.Outlier.
	outlier float64
	// dispersion is the variance of a report relative to its mean.
	dispersion float64
	// count is the number of reports in the smoothed load.
	count []uint16
	// steady is the weight of a report in a load that has been smoothed for long.
	steady float64
	// rounds is the number of rounds of reports, known says that the load has
	// been above idlePart; until then partitions count by their keys.
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

// sample is what one round of reports says about one target.
type sample struct {
	// fresh says that the target has a new report.
	fresh bool
	// alpha is the weight of the report in the smoothed load.
	alpha float64
	// smooth, raw and drift are the sums over the target's partitions of the
	// smoothed load, the reported load, and their difference without outliers.
	smooth, raw, drift float64
	// shift is the direction of a deviation of the whole target, confirmed whether it is the second one.
	shift     int8
	confirmed bool
}

// observe takes in the reports of one input. The board has the owners of the
// assignment, without started moves.
//
// It returns true if that changes the estimate.
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
				s.fresh = false // A target without any load has not reported, or there is nothing to balance.
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

// busy says that the service uses enough of its slots for its load to be balanced.
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

// freshTargets finds the targets with a new report; nil if there are none.
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

// noteEpochs finds the partitions that have moved.
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

// valid refuses values that no load can have.
func valid(x float64) bool { return x >= 0 && !math.IsInf(x, 0) && !math.IsNaN(x) }

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

// outlies returns the direction in which a load is outside the noise, or 0.
func (l *loads) outlies(p int, x float64) int8 {
	return l.direction(x-l.smooth[p], max(l.smooth[p], x/l.outlier))
}

func (l *loads) direction(d, mean float64) int8 {
	switch {
	case l.dispersion == 0 || d*d <= l.outlier*l.outlier*l.dispersion*mean:
		return 0
	case d > 0:
		return 1
	}
	return -1
}

// classify decides how the target's report is used and notes it in the history.
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

// learnNoise updates the dispersion from the differences between reports and estimates.
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

// update moves the smoothed loads.
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

// follow smooths one load, or jumps to it when it is outside the noise for the
// second time. It returns true if the load is outside the noise for the first time.
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

// costs writes the cost of each partition: its smoothed load and a small part for its keys.
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

// noise returns the standard deviation of each node's smoothed load.
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
