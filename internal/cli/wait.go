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

// pollInterval is the time between two queries of the active versions.
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
		return 0, usagef("%q is not a version, expected a whole number above 0", s)
	}
	return v, nil
}

// wait polls until the version is active on all instances or the timeout has elapsed.
// Version 0 selects the version that is current at the first successful query, and a
// timeout of 0 selects the setting wait_timeout.
func (a *app) wait(ctx context.Context, version uint64, timeout time.Duration) error {
	if timeout == 0 {
		timeout = time.Duration(a.settings.WaitTimeout)
	}
	start := a.env.Now()
	reported := map[string]bool{}
	for {
		versions, err := a.activeVersions(ctx, version)
		elapsed := a.env.Now().Sub(start)
		if err == nil {
			version = versions.Version // later queries ask for the same version if 0 was requested
			a.reportProgress(versions, reported, elapsed)
		}
		switch {
		case err == nil && versions.Everywhere:
			if a.jsonOutput() {
				return a.printJSON(versions)
			}
			return a.printf("version %d is in force on all %d instances\n", version, len(versions.Instances))
		case elapsed >= timeout:
			return a.laggingError(versions, err, timeout)
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

// reportProgress prints a line for each instance on which the version has become
// active since the previous call.
func (a *app) reportProgress(versions api.ActiveVersions, reported map[string]bool, elapsed time.Duration) {
	for _, in := range versions.Instances {
		if in.InForce && !reported[in.Instance] {
			reported[in.Instance] = true
			a.notef("%s (zone %s): version %d in force after %.1fs\n", in.Instance, in.Zone, in.Version, elapsed.Seconds())
		}
	}
}

// laggingError returns the error for a timeout. It names the instances on which the
// version is not active, or wraps err, the error of the last query. If the last query
// succeeded and the output format is JSON, laggingError also prints the versions.
func (a *app) laggingError(versions api.ActiveVersions, err error, timeout time.Duration) error {
	if err != nil {
		return &exitError{ExitNotActive, fmt.Errorf("cannot tell whether the version is in force after %s: %w", timeout, err)}
	}
	if a.jsonOutput() {
		if err := a.printJSON(versions); err != nil {
			return err
		}
	}
	var lagging []string
	for _, in := range versions.Instances {
		if !in.InForce {
			lagging = append(lagging, fmt.Sprintf("  %s (zone %s): %s", in.Instance, in.Zone, in.Reason))
		}
	}
	return &exitError{ExitNotActive, fmt.Errorf("version %d is accepted, but after %s not in force on %d of %d instances:\n%s",
		versions.Version, timeout, len(lagging), len(versions.Instances), strings.Join(lagging, "\n"))}
}
