// Command boragegate-soak injects random faults into entry instances on this machine
// and checks the promises made to callers and backend servers. It exits with 1 if
// a promise was broken or a run failed.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/boragegate/boragegate/internal/soak"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var o soak.Options
	seedCount := 1
	cmd := &cobra.Command{
		Use: "boragegate-soak", Short: "Play random faults on entry instances and check the promises",
		SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runSeeds(cmd.Context(), o, seedCount) },
	}
	f := cmd.Flags()
	f.Uint64Var(&o.Seed, "seed", 1, "first seed")
	f.IntVar(&seedCount, "seeds", 1, "number of seeds, one after the other")
	f.DurationVar(&o.Duration, "length", 20*time.Second, "time in which faults begin, for each seed")
	f.StringVar(&o.Binary, "binary", "target/boragegate-edge", "program to run")
	f.StringVar(&o.Directory, "directory", "target/soak", "directory for settings and logs, one a seed")
	f.IntVar(&o.Instances, "instances", 0, "number of instances")
	f.IntVar(&o.Targets, "targets", 0, "number of backend servers")
	f.IntVar(&o.Subnet, "network", 0, "third number of the instances' addresses 127.0.n.m")
	f.IntVar(&o.Callers, "callers", 0, "number of callers")
	f.BoolVar(&o.RateLimits, "rate-limits", true, "let backend servers limit their rate; it does not change the other faults of a seed")
	f.StringSliceVar(&o.Faults, "fault", nil, "kinds of faults; all if none is named")
	if err := cmd.ExecuteContext(ctx); err != nil {
		return 1
	}
	return 0
}

var errViolations = errors.New("promises were broken")

// runSeeds runs count seeds from o.Seed on, each in a subdirectory of its own. It returns
// errViolations if any run broke a promise, and stops at the first run that fails.
func runSeeds(ctx context.Context, o soak.Options, count int) error {
	var err error
	directory := o.Directory
	for range count {
		o.Directory = filepath.Join(directory, strconv.FormatUint(o.Seed, 10))
		if mkErr := os.MkdirAll(o.Directory, 0o700); mkErr != nil {
			return mkErr
		}
		log, openErr := os.Create(filepath.Join(o.Directory, "faults.log"))
		if openErr != nil {
			return openErr
		}
		o.Log = log
		report, runErr := soak.Run(ctx, o)
		if closeErr := log.Close(); closeErr != nil {
			return closeErr
		}
		if runErr != nil {
			return fmt.Errorf("seed %d: %w", o.Seed, runErr)
		}
		fmt.Print(report)
		if len(report.Violations) > 0 {
			err = errViolations
		}
		o.Seed++
	}
	return err
}
