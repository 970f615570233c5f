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

// run is a bounded run of the demo: its load, its report and what it found broken.
type run struct {
	cluster *cluster
	clients *promise.Clients
	out     io.Writer
	step    time.Duration
	// loss says that the current step stopped a server without notice.
	loss    bool
	results []promise.Result
	broken  promise.Broken
}

// do carries out one step, lets the load go on for the length of a step, and reports.
func (r *run) do(ctx context.Context, name string, action func() error) error {
	before := r.cluster.assignment("route")
	r.loss = false
	if action != nil {
		if err := action(); err != nil {
			return err
		}
	}
	select {
	case <-time.After(r.step):
	case <-ctx.Done():
		return ctx.Err()
	}
	results := r.clients.Take()
	r.results = append(r.results, results...)
	unavailable := max(promise.LongestWait("route", results), promise.LongestWait("order", results))
	r.report(name, results, moved(before, r.cluster.assignment("route")), unavailable)
	if r.loss && unavailable > lossLimit {
		r.broken = append(r.broken, fmt.Sprintf("a key was without an answer for %s after a loss (limit %s)", unavailable, lossLimit))
	}
	return nil
}

func (r *run) report(name string, results []promise.Result, moves int, unavailable time.Duration) {
	counts := map[string]int{}
	for _, res := range results {
		counts[res.Outcome]++
	}
	fmt.Fprintf(r.out, "%-34s requests: %5d run, %3d not-run, %3d unknown; partitions moved: %3d of %d; longest time without an answer for a key: %s\n",
		name, counts["run"], counts["not-run"], counts["unknown"], moves, demoPartitions, unavailable.Round(time.Millisecond))
}

// edit changes the table and checks how long it takes to be in force everywhere.
func (r *run) edit(ctx context.Context, change func(*table.Table)) error {
	begin := time.Now()
	if err := r.cluster.apply(ctx, change); err != nil {
		return err
	}
	if d := time.Since(begin); d > inForceLimit {
		r.broken = append(r.broken, fmt.Sprintf("table version %d took %s to be in force (limit %s)", r.cluster.table.Version, d, inForceLimit))
	}
	return nil
}

// notRepeatable reports whether a request must run at most once. Reads and puts
// may be repeated, as their method allows.
func notRepeatable(f server.Effect) bool { return f.Method == http.MethodPost }

// verdict checks the promises over the whole run.
func (r *run) verdict() error {
	list := r.cluster.effects.Snapshot()
	r.broken = append(r.broken, promise.All(r.results, list, notRepeatable)...)
	if len(r.broken) == 0 {
		fmt.Fprintf(r.out, "checked %d effects at the servers: one owner per key, at most one run per idempotency key, own answers, true outcomes\n", len(list))
		return nil
	}
	for _, b := range r.broken {
		fmt.Fprintf(r.out, "broken: %s\n", b)
	}
	return ErrPromiseBroken
}
