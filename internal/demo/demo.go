// Package demo runs a complete deployment in one process: an embedded store, three
// instances and two services of sample servers on loopback.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/boragegate/boragegate/internal/promise"
	"github.com/boragegate/boragegate/table"
)

// stepCount is the number of steps of a bounded run. Its duration is divided equally among
// them; the time that the change of a step takes is added.
const stepCount = 5

const (
	// maxFailoverTime is the longest time a key may be unavailable after its server has failed.
	maxFailoverTime = time.Second
	// maxActivationTime is the longest time that a table change may take to become active on
	// all instances.
	maxActivationTime = 7 * time.Second
	// minStepDuration is the lower bound of the duration of a step. The demo drains a target
	// in 3 s, so a drain may outlast a short step.
	minStepDuration = 500 * time.Millisecond
)

// ErrPromiseBroken is returned by Run if a check found a broken promise.
var ErrPromiseBroken = eris.New("a promise was broken")

// Options configures a demo.
type Options struct {
	// Duration is the length of a bounded run, at least stepCount times minStepDuration
	// (2.5 s). 0 runs without load until the context is cancelled.
	Duration time.Duration
	// Out receives the report.
	Out io.Writer
	// Logger receives the log of the instances.
	Logger zerolog.Logger
}

// Command returns the command "demo", which calls Run with options from flags.
func Command() *cobra.Command {
	var o Options
	var verbose bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole system in one process on loopback",
		Long: "Runs an embedded store, three instances and two services of sample servers on loopback.\n" +
			"With --duration it sends a light load, edits the table, drains one server and stops another\n" +
			"without notice, prints what callers saw, and exits with status 1 if a promise was broken.",
		Example: "  boragegated demo\n  boragegated demo --duration 15s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o.Out, o.Logger = cmd.OutOrStdout(), zerolog.Nop()
			if verbose {
				o.Logger = zerolog.New(cmd.ErrOrStderr()).With().Timestamp().Logger()
			}
			return Run(cmd.Context(), o)
		},
	}
	cmd.Flags().DurationVar(&o.Duration, "duration", 0, "length of a bounded run with load and failures; at least 2.5s (0: run until interrupted)")
	cmd.Flags().BoolVar(&verbose, "verbose", false, "print the log of the instances")
	return cmd
}

// Run starts the deployment. With a duration it sends load, carries out the steps and
// returns ErrPromiseBroken if a check found a broken promise; without one it runs until
// the context is cancelled. It stops the deployment before it returns.
func Run(ctx context.Context, o Options) error {
	c, err := startCluster(ctx, o.Logger)
	defer c.stop()
	if err != nil {
		return err
	}
	address := c.callerAddresses()[0]
	fmt.Fprintf(o.Out, "callers are served on %s\n", address)
	fmt.Fprintf(o.Out, "try: curl -s -H 'Boragegate-Key: k1' http://%s/route/items/k1\n", address)
	if o.Duration == 0 {
		<-ctx.Done()
		return nil
	}
	return runBounded(ctx, c, o)
}

func runBounded(ctx context.Context, c *cluster, o Options) error {
	r := &boundedRun{cluster: c, clients: promise.NewClients(c.callerAddresses), out: o.Out, stepDuration: max(o.Duration/stepCount, minStepDuration)}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		r.clients.Run(loadCtx)
	}()
	err := r.runSteps(ctx)
	stopLoad()
	<-loadDone
	if err != nil {
		return err
	}
	return r.checkPromises()
}

// runSteps carries out the steps of a bounded run in order, then checks the drained target.
func (r *boundedRun) runSteps(ctx context.Context) error {
	var drainedAt time.Time
	steps := []struct {
		name   string
		action func() error
	}{
		{"steady load", nil},
		{"weight of route/r1 doubled", func() error {
			return r.editTable(ctx, func(t *table.Table) { findRow(t, "route", "r1").Weight = 2 })
		}},
		{"route/r2 drained", func() error {
			err := r.editTable(ctx, func(t *table.Table) { findRow(t, "route", "r2").Drain = true })
			drainedAt = time.Now()
			return err
		}},
		{"route/r3 stopped without notice", func() error {
			r.cluster.servers["route/r3"].Kill()
			r.serverKilled = true
			return nil
		}},
		{"steady load", nil},
	}
	for _, s := range steps {
		if err := r.runStep(ctx, s.name, s.action); err != nil {
			return err
		}
	}
	service, _ := r.cluster.table.Service("route")
	r.violations = append(r.violations, promise.CheckDrained("route", "r2", drainedAt.Add(time.Duration(service.DrainAfter)), r.cluster.effects.Snapshot())...)
	return nil
}

func findRow(t *table.Table, service, target string) *table.Row {
	for i := range t.Rows {
		if t.Rows[i].Service == service && t.Rows[i].Target == target {
			return &t.Rows[i]
		}
	}
	return nil
}
