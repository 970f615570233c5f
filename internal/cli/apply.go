package cli

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/boragegate/boragegate/internal/operator/api"
	"github.com/boragegate/boragegate/internal/operator/client"
	"github.com/boragegate/boragegate/table"
)

// changeFlags are the flags of the commands that create a new version of the table.
type changeFlags struct {
	yes, wait bool
	comment   string
	timeout   time.Duration
}

func (f *changeFlags) register(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&f.yes, "yes", false, "do not ask when much capacity is taken away")
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait until the version is in force on all instances")
	cmd.Flags().StringVar(&f.comment, "comment", "", "reason for the history and the audit trail")
	cmd.Flags().DurationVar(&f.timeout, "timeout", 0, "longest wait (default 30s)")
}

func (a *app) applyCommand() *cobra.Command {
	var f changeFlags
	var base uint64
	var merge, dryRun bool
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Make a file the new table",
		Long: `Check a file, show its changes and make it the new version of the table. The
change is based on the version in the file, on --base, or else on the current
version. If another operator made a version since, the command shows both
changes and exits with 3; --merge combines changes to different rows.

A file whose name ends in .csv replaces the rows and keeps the services.

The command asks before a change that takes away more than a share of a
service's capacity (setting confirm_share, default 25%).`,
		Example: "  boragegate table apply table.jsonc --wait --comment \"rack 14\"\n  boragegate table apply rows.csv --yes\n  boragegate table apply table.jsonc --merge",
		Args:    exactArgs(1, "one file"),
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := a.proposalFromFile(cmd.Context(), args[0], base)
			if err != nil {
				return err
			}
			if dryRun {
				return a.printChanges(p.changes())
			}
			return a.apply(cmd.Context(), p, f, merge)
		},
	}
	f.register(cmd)
	cmd.Flags().Uint64Var(&base, "base", 0, "version that the change is based on")
	cmd.Flags().BoolVar(&merge, "merge", false, "merge with changes of others to different rows")
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "show the changes only")
	return cmd
}

func (a *app) printChanges(c table.Changes) error {
	if a.jsonOutput() {
		return a.printJSON(c)
	}
	return a.printf("%s", c)
}

// apply sends a proposal as the new version, after confirmation if it removes much
// capacity.
func (a *app) apply(ctx context.Context, p *proposal, f changeFlags, merge bool) error {
	if merge && p.base != p.currentVersion() {
		if err := a.mergeLocally(ctx, p); err != nil {
			return err
		}
	}
	// With a stale base, the instance rejects the change and reports both sides' changes.
	if p.base == p.currentVersion() {
		if err := a.confirmChanges(p.changes(), f.yes); err != nil {
			return err
		}
	}
	content, err := encodeCompact(p.proposed)
	if err != nil {
		return err
	}
	callCtx, cancel := a.withCallTimeout(ctx)
	defer cancel()
	result, err := a.client.Apply(callCtx, api.ApplyRequest{Base: p.base, Table: content, Comment: f.comment, Merge: merge})
	if err != nil {
		result, err = a.resolveOutcome(ctx, p, err, merge)
	}
	return a.reportChange(ctx, result, err, f)
}

// mergeLocally replaces the proposal by its merge with the current table, so
// that the operator confirms the actual changes.
func (a *app) mergeLocally(ctx context.Context, p *proposal) error {
	callCtx, cancel := a.withCallTimeout(ctx)
	defer cancel()
	base := &table.Table{}
	if p.base > 0 {
		t, err := a.client.Table(callCtx, p.base)
		if err != nil {
			return err
		}
		if base, err = decodeTable(t.Table); err != nil {
			return err
		}
	}
	merged, err := table.Merge(base, p.proposed, p.current)
	if err != nil {
		return err
	}
	if err := table.Check(merged, table.Options{Previous: p.current}).Err(); err != nil {
		return err
	}
	a.notef("merged with version %d\n", p.currentVersion())
	p.proposed, p.base = merged, p.currentVersion()
	return nil
}

// confirmChanges prints the changes. It asks for confirmation if they remove a
// larger fraction of a service's capacity than the setting confirm_share.
func (a *app) confirmChanges(c table.Changes, yes bool) error {
	a.notef("%s", c)
	largest, found := c.LargestReduction()
	if !found || largest.RemovedFraction <= a.settings.ConfirmShare {
		return nil
	}
	return a.confirm(yes, fmt.Sprintf("this takes away %.0f%% of the capacity of service %s", 100*largest.RemovedFraction, largest.Service))
}

// confirm returns nil if yes is set or if the operator confirms the effect of a change on
// the terminal. Otherwise, also without a terminal, it returns an error with the exit code
// ExitNotConfirmed.
func (a *app) confirm(yes bool, effect string) error {
	if yes {
		return nil
	}
	if !a.env.Interactive {
		return &exitError{ExitNotConfirmed, fmt.Errorf("not confirmed: %s; use --yes to confirm without a terminal", effect)}
	}
	_, _ = fmt.Fprintf(a.env.Err, "%s, go on? [y/N] ", effect)
	answer, _ := bufio.NewReader(a.env.In).ReadString('\n')
	if s := strings.ToLower(strings.TrimSpace(answer)); s == "y" || s == "yes" {
		return nil
	}
	return &exitError{ExitNotConfirmed, errors.New("not confirmed, nothing was changed")}
}

