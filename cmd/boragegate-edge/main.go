// Command boragegate-edge is the entry instance for platforms whose backend
// servers verify grants themselves.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/boragegate/boragegate"
	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/internal/deployment"
	"github.com/boragegate/boragegate/internal/edge"
	"github.com/boragegate/boragegate/internal/logging"
	"github.com/boragegate/boragegate/ownership/rangelease"
	"github.com/boragegate/boragegate/platform"
)

const (
	// gcPercent is below Go's default of 100 to save memory at the cost of CPU time,
	// of which an instance has enough to spare.
	gcPercent = 40
	// memoryLimitFraction is the fraction of the process's memory limit that is set
	// as the soft memory limit of the Go runtime. The rest is for the buffers of sockets, which
	// count as memory of the machine. With 0.8, the limit was exceeded by a crowd whose uploads
	// fill the buffers.
	memoryLimitFraction = 0.7
	// readTimeout limits the store read of the commands status and owner.
	readTimeout = 5 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	// A SIGHUP for changed settings may arrive before the instance handles it; ignoring
	// it until then keeps the process alive.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	module := platform.ModuleID
	var disabledMechanisms []string
	cmd := &cobra.Command{
		Use: "boragegate-edge", Short: "Entry instance that sends requests straight to backend servers",
		SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return serve(cmd.Context(), module, disabledMechanisms) },
	}
	cmd.Flags().StringVar(&module, "deployment", module, "module that translates for the platform")
	cmd.Flags().StringSliceVar(&disabledMechanisms, "without", nil, "mechanisms to switch off, to measure their worth: "+strings.Join(dispatch.MechanismNames(), ", "))
	cmd.AddCommand(&cobra.Command{
		Use: "check", Short: "Check the settings and report all findings", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			p, err := boragegate.LoadAs[deployment.Platform](ctx, module, nil)
			if err != nil {
				return err
			}
			_, err = p.Settings()
			return err
		},
	})
	cmd.AddCommand(&cobra.Command{
		Use: "status", Short: "Print the leader and the division of keys, as the store has them", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := readOwnership(ctx, module)
			if err != nil {
				return err
			}
			return edge.WriteStatus(cmd.OutOrStdout(), r)
		},
	})
	cmd.AddCommand(&cobra.Command{
		Use: "owner SERVICE KEY", Short: "Print who holds a key, and why", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			key, err := strconv.Atoi(args[1])
			if err != nil {
				return fmt.Errorf("invalid key %q, expected an integer: %w", args[1], err)
			}
			r, err := readOwnership(ctx, module)
			if err != nil {
				return err
			}
			return edge.WriteOwner(cmd.OutOrStdout(), r, args[0], key)
		},
	})
	cmd.SetContext(ctx)
	if err := cmd.Execute(); err != nil {
		return 1
	}
	return 0
}

// readOwnership reads the ownership record from the platform's store, using the settings
// on this machine. The read is limited by readTimeout.
func readOwnership(ctx context.Context, module string) (*rangelease.Record, error) {
	p, err := boragegate.LoadAs[deployment.Platform](ctx, module, nil)
	if err != nil {
		return nil, err
	}
	if _, err := p.Settings(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return edge.ReadOwnership(ctx, p)
}

func serve(ctx context.Context, module string, disabledMechanisms []string) error {
	policy, err := dispatch.NewPolicyWithout(disabledMechanisms...)
	if err != nil {
		return err
	}
	p, err := boragegate.LoadAs[deployment.Platform](ctx, module, nil)
	if err != nil {
		return err
	}
	s, err := p.Settings()
	if err != nil {
		return err
	}
	s.Policy = policy
	debug.SetGCPercent(gcPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	}
	out := logging.NewAsyncWriter(os.Stdout)
	defer out.Close()
	log := logging.New(logging.Options{Out: out})
	defer log.Close()
	instance, err := edge.New(p, s, log, func(f func()) { out.OnDrop = f })
	if err != nil {
		return err
	}
	if err := instance.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	return instance.Stop(context.Background())
}
