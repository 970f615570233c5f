package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/boragegate/boragegate/examples/backend/server"
	"github.com/boragegate/boragegate/internal/promise"
	"github.com/boragegate/boragegate/table"
)

// boundedRun is the state of a run with load: its clients, output, results and broken
// promises.
type boundedRun struct {
	cluster      *cluster
	clients      *promise.Clients
	out          io.Writer
	stepDuration time.Duration
	// serverKilled reports whether the current step stopped a server without notice.
	serverKilled bool
	results      []promise.Result
	violations   promise.Violations
}

// runStep carries out one step, waits for its duration under load, and prints a summary.
func (r *boundedRun) runStep(ctx context.Context, name string, action func() error) error {
	before := r.cluster.assignment("route")
	r.serverKilled = false
	if action != nil {
		if err := action(); err != nil {
			return err
		}
	}
	select {
	case <-time.After(r.stepDuration):
	case <-ctx.Done():
		return ctx.Err()
	}
	results := r.clients.TakeResults()
	r.results = append(r.results, results...)
	unavailable := max(promise.LongestUnavailability("route", results), promise.LongestUnavailability("order", results))
	r.report(name, results, countMoved(before, r.cluster.assignment("route")), unavailable)
	if r.serverKilled && unavailable > maxFailoverTime {
		r.violations = append(r.violations, fmt.Sprintf("a key was unavailable for %s after a server had failed (limit %s)", unavailable, maxFailoverTime))
	}
	return nil
}

func (r *boundedRun) report(name string, results []promise.Result, moves int, unavailable time.Duration) {
	counts := map[string]int{}
	for _, res := range results {
		counts[res.Outcome]++
	}
	fmt.Fprintf(r.out, "%-34s requests: %5d run, %3d not-run, %3d unknown; partitions moved: %3d of %d; longest time without an answer for a key: %s\n",
		name, counts["run"], counts["not-run"], counts["unknown"], moves, demoPartitions, unavailable.Round(time.Millisecond))
}

// editTable changes the table and checks that it is active on all instances within maxActivationTime.
func (r *boundedRun) editTable(ctx context.Context, change func(*table.Table)) error {
	begin := time.Now()
	if err := r.cluster.apply(ctx, change); err != nil {
		return err
	}
	if d := time.Since(begin); d > maxActivationTime {
		r.violations = append(r.violations, fmt.Sprintf("table version %d took %s to become active on all instances (limit %s)", r.cluster.table.Version, d, maxActivationTime))
	}
	return nil
}

// notRepeatable reports whether a request must be executed at most once. GET and PUT are
// idempotent, so their requests may be retried.
func notRepeatable(effect server.Effect) bool { return effect.Method == http.MethodPost }

// checkPromises checks the promises over the whole run and returns ErrPromiseBroken if one was broken.
func (r *boundedRun) checkPromises() error {
	effects := r.cluster.effects.Snapshot()
	r.violations = append(r.violations, promise.CheckAll(r.results, effects, notRepeatable)...)
	if len(r.violations) == 0 {
		fmt.Fprintf(r.out, "checked %d effects at the servers: one owner per key, at most one run per idempotency key, own answers, true outcomes\n", len(effects))
		return nil
	}
	for _, violation := range r.violations {
		fmt.Fprintf(r.out, "broken: %s\n", violation)
	}
	return ErrPromiseBroken
}
