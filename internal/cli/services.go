package cli

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"github.com/boragegate/boragegate/internal/operator/api"
)

func (a *app) servicesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "services [SERVICE]",
		Short: "Show services and targets with load against weight",
		Long: `Show services and targets as the instance that answers knows them. The state of a
target is known to its controller, pending moves to the planner of the cell; other
instances show unknown and 0. "boragegate instances" names the planner.`,
		Example:           "  boragegate services\n  boragegate services route -o json",
		Args:              maxArgs(1, "at most one service"),
		ValidArgsFunction: a.completeService,
		RunE: func(cmd *cobra.Command, args []string) error {
			query := url.Values{}
			if len(args) == 1 {
				query.Set("service", args[0])
			}
			return show(a, cmd, api.PathServices, query, a.printServices)
		},
	}
}

func (a *app) printServices(list []api.Service) error {
	if len(list) == 0 {
		return a.printf("the instance has no services: no table is in force yet\n")
	}
	for i, s := range list {
		if i > 0 {
			if err := a.printf("\n"); err != nil {
				return err
			}
		}
		state := "all owned"
		if s.Unowned > 0 {
			state = a.highlight(fmt.Sprintf("%d without an owner", s.Unowned))
		}
		provisional := ""
		if s.Provisional {
			provisional = a.highlight(" (provisional)")
		}
		if err := a.printf("service %s: %d partitions, %s, %d moves pending, imbalance %.2f%s\n",
			s.Name, s.Partitions, state, s.Moves, s.Imbalance, provisional); err != nil {
			return err
		}
		if err := a.printTargets(s.Targets); err != nil {
			return err
		}
	}
	return nil
}

func (a *app) printTargets(targets []api.Target) error {
	g := &grid{header: []string{"TARGET", "ZONE", "ADDRESS", "STATE", "WEIGHT", "LOAD", "USED", "SLOTS", "QUEUED", "PARTITIONS", "CONTROLLER", "TERM"}}
	for _, t := range targets {
		g.add(text(t.Name), text(t.Zone), text(t.Address), highlightIf(t.State != "held" && t.State != "unknown", text(t.State)), percent(t.WeightShare),
			percent(t.LoadShare), number(t.InUse), number(t.Slots), number(t.Queued), number(t.Partitions), text(t.Controller), number(t.Term))
	}
	return a.printGrid(g)
}

func (a *app) ownersCommand() *cobra.Command {
	return &cobra.Command{
		Use:               "owners SERVICE",
		Short:             "Show which target owns which partitions",
		Example:           "  boragegate owners route",
		Args:              exactArgs(1, "one service"),
		ValidArgsFunction: a.completeService,
		RunE: func(cmd *cobra.Command, args []string) error {
			return show(a, cmd, api.PathOwners, url.Values{"service": args}, a.printOwners)
		},
	}
}

func (a *app) printOwners(o api.Owners) error {
	provisional := ""
	if o.Provisional {
		provisional = a.highlight(", provisional: the store does not have it yet")
	}
	if err := a.printf("assignment %d of %s%s\n", o.Version, o.Service, provisional); err != nil {
		return err
	}
	g := &grid{header: []string{"FROM", "TO", "TARGET", "EPOCH"}}
	for _, r := range o.Ranges {
		target := text(r.Target)
		if r.Target == "" {
			target = highlightIf(true, text("none"))
		}
		g.add(number(r.From), number(r.To), target, number(r.Epoch))
	}
	if err := a.printGrid(g); err != nil || len(o.Pending) == 0 {
		return err
	}
	g = &grid{header: []string{"PENDING", "FROM", "TO", "REASON"}}
	for _, p := range o.Pending {
		g.add(number(p.Partition), text(p.From), text(p.To), text(p.Reason))
	}
	return a.printGrid(g)
}

func (a *app) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:               "explain SERVICE KEY",
		Short:             "Explain where a key goes and why",
		Example:           "  boragegate explain route district-7",
		Args:              exactArgs(2, "a service and a key"),
		ValidArgsFunction: a.completeService,
		RunE: func(cmd *cobra.Command, args []string) error {
			return show(a, cmd, api.PathExplain, url.Values{"service": {args[0]}, "key": {args[1]}}, a.printExplanation)
		},
	}
}

// targetState describes the state of a target. The state is unknown if the instance that
// handled the request does not control the target and has no report from its controller.
func targetState(e api.Explanation) string {
	if e.State == "unknown" {
		return fmt.Sprintf("the state of target %s is known to its controller only", e.Target)
	}
	return fmt.Sprintf("target %s is %s", e.Target, e.State)
}

func (a *app) printExplanation(e api.Explanation) error {
	lines := []string{
		fmt.Sprintf("key %q of service %s hashes to partition %d", e.Key, e.Service, e.Partition),
	}
	if e.Target == "" {
		lines = append(lines, a.highlight("the partition has no owner"))
	} else {
		lines = append(lines,
			fmt.Sprintf("partition %d is owned by target %s (%s, zone %s) since assignment %d", e.Partition, e.Target, e.Address, e.Zone, e.Epoch),
			targetState(e),
			fmt.Sprintf("requests go through instance %s (zone %s), controller with term %d", e.Controller, e.ControllerZone, e.Term))
	}
	if e.Provisional {
		lines = append(lines, a.highlight("the assignment is provisional: the store does not have it yet"))
	}
	if e.Pending != nil {
		lines = append(lines, fmt.Sprintf("a move to %s is pending: %s", e.Pending.To, e.Pending.Reason))
	}
	if e.Serving {
		lines = append(lines, "a request for the key can run now")
	} else {
		lines = append(lines, a.highlight("a request for the key cannot run now: "+e.Reason))
	}
	return a.printf("%s\n", strings.Join(lines, "\n"))
}
