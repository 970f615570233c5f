// Package soak runs entry instances (boragegate-edge) as separate processes on one machine,
// injects faults from outside, and meanwhile checks the promises made to callers and backend
// servers. The store and the backend servers are stand-ins in the process of the soak test;
// proxies on loopback delay, reset or block the connections to them, in one or both
// directions.
//
// The seed of a run determines the kinds, times and durations of its faults, and what
// they affect. The processes run in real time, so a seed reproduces the sequence of
// faults but not every interleaving.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// startTimeout bounds the time from start until all instances serve.
	startTimeout = 15 * time.Second
	// recoveryTimeout bounds the time after the last fault until every key is served
	// again. A leader that cannot reach the store renews leases for up to 12 s, each for 8 s,
	// so the last one expires after 12 s + 8 s. Its keys are assigned again immediately.
	recoveryTimeout = 25 * time.Second
	// minServedRatio is the minimum fraction of the requests of a run that must be served.
	minServedRatio = 0.2
)

// Options configures a run. Binary and Directory are required.
type Options struct {
	// Seed determines the faults and the requests of each caller.
	Seed uint64
	// Duration is the time during which faults are started.
	Duration time.Duration
	// Binary is the path of boragegate-edge.
	Binary string
	// Directory is created if necessary; settings and logs of the processes are written there.
	Directory string
	// Subnet is the third octet of the instances' loopback addresses 127.0.n.m;
	// concurrent runs need different subnets. 0 means 1.
	Subnet int
	// Instances, Targets and Callers are counts; 0 means the default of 4, 6 and 12.
	Instances, Targets, Callers int
	// Faults names the kinds of faults to inject; nil means all.
	Faults []string
	// RateLimits makes targets limit the rate of their requests now and then.
	RateLimits bool
	// Log receives a line at the start and end of each fault; nil discards them.
	Log io.Writer
}

// Violation describes a broken promise. At is the time from the start of the run until
// the violation was detected.
type Violation struct {
	At      time.Duration
	Promise string
	Detail  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%7.3f s  %s: %s", v.At.Seconds(), v.Promise, v.Detail)
}

// Report is the outcome of a run.
type Report struct {
	Seed     uint64
	Faults   map[string]int
	Requests map[string]int // by outcome
	// LimitSpans is the number of spans for which the rate limit of a target was checked.
	LimitSpans   int
	RecoveryTime time.Duration // time from the end of the last fault until every key was served
	Violations   []Violation
}

// String returns the report as several lines of text.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d violations, all keys served %.2f s after the last fault\n", r.Seed, len(r.Violations), r.RecoveryTime.Seconds())
	write := func(title string, counts map[string]int) {
		names := make([]string, 0, len(counts))
		for name := range counts {
			names = append(names, name)
		}
		sort.Strings(names)
		b.WriteString("  " + title)
		for _, name := range names {
			fmt.Fprintf(&b, " %s=%d", name, counts[name])
		}
		b.WriteByte('\n')
	}
	write("faults:", r.Faults)
	write("requests:", r.Requests)
	if r.LimitSpans > 0 {
		fmt.Fprintf(&b, "  rate limits checked in %d spans\n", r.LimitSpans)
	}
	for _, v := range r.Violations {
		b.WriteString("  " + v.String() + "\n")
	}
	return b.String()
}

// run is the state of one run.
type run struct {
	options   Options
	random    *rand.Rand
	startedAt time.Time
	system    *system
	checker   *executionChecker
	reserved  sync.Map // instances, services and proxies that a fault uses exclusively

	mu             sync.Mutex
	report         Report
	instanceFaults []*instanceFault
}

// Run carries out one run. Broken promises are in the report, not in the
// error. It returns an error without a report if the run could not be carried out, and the
// error of the context with the report if the context was cancelled during the run.
func Run(ctx context.Context, options Options) (*Report, error) {
	setDefault(&options.Instances, 4)
	setDefault(&options.Targets, 6)
	setDefault(&options.Callers, 12)
	setDefault(&options.Subnet, 1)
	if options.Log == nil {
		options.Log = io.Discard
	}
	if err := os.MkdirAll(options.Directory, 0o700); err != nil {
		return nil, err
	}
	r := &run{
		options: options, random: rand.New(rand.NewPCG(options.Seed, options.Seed)), startedAt: time.Now(), //nolint:gosec // not a secret
		report: Report{Seed: options.Seed, Faults: map[string]int{}, Requests: map[string]int{}},
	}
	r.checker = newExecutionChecker(r.reportViolation)
	s, err := newSystem(r)
	if err != nil {
		return nil, err
	}
	r.system = s
	defer s.close()
	if err := s.startAll(); err != nil {
		return nil, err
	}
	if _, ok := r.waitUntilServed(ctx, startTimeout); !ok {
		return nil, fmt.Errorf("the deployment did not serve within %s", startTimeout)
	}
	callersCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for i := range options.Callers {
		wg.Go(func() { r.runCaller(callersCtx, i) })
	}
	limitsCtx, stopLimits := context.WithCancel(ctx)
	defer stopLimits()
	limitsEnded := make(chan struct{})
	go func() {
		defer close(limitsEnded)
		if options.RateLimits {
			r.limitRates(limitsCtx)
		}
	}()
	r.injectFaults(ctx)
	stopLimits()
	<-limitsEnded
	recovery, ok := r.waitUntilServed(ctx, recoveryTimeout)
	r.report.RecoveryTime = recovery
	if !ok {
		r.reportViolation("served again", fmt.Sprintf("not every key within %s after the last fault", recoveryTimeout))
	}
	stop()
	wg.Wait()
	r.checker.checkRejected()
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, n := range r.report.Requests {
		total += n
	}
	if served := r.report.Requests["served"]; float64(served) < minServedRatio*float64(total) {
		r.report.Violations = append(r.report.Violations, Violation{time.Since(r.startedAt), "service", fmt.Sprintf("%d of %d requests were served", served, total)})
	}
	return &r.report, ctx.Err()
}

func setDefault(v *int, n int) {
	if *v == 0 {
		*v = n
	}
}

func (r *run) reportViolation(promise, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, Violation{time.Since(r.startedAt), promise, detail})
}

func (r *run) logf(format string, args ...any) {
	fmt.Fprintf(r.options.Log, "%7.3f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...)) //nolint:errcheck // a lost log line does not affect the run
}

// waitUntilServed waits until allServed returns true, and returns the elapsed time. It
// returns false if the limit passes or the context is cancelled first.
func (r *run) waitUntilServed(ctx context.Context, limit time.Duration) (time.Duration, bool) {
	startedAt := time.Now()
	for ctx.Err() == nil && time.Since(startedAt) < limit {
		if r.allServed(ctx) {
			return time.Since(startedAt), true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(startedAt), false
}
