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
	// meanFaultInterval is the mean time between the begins of two faults.
	meanFaultInterval = 900 * time.Millisecond
	// maxConcurrentFaults is the number of faults that may be in force at the same time.
	maxConcurrentFaults = 4
	// minFaultDuration and longest bound the time for which a fault is in force.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 5 * time.Second
	// processExecTime is the time that a program needs to begin to run: before it, a signal
	// ends the process whatever the program does.
	processExecTime = 100 * time.Millisecond
	// drainPeriod is the time for which a target serves after it said that it leaves.
	drainPeriod = 2 * time.Second
)

// fault is one kind of fault. It does its harm, waits, and undoes it. Random
// numbers are drawn before, on the goroutine of the run.
type fault struct {
	name   string
	inject func(r *run, pick int, d time.Duration)
}

// faults are all kinds. Those that concern an instance take it for themselves.
var faults = []fault{
	{"instance killed", func(r *run, pick int, d time.Duration) {
		r.withInstance(pick, func(i *instance) {
			i.signal(syscall.SIGKILL)
			i.wait()
			time.Sleep(d / 4)
			r.restart(i)
		})
	}},
	{"instance stopped", func(r *run, pick int, _ time.Duration) {
		r.withInstance(pick, func(i *instance) {
			i.signal(syscall.SIGTERM)
			if !i.wait() {
				r.reportViolation("end in time", i.Name+" still ran at the end of the grace period")
				i.signal(syscall.SIGKILL)
				i.wait()
			}
			r.restart(i)
		})
	}},
	{"instance paused", func(r *run, pick int, d time.Duration) {
		r.withInstance(pick, func(i *instance) {
			i.signal(syscall.SIGSTOP)
			time.Sleep(d)
			i.signal(syscall.SIGCONT)
		})
	}},
	{"settings changed", func(r *run, pick int, _ time.Duration) {
		if i := r.system.instances[pick%len(r.system.instances)]; i.age() > processExecTime {
			i.signal(syscall.SIGHUP)
		}
	}},
	{"instance cut off from the store", func(r *run, pick int, d time.Duration) {
		r.applyConditions(r.system.instances[pick%len(r.system.instances)].storeProxy, networkConditions{HoldUpstream: pick%3 != 1, HoldDownstream: pick%3 != 2}, d)
	}},
	{"store slow for an instance", func(r *run, pick int, d time.Duration) {
		r.applyConditions(r.system.instances[pick%len(r.system.instances)].storeProxy, networkConditions{Delay: d / 20}, d)
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
	{"target cut off", func(r *run, pick int, d time.Duration) {
		r.applyConditions(r.system.targets[pick%len(r.system.targets)].proxy, networkConditions{HoldUpstream: pick%3 != 1, HoldDownstream: pick%3 != 2}, d)
	}},
	{"target slow", func(r *run, pick int, d time.Duration) {
		r.applyConditions(r.system.targets[pick%len(r.system.targets)].proxy, networkConditions{Delay: 60 * time.Millisecond}, d)
	}},
	{"connections to a target reset", func(r *run, pick int, _ time.Duration) {
		r.system.targets[pick%len(r.system.targets)].proxy.resetConnections()
	}},
	{"target crashed", func(r *run, pick int, d time.Duration) {
		r.withTarget(pick, func(t *target) {
			id := t.stop()
			time.Sleep(d)
			r.system.store.Delete(standin.KindTargets, id)
			r.system.startTarget(t)
		})
	}},
	{"target replaced", func(r *run, pick int, _ time.Duration) {
		r.withTarget(pick, func(t *target) {
			r.system.markDraining(t)
			time.Sleep(drainPeriod)
			r.system.store.Delete(standin.KindTargets, t.stop())
			r.system.startTarget(t)
		})
	}},
	{"configuration changed", func(r *run, _ int, _ time.Duration) { r.system.changeConfig() }},
}

// runExclusively calls f if no other fault has what the key names.
func (r *run) runExclusively(key any, f func()) {
	if _, alreadyReserved := r.reserved.LoadOrStore(key, true); alreadyReserved {
		return
	}
	defer r.reserved.Delete(key)
	f()
}

func (r *run) withInstance(pick int, f func(*instance)) {
	i := r.system.instances[pick%len(r.system.instances)]
	r.runExclusively(i, func() { f(i) })
}

// withTarget takes one target of each service at a time, so that others serve.
func (r *run) withTarget(pick int, f func(*target)) {
	t := r.system.targets[pick%len(r.system.targets)]
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

// injectFaults plays faults until the time is over, and waits for their ends.
func (r *run) injectFaults(ctx context.Context) {
	kinds := slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
		return r.options.Faults != nil && !slices.Contains(r.options.Faults, f.name)
	})
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxConcurrentFaults)
	end := time.After(r.options.Duration)
	for len(kinds) > 0 {
		f := kinds[r.random.IntN(len(kinds))]
		pick := r.random.IntN(1 << 20)
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
			r.logf("%s (%d) for %s", f.name, pick, d.Round(time.Millisecond))
			f.inject(r, pick, d)
			r.logf("%s (%d) ended", f.name, pick)
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