const (
	// resolveAttempts is the maximum number of queries for the outcome of a change.
	resolveAttempts = 5
	// resolveInterval is the time between two of these queries.
	resolveInterval = 500 * time.Millisecond
)

// resolveOutcome determines whether a change was made if cause leaves that open: the
// response was lost, or the instance reported the outcome as unknown. It returns any other
// cause unchanged. If the change was made, the version after its base has its content.
// If that version has other content, the change was not made; with merge its outcome
// stays unknown, since the instance may have merged the change into a later version. The
// outcome also stays unknown if that version cannot be read.
func (a *app) resolveOutcome(ctx context.Context, p *proposal, cause error, merge bool) (api.ChangeResult, error) {
	cause = unknownIfNoResponse(cause)
	if ExitCode(cause) != ExitOutcomeUnknown {
		return api.ChangeResult{}, cause
	}
	a.notef("the outcome of the change is unknown, reading the table again\n")
	for range resolveAttempts {
		callCtx, cancel := a.withCallTimeout(ctx)
		t, err := a.client.Table(callCtx, p.base+1)
		cancel()
		if err != nil {
			a.env.Sleep(ctx, resolveInterval)
			continue
		}
		stored, err := decodeTable(t.Table)
		switch {
		case err != nil:
			return api.ChangeResult{}, err
		case table.Diff(stored, p.proposed).Empty():
			return api.ChangeResult{Version: t.Version}, nil
		case !merge:
			return api.ChangeResult{}, &exitError{ExitConflict, fmt.Errorf("%s made version %d with different content; nothing was changed", t.Operator, p.base+1)}
		}
		break
	}
	return api.ChangeResult{}, fmt.Errorf("%w; look at \"boragegate table history\" before you apply again", cause)
}

// unknownIfNoResponse gives the error of a change that got no response the exit code
// ExitOutcomeUnknown. It returns other errors unchanged.
func unknownIfNoResponse(err error) error {
	if errors.Is(err, client.ErrNoResponse) {
		return &exitError{ExitOutcomeUnknown, fmt.Errorf("it is unknown whether the change was made: %w", err)}
	}
	return err
}

// reportChange prints an accepted change and, with --wait, waits until it is active
// on all instances.
func (a *app) reportChange(ctx context.Context, result api.ChangeResult, err error, f changeFlags) error {
	if err != nil {
		return err
	}
	version := result.Version.Version
	if !f.wait {
		if a.jsonOutput() {
			return a.printJSON(result)
		}
		return a.printf("%s\n", acceptedText(result))
	}
	a.notef("%s\n", acceptedText(result))
	return a.wait(ctx, version, f.timeout)
}

func acceptedText(result api.ChangeResult) string {
	switch {
	case result.Unchanged:
		return fmt.Sprintf("version %d has this content already, nothing was changed", result.Version.Version)
	case result.Action == "merge":
		return fmt.Sprintf("version %d accepted, merged with changes of others", result.Version.Version)
	default:
		return fmt.Sprintf("version %d accepted", result.Version.Version)
	}
}

func (a *app) rollbackCommand() *cobra.Command {
	var f changeFlags
	cmd := &cobra.Command{
		Use:   "rollback VERSION",
		Short: "Make the content of an older version the new table",
		Long: `Make a new version with the content of an older one. The version itself only
rises, so instances never go back to an older version.`,
		Example: "  boragegate table rollback 41 --wait --comment \"rack 14 has no cooling\"",
		Args:    exactArgs(1, "one version"),
		RunE: func(cmd *cobra.Command, args []string) error {
			to, err := parseVersion(args[0])
			if err != nil {
				return err
			}
			return a.rollback(cmd.Context(), to, f)
		},
	}
	f.register(cmd)
	return cmd
}

func (a *app) rollback(ctx context.Context, to uint64, f changeFlags) error {
	if err := a.connect(); err != nil {
		return err
	}
	p := &proposal{}
	var err error
	if p.current, err = a.currentTable(ctx); err != nil {
		return err
	}
	p.base = p.currentVersion()
	callCtx, cancel := a.withCallTimeout(ctx)
	defer cancel()
	restored, err := a.client.Table(callCtx, to)
	if err != nil {
		return err
	}
	if p.proposed, err = decodeTable(restored.Table); err != nil {
		return err
	}
	if err := a.confirmChanges(p.changes(), f.yes); err != nil {
		return err
	}
	result, err := a.client.Rollback(callCtx, api.RollbackRequest{To: to, Base: p.base, Comment: f.comment})
	if err != nil {
		result, err = a.resolveOutcome(ctx, p, err, false)
	}
	return a.reportChange(ctx, result, err, f)
}
