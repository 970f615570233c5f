package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/boragegate/boragegate/internal/operator/api"
	"github.com/boragegate/boragegate/table"
)

func (a *app) tableCommand() *cobra.Command {
	cmd := commandGroup(&cobra.Command{
		Use:   "table",
		Short: "Read, check, change and roll back the table",
		Example: `  boragegate table get > table.jsonc
  boragegate table diff table.jsonc
  boragegate table apply table.jsonc --wait`,
	})
	cmd.AddCommand(a.getCommand(), a.checkCommand(), a.diffCommand(), a.applyCommand(), a.editCommand(),
		a.historyCommand(), a.rollbackCommand(), a.waitCommand())
	return cmd
}

func (a *app) getCommand() *cobra.Command {
	var version uint64
	var format string
	cmd := &cobra.Command{
		Use:   "get",
		Short: "Print the table",
		Long: `Print the current table or an older version. The text is a file for "table apply":
its version field says which version your change is based on. With --format csv
the rows are printed for a spreadsheet.`,
		Example: "  boragegate table get > table.jsonc\n  boragegate table get --version 7\n  boragegate table get --format csv > rows.csv",
		Args:    exactArgs(0, "no arguments"),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if format != "jsonc" && format != "csv" {
				return usagef("unknown format %q, expected jsonc or csv", format)
			}
			if err := a.connect(); err != nil {
				return err
			}
			ctx, cancel := a.withCallTimeout(cmd.Context())
			defer cancel()
			t, err := a.client.Table(ctx, version)
			if err != nil {
				return err
			}
			return a.printTable(t, format)
		},
	}
	cmd.Flags().Uint64Var(&version, "version", 0, "print this version instead of the current one")
	cmd.Flags().StringVar(&format, "format", "jsonc", "jsonc for the whole table, csv for the rows")
	return cmd
}

func (a *app) printTable(t api.Table, format string) error {
	if a.jsonOutput() {
		return a.printJSON(t)
	}
	decoded, err := decodeTable(t.Table)
	if err != nil {
		return err
	}
	if format == "csv" {
		return table.WriteCSV(a.env.Out, decoded.Rows)
	}
	b, err := table.Encode(decoded)
	if err != nil {
		return err
	}
	return a.printf("%s", b)
}

// decodeTable reads a table that an instance sent. It is not checked: an older
// version may break a rule of this release.
func decodeTable(raw json.RawMessage) (*table.Table, error) {
	var t table.Table
	if err := json.Unmarshal(raw, &t); err != nil {
		return nil, fmt.Errorf("decode table: %w", err)
	}
	return &t, nil
}

func (a *app) checkCommand() *cobra.Command {
	var offline bool
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a file without changing anything",
		Long: `Check a table in JSON with comments, or rows in a file whose name ends in .csv.
All findings are printed with their place. Without --offline the file is also
checked against the current table. "-" reads standard input.`,
		Example: "  boragegate table check table.jsonc\n  boragegate table check --offline table.jsonc",
		Args:    exactArgs(1, "one file"),
		RunE: func(cmd *cobra.Command, args []string) error {
			var err error
			if offline {
				err = a.checkOffline(args[0])
			} else {
				_, err = a.proposalFromFile(cmd.Context(), args[0], 0)
			}
			if err != nil {
				return err
			}
			if a.jsonOutput() {
				return a.printJSON(map[string]any{"file": args[0], "findings": []string{}})
			}
			return a.printf("%s: no findings\n", args[0])
		},
	}
	cmd.Flags().BoolVar(&offline, "offline", false, "check the file alone, without an instance")
	return cmd
}

func (a *app) diffCommand() *cobra.Command {
	var from, to uint64
	cmd := &cobra.Command{
		Use:   "diff [FILE]",
		Short: "Show what a file would change, or what changed between two versions",
		Long: `Show the changes from the current table to a file, or between the versions
--from and --to. Each service whose capacity changes has a line with the share
of its slots that is taken away.`,
		Example: "  boragegate table diff table.jsonc\n  boragegate table diff --from 6 --to 7",
		Args:    maxArgs(1, "at most one file"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if (len(args) == 1) == (from > 0 || to > 0) {
				return usagef("expected either a file or --from and --to")
			}
			var changes table.Changes
			var err error
			if len(args) == 1 {
				var p *proposal
				if p, err = a.proposalFromFile(cmd.Context(), args[0], 0); err == nil {
					changes = p.changes()
				}
			} else {
				changes, err = a.diffVersions(cmd, from, to)
			}
			if err != nil {
				return err
			}
			if a.jsonOutput() {
				return a.printJSON(changes)
			}
			return a.printf("%s", changes)
		},
	}
	cmd.Flags().Uint64Var(&from, "from", 0, "older version")
	cmd.Flags().Uint64Var(&to, "to", 0, "newer version; 0 is the current one")
	return cmd
}

func (a *app) diffVersions(cmd *cobra.Command, from, to uint64) (table.Changes, error) {
	if from == 0 {
		return table.Changes{}, usagef("--to needs --from")
	}
	if err := a.connect(); err != nil {
		return table.Changes{}, err
	}
	ctx, cancel := a.withCallTimeout(cmd.Context())
	defer cancel()
	var tables [2]*table.Table
	for i, v := range []uint64{from, to} {
		t, err := a.client.Table(ctx, v)
		if err != nil {
			return table.Changes{}, err
		}
		if tables[i], err = decodeTable(t.Table); err != nil {
			return table.Changes{}, err
		}
	}
	return table.Diff(tables[0], tables[1]), nil
}

func (a *app) historyCommand() *cobra.Command {
	var limit int
	var before uint64
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "Show the versions of the table, newest first",
		Example: "  boragegate table history --limit 10",
		Args:    exactArgs(0, "no arguments"),
		RunE: func(cmd *cobra.Command, _ []string) error {
			query := url.Values{"limit": {strconv.Itoa(limit)}, "before": {strconv.FormatUint(before, 10)}}
			return show(a, cmd, api.PathHistory, query, func(list []api.Version) error {
				g := &grid{header: []string{"VERSION", "TIME", "OPERATOR", "ACTION", "COMMENT"}}
				for _, v := range list {
					action := v.Action
					if v.From > 0 {
						action += fmt.Sprintf(" to %d", v.From)
					}
					g.add(number(v.Version), text(formatTime(v.Time)), text(v.Operator), text(action), text(v.Comment))
				}
				return a.printGrid(g)
			})
		},
	}
	cmd.Flags().IntVar(&limit, "limit", defaultHistoryEntries, "number of versions, at most 100")
	cmd.Flags().Uint64Var(&before, "before", 0, "only versions below this one")
	return cmd
}

// defaultHistoryEntries is the number of versions that history shows; each is one read of the store.
const defaultHistoryEntries = 20

// encodeCompact is the form in which a table is sent.
func encodeCompact(t *table.Table) (json.RawMessage, error) {
	b, err := table.Encode(t)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	if err := json.Compact(&out, b); err != nil {
		return nil, fmt.Errorf("encode table: %w", err)
	}
	return out.Bytes(), nil
}
