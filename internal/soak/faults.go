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
	// faultGap is the mean time between the begins of two faults.
	faultGap = 900 * time.Millisecond
	// maxOverlap is the number of faults that may be in force at the same time.
	maxOverlap = 4
	// shortest and longest bound the time for which a fault is in force.
	shortest = 200 * time.Millisecond
	longest  = 5 * time.Second
	// execTime is the time that a program needs to begin to run: before it, a signal
	// ends the process whatever the program does.
	execTime = 100 * time.Millisecond
	// drainTime is the time for which a target serves after it said that it leaves.
	drainTime = 2 * time.Second
)

// fault is one kind of fault. It does its harm, waits, and undoes it. Random
// numbers are drawn before, on the goroutine of the run.
type fault struct {
	name string
	play func(r *run, pick int, d time.Duration)
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
				r.violated("end in time", i.Name+" still ran at the end of the grace period")
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
		if i := r.system.instances[pick%len(r.system.instances)]; i.age() > execTime {
			i.signal(syscall.SIGHUP)
		}
	}},
	{"instance cut off from the store", func(r *run, pick int, d time.Duration) {
		r.disturb(r.system.instances[pick%len(r.system.instances)].toStore, conditions{HoldUp: pick%3 != 1, HoldDown: pick%3 != 2}, d)
	}},
	{"store slow for an instance", func(r *run, pick int, d time.Duration) {
		r.disturb(r.system.instances[pick%len(r.system.instances)].toStore, conditions{Delay: d / 20}, d)
	}},
	{"connections to the store reset", func(r *run, _ int, _ time.Duration) {
		for _, i := range r.system.instances {
			i.toStore.reset()
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
		r.disturb(r.system.targets[pick%len(r.system.targets)].way, conditions{HoldUp: pick%3 != 1, HoldDown: pick%3 != 2}, d)
	}},
	{"target slow", func(r *run, pick int, d time.Duration) {
		r.disturb(r.system.targets[pick%len(r.system.targets)].way, conditions{Delay: 60 * time.Millisecond}, d)
	}},
	{"connections to a target reset", func(r *run, pick int, _ time.Duration) {
		r.system.targets[pick%len(r.system.targets)].way.reset()
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
			r.system.announceLeave(t)
			time.Sleep(drainTime)
			r.system.store.Delete(standin.KindTargets, t.stop())
			r.system.startTarget(t)
		})
	}},
	{"configuration changed", func(r *run, _ int, _ time.Duration) { r.system.changeConfig() }},
}

// exclusively calls f if no other fault has what the key names.
func (r *run) exclusively(key any, f func()) {
	if _, taken := r.taken.LoadOrStore(key, true); taken {
		return
	}
	defer r.taken.Delete(key)
	f()
}

func (r *run) withInstance(pick int, f func(*instance)) {
	i := r.system.instances[pick%len(r.system.instances)]
	r.exclusively(i, func() { f(i) })
}

// withTarget takes one target of each service at a time, so that others serve.
func (r *run) withTarget(pick int, f func(*target)) {
	t := r.system.targets[pick%len(r.system.targets)]
	r.exclusively(t.service, func() { f(t) })
}

func (r *run) disturb(p *proxy, c conditions, d time.Duration) {
	r.exclusively(p, func() {
		p.set(c)
		time.Sleep(d)
		p.set(conditions{})
	})
}

func (r *run) restart(i *instance) {
	if err := i.start(r.o.Binary); err != nil {
		r.violated("soak", "restart of "+i.Name+": "+err.Error())
	}
}

// playFaults plays faults until the time is over, and waits for their ends.
func (r *run) playFaults(ctx context.Context) {
	kinds := slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
		return r.o.Faults != nil && !slices.Contains(r.o.Faults, f.name)
	})
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxOverlap)
	end := time.After(r.o.Length)
	for len(kinds) > 0 {
		f := kinds[r.random.IntN(len(kinds))]
		pick := r.random.IntN(1 << 20)
		d := shortest + time.Duration(r.random.Int64N(int64(longest-shortest)))
		gap := time.Duration(r.random.Int64N(int64(2 * faultGap)))
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
			f.play(r, pick, d)
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
