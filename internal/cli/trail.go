package cli

import (
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/boragegate/boragegate/internal/operator/api"
)

func (a *app) eventsCommand() *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:     "events",
		Short:   "Show recent events of the instance that answers, newest first",
		Example: "  boragegate events --limit 20",
		Args:    exactArgs(0, "no arguments"),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return show(a, cmd, api.PathEvents, url.Values{"limit": {strconv.Itoa(limit)}}, func(list []api.Event) error {
				g := &grid{header: []string{"TIME", "EVENT", "FIELDS"}}
				for _, e := range list {
					g.add(text(formatTime(e.Time)), text(e.Event), text(formatFields(e.Fields)))
				}
				return a.printGrid(g)
			})
		},
	}
	cmd.Flags().IntVar(&limit, "limit", defaultListEntries, "number of events")
	return cmd
}

// defaultListEntries is the number of entries that lists show.
const defaultListEntries = 50

func (a *app) auditCommand() *cobra.Command {
	var limit int
	var before uint64
	cmd := &cobra.Command{
		Use:     "audit",
		Short:   "Show the audit trail, newest first",
		Example: "  boragegate audit --limit 20\n  boragegate audit --before 1200 -o json",
		Args:    exactArgs(0, "no arguments"),
		RunE: func(cmd *cobra.Command, _ []string) error {
			query := url.Values{"limit": {strconv.Itoa(limit)}, "before": {strconv.FormatUint(before, 10)}}
			return show(a, cmd, api.PathAudit, query, func(list []api.AuditEntry) error {
				g := &grid{header: []string{"SEQUENCE", "TIME", "INSTANCE", "OPERATOR", "EVENT", "FIELDS"}}
				for _, e := range list {
					g.add(number(e.Sequence), text(formatTime(e.Time)), text(e.Instance), text(e.Operator), text(e.Event), text(formatFields(e.Fields)))
				}
				return a.printGrid(g)
			})
		},
	}
	cmd.Flags().IntVar(&limit, "limit", defaultListEntries, "number of entries")
	cmd.Flags().Uint64Var(&before, "before", 0, "only entries with a lower sequence")
	return cmd
}

func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02T15:04:05.000Z") }

func formatAge(ms int64) string { return strconv.FormatFloat(float64(ms)/1000, 'f', 1, 64) + "s" }

// formatFields formats key=value pairs ordered by key.
func formatFields(m map[string]string) string {
	pairs := make([]string, 0, len(m))
	for k, v := range m {
		if strings.ContainsAny(v, " \"\n") {
			v = strconv.Quote(v)
		}
		pairs = append(pairs, k+"="+v)
	}
	slices.Sort(pairs)
	return strings.Join(pairs, " ")
}
