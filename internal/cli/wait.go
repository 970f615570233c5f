package cli

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/boragegate/boragegate/internal/operator/api"
)

// pollInterval is the time between two questions which versions are in force.
const pollInterval = 250 * time.Millisecond

func (a *app) waitCommand() *cobra.Command {
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "wait [VERSION]",
		Short: "Wait until a version is in force on all instances",
		Long: `Wait until the version, or the current one, is in force on all instances. There
is a line per instance when it uses the version. If some do not in time, the
command names them and the reasons, and exits with 4.`,
		Example: "  boragegate table wait\n  boragegate table wait 42 --timeout 10s",
		Args:    maxArgs(1, "at most one version"),
		RunE: func(cmd *cobra.Command, args []string) error {
			var version uint64
			if len(args) == 1 {
				v, err := parseVersion(args[0])
				if err != nil {
					return err
				}
				version = v
			}
			if err := a.connect(); err != nil {
				return err
			}
			return a.wait(cmd.Context(), version, timeout)
		},
	}
	cmd.Flags().DurationVar(&timeout, "timeout", 0, "longest wait (default 30s)")
	return cmd
}

func parseVersion(s string) (uint64, error) {
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil || v == 0 {
		return 0, usagef("%q is not a version", s)
	}
	return v, nil
}

// wait asks until the version is in force everywhere.
func (a *app) wait(ctx context.Context, version uint64, timeout time.Duration) error {
	if timeout == 0 {
		timeout = time.Duration(a.settings.WaitTimeout)
	}
	begin := a.env.Now()
	seen := map[string]bool{}
	for {
		state, err := a.activeVersions(ctx, version)
		waited := a.env.Now().Sub(begin)
		if err == nil {
			version = state.Version // keeps waiting for the same one if 0 was asked for
			a.reportProgress(state, seen, waited)
		}
		switch {
		case err == nil && state.Everywhere:
			if a.jsonOutput() {
				return a.printJSON(state)
			}
			return a.printf("version %d is in force on all %d instances\n", version, len(state.Instances))
		case waited >= timeout:
			return a.laggingError(state, err, timeout)
		case ctx.Err() != nil:
			return fmt.Errorf("wait for version %d: %w", version, ctx.Err())
		}
		a.env.Sleep(ctx, pollInterval)
	}
}

func (a *app) activeVersions(ctx context.Context, version uint64) (api.ActiveVersions, error) {
	ctx, cancel := a.withCallTimeout(ctx)
	defer cancel()
	return a.client.ActiveVersions(ctx, version)
}

// reportProgress prints a line for each instance that came into force since the last question.
func (a *app) reportProgress(state api.ActiveVersions, seen map[string]bool, waited time.Duration) {
	for _, in := range state.Instances {
		if in.InForce && !seen[in.Instance] {
			seen[in.Instance] = true
			a.notef("%s (zone %s): version %d in force after %.1fs\n", in.Instance, in.Zone, in.Version, waited.Seconds())
		}
	}
}

// laggingError returns the error that names the instances without the version.
func (a *app) laggingError(state api.ActiveVersions, err error, timeout time.Duration) error {
	if err != nil {
		return &exitError{ExitNotActive, fmt.Errorf("cannot tell whether the version is in force after %s: %w", timeout, err)}
	}
	if a.jsonOutput() {
		if err := a.printJSON(state); err != nil {
			return err
		}
	}
	var behind []string
	for _, in := range state.Instances {
		if !in.InForce {
			behind = append(behind, fmt.Sprintf("  %s (zone %s): %s", in.Instance, in.Zone, in.Reason))
		}
	}
	return &exitError{ExitNotActive, fmt.Errorf("version %d is accepted, but after %s not in force on %d of %d instances:\n%s",
		state.Version, timeout, len(behind), len(state.Instances), strings.Join(behind, "\n"))}
}
