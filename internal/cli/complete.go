package cli

import (
	"strings"

	"github.com/spf13/cobra"

	"github.com/boragegate/boragegate/table"
)

// completeService completes the first argument with names of services. It asks
// the instance and proposes nothing if that fails.
func (a *app) completeService(cmd *cobra.Command, args []string, prefix string) ([]string, cobra.ShellCompDirective) {
	return a.complete(cmd, args, prefix, func(t *table.Table) []string {
		var names []string
		for _, s := range t.Services {
			names = append(names, s.Name)
		}
		return names
	})
}

// completeEntry completes the first argument with names of services and rows.
func (a *app) completeEntry(cmd *cobra.Command, args []string, prefix string) ([]string, cobra.ShellCompDirective) {
	return a.complete(cmd, args, prefix, func(t *table.Table) []string {
		var names []string
		for _, s := range t.Services {
			names = append(names, s.Name)
		}
		for _, r := range t.Rows {
			names = append(names, r.ID())
		}
		return names
	})
}

func (a *app) complete(cmd *cobra.Command, args []string, prefix string, names func(*table.Table) []string) ([]string, cobra.ShellCompDirective) {
	if len(args) > 0 || a.connect() != nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	t, err := a.currentTable(cmd.Context())
	if err != nil || t == nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	var list []string
	for _, n := range names(t) {
		if strings.HasPrefix(n, prefix) {
			list = append(list, n)
		}
	}
	return list, cobra.ShellCompDirectiveNoFileComp
}
