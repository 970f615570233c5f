package cli

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/boragegate/boragegate/internal/operator/api"
	"github.com/boragegate/boragegate/internal/operator/client"
)

// show requests a path and prints the response, as JSON or with printText.
func show[T any](a *app, cmd *cobra.Command, path string, query url.Values, printText func(T) error) error {
	if err := a.connect(); err != nil {
		return err
	}
	ctx, cancel := a.withCallTimeout(cmd.Context())
	defer cancel()
	v, err := client.Get[T](ctx, a.client, path, query)
	if err != nil {
		return err
	}
	if a.jsonOutput() {
		return a.printJSON(v)
	}
	return printText(v)
}

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show the state of the instance that answers",
		Example: "  boragegate status\n  boragegate --address 10.0.0.2:7004 status -o json",
		Args:    exactArgs(0, "no arguments"),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return show(a, cmd, api.PathStatus, nil, a.printStatus)
		},
	}
}

func (a *app) printStatus(s api.Status) error {
	confirmed := "never confirmed"
	if s.TableConfirmedMS >= 0 {
		confirmed = "confirmed " + formatAge(s.TableConfirmedMS) + " ago"
	}
	lines := [][2]string{
		{"instance", s.Instance},
		{"zone", s.Zone},
		{"cell", fmt.Sprintf("%s, %d members, planner %s", s.Cell, s.Members, s.Planner)},
		{"release", s.Release},
		{"started", s.Started.UTC().Format(time.RFC3339)},
		{"takes requests", a.yesOrWarning(s.Ready, s.Reason)},
		{"in contact", a.yesOrWarning(s.InContact, "does not reach a majority of its cell")},
		{"table", fmt.Sprintf("version %d, %s", s.TableVersion, confirmed)},
		{"store", a.yesOrWarning(s.StoreAvailable, s.StoreError)},
		{"provisional", strings.Join(s.Provisional, " ")},
		{"controls", strings.Join(s.Controls, " ")},
	}
	for _, l := range lines {
		if l[1] == "" {
			l[1] = "none"
		}
		if err := a.printf("%-15s %s\n", l[0], l[1]); err != nil {
			return err
		}
	}
	return nil
}

func (a *app) yesOrWarning(ok bool, reason string) string {
	if ok {
		return "yes"
	}
	return a.highlight("no: " + reason)
}

func (a *app) instancesCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "instances",
		Short:   "Show all instances as the answering one knows them",
		Example: "  boragegate instances\n  boragegate instances forget i3 i5 --yes",
		Args:    exactArgs(0, "no arguments"),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return show(a, cmd, api.PathInstances, nil, a.printInstances)
		},
	}
	cmd.AddCommand(a.forgetCommand())
	return cmd
}

func (a *app) printInstances(list []api.Instance) error {
	g := &grid{header: []string{"INSTANCE", "ZONE", "STATE", "PLANNER", "CONTROLS", "TABLE", "HEARD", "PEER ADDRESS", "REASON"}}
	for _, in := range list {
		heard := "never"
		if in.LastHeardMS >= 0 {
			heard = formatAge(in.LastHeardMS)
		}
		planner := ""
		if in.Planner {
			planner = "yes"
		}
		g.add(text(in.ID), text(in.Zone), highlightIf(in.State != "member", text(in.State)), text(planner), number(in.Controls),
			number(in.TableVersion), cell{text: heard, right: true}, text(in.PeerAddress), highlightIf(true, text(in.Reason)))
	}
	return a.printGrid(g)
}

func (a *app) forgetCommand() *cobra.Command {
	var yes bool
	cmd := &cobra.Command{
		Use:   "forget INSTANCE...",
		Short: "Remove lost instances from the cell after a majority was lost for good",
		Long: `Remove instances from the cell record. This overrides the majority rule: use it
only when a majority of a cell was lost for good and the named instances have
stopped. While a named instance still runs, keys could be owned twice.`,
		Example: "  boragegate instances forget i3 i5",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usagef("expected the instances to forget")
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := a.connect(); err != nil {
				return err
			}
			if err := a.confirm(yes, "this removes "+strings.Join(args, " ")+" from the cell, they must have stopped for good"); err != nil {
				return err
			}
			ctx, cancel := a.withCallTimeout(cmd.Context())
			defer cancel()
			if err := a.client.Forget(ctx, api.ForgetRequest{Instances: args}); err != nil {
				return unknownIfNoResponse(err)
			}
			if a.jsonOutput() {
				return a.printJSON(api.ForgetRequest{Instances: args})
			}
			return a.printf("removed %s\n", strings.Join(args, " "))
		},
	}
	cmd.Flags().BoolVar(&yes, "yes", false, "do not ask")
	return cmd
}
