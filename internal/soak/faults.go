package soak

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/boragegate/boragegate/platform/standin"
)

const (
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 900 * time.Millisecond
	// maxConcurrentFaults is the number of faults that may be active at the same time.
	maxConcurrentFaults = 4
	// minFaultDuration and maxFaultDuration bound how long a fault is active.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 5 * time.Second
	// processExecTime is the time that a new process needs to start its program and to install
	// the signal handlers. Until then, a signal ends the process by its default action,
	// which the program cannot prevent.
	processExecTime = 100 * time.Millisecond
	// drainPeriod is how long a target keeps serving after its entry in the store says that
	// it drains.
	drainPeriod = 2 * time.Second
)

// fault is one kind of fault. inject causes it, waits, usually for the duration d, and ends
// it. The random number selector selects the instance or target. injectFaults draws both
// before it starts the goroutine of the fault, so that a seed gives one sequence.
type fault struct {
	name   string
	inject func(r *run, selector int, d time.Duration)
}

// faults lists all kinds. Those that kill, stop or pause an instance reserve it.
var faults = []fault{
	{"instance killed", func(r *run, selector int, d time.Duration) {
		r.withInstance(selector, func(i *instance) {
			i.signal(syscall.SIGKILL)
			i.wait()
			time.Sleep(d / 4)
			r.restart(i)
		})
	}},
	{"instance stopped", func(r *run, selector int, _ time.Duration) {
		r.withInstance(selector, func(i *instance) {
			i.signal(syscall.SIGTERM)
			if !i.wait() {
				r.reportViolation("end in time", i.Name+" still ran at the end of the grace period")
				i.signal(syscall.SIGKILL)
				i.wait()
			}
			r.restart(i)
		})
	}},
	{"instance paused", func(r *run, selector int, d time.Duration) {
		r.withInstance(selector, func(i *instance) {
			i.signal(syscall.SIGSTOP)
			time.Sleep(d)
			i.signal(syscall.SIGCONT)
		})
	}},
	{"settings changed", func(r *run, selector int, _ time.Duration) {
		if i := r.system.instances[selector%len(r.system.instances)]; i.age() > processExecTime {
			i.signal(syscall.SIGHUP)
		}
	}},
	{"instance cut off from the store", func(r *run, selector int, d time.Duration) {
		r.applyConditions(r.system.instances[selector%len(r.system.instances)].storeProxy, networkConditions{HoldUpstream: selector%3 != 1, HoldDownstream: selector%3 != 2}, d)
	}},
	{"store slow for an instance", func(r *run, selector int, d time.Duration) {
		r.applyConditions(r.system.instances[selector%len(r.system.instances)].storeProxy, networkConditions{Delay: d / 20}, d)
	}},
	{"connections to the store reset", func(r *run, _ int, _ time.Duration) {
		for _, i := range r.system.instances {
			i.storeProxy.resetConnections()
		}
	}},
	{"store down", func(r *run, _ int, d time.Duration) {
		r.system.store.SetDown(true)
		time.Sleep(d)
		r.system.store.SetDown(false)
	}},
	{"answers of the store lost", func(r *run, _ int, d time.Duration) {
		r.system.store.SetDropResponses(true)
		time.Sleep(d)
		r.system.store.SetDropResponses(false)
	}},
	{"target cut off", func(r *run, selector int, d time.Duration) {
		r.applyConditions(r.system.targets[selector%len(r.system.targets)].proxy, networkConditions{HoldUpstream: selector%3 != 1, HoldDownstream: selector%3 != 2}, d)
	}},
	{"target slow", func(r *run, selector int, d time.Duration) {
		r.applyConditions(r.system.targets[selector%len(r.system.targets)].proxy, networkConditions{Delay: 60 * time.Millisecond}, d)
	}},
	{"connections to a target reset", func(r *run, selector int, _ time.Duration) {
		r.system.targets[selector%len(r.system.targets)].proxy.resetConnections()
	}},
	{"target crashed", func(r *run, selector int, d time.Duration) {
		r.withTarget(selector, func(t *target) {
			id := t.stop()
			time.Sleep(d)
			r.system.store.Delete(standin.KindTargets, id)
			r.system.startTarget(t)
		})
	}},
	{"target replaced", func(r *run, selector int, _ time.Duration) {
		r.withTarget(selector, func(t *target) {
			r.system.markDraining(t)
			time.Sleep(drainPeriod)
			r.system.store.Delete(standin.KindTargets, t.stop())
			r.system.startTarget(t)
		})
	}},
	{"configuration changed", func(r *run, _ int, _ time.Duration) { r.system.changeConfig() }},
}

// runExclusively reserves the resource that key identifies and calls f. It does nothing if
// another fault has reserved the resource.
func (r *run) runExclusively(key any, f func()) {
	if _, alreadyReserved := r.reserved.LoadOrStore(key, true); alreadyReserved {
		return
	}
	defer r.reserved.Delete(key)
	f()
}

func (r *run) withInstance(selector int, f func(*instance)) {
	i := r.system.instances[selector%len(r.system.instances)]
	r.runExclusively(i, func() { r.recordInstanceFault(func() { f(i) }) })
}

// withTarget reserves the whole service of the selected target, so that only one target of
// a service is stopped at a time and the others keep serving.
func (r *run) withTarget(selector int, f func(*target)) {
	t := r.system.targets[selector%len(r.system.targets)]
	r.runExclusively(t.service, func() { f(t) })
}

func (r *run) applyConditions(p *proxy, c networkConditions, d time.Duration) {
	r.runExclusively(p, func() {
		p.setConditions(c)
		time.Sleep(d)
		p.setConditions(networkConditions{})
	})
}

func (r *run) restart(i *instance) {
	if err := i.start(r.options.Binary); err != nil {
		r.reportViolation("soak", "restart of "+i.Name+": "+err.Error())
	}
}

// injectFaults starts random faults during the configured duration and then waits until
// all have ended.
func (r *run) injectFaults(ctx context.Context) {
	enabledFaults := slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
		return r.options.Faults != nil && !slices.Contains(r.options.Faults, f.name)
	})
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxConcurrentFaults)
	end := time.After(r.options.Duration)
	for len(enabledFaults) > 0 {
		f := enabledFaults[r.random.IntN(len(enabledFaults))]
		selector := r.random.IntN(1 << 20)
		d := minFaultDuration + time.Duration(r.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		gap := time.Duration(r.random.Int64N(int64(2 * meanFaultInterval)))
		select {
		case slots <- struct{}{}:
		case <-end:
			return
		case <-ctx.Done():
			return
		}
		r.mu.Lock()
		r.report.Faults[f.name]++
		r.mu.Unlock()
		wg.Go(func() {
			defer func() { <-slots }()
			r.logf("%s (%d) for %s", f.name, selector, d.Round(time.Millisecond))
			f.inject(r, selector, d)
			r.logf("%s (%d) ended", f.name, selector)
		})
		select {
		case <-time.After(gap):
		case <-end:
			return
		case <-ctx.Done():
			return
		}
	}
}
