package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/boragegate/boragegate/internal/settings"
)

// NewDaemonCheckCommand returns the command "check FILE" of the daemon: it reports
// everything that is wrong with a settings file, with its place, and starts nothing.
func NewDaemonCheckCommand(o settings.Options) *cobra.Command {
	var set []string
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file without starting anything",
		Long: `Check a settings file together with the environment variables BORAGEGATED_* and
the flags --set. All findings are printed with their place; the exit code is 5
if there are any.`,
		Example: "  boragegated check /etc/boragegate/settings.jsonc\n  boragegated check settings.jsonc --set log.level=debug",
		Args:    exactArgs(1, "one settings file"),
		RunE: func(cmd *cobra.Command, args []string) error {
			d, err := settings.LoadDaemon(args[0], os.Environ(), set, o)
			if err != nil {
				return err
			}
			if _, err := d.OperatorTokens(); err != nil {
				return &exitError{ExitFindings, err}
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: no findings, instance %s in zone %s\n", args[0], d.Instance, d.Zone)
			return err
		},
	}
	cmd.Flags().StringArrayVar(&set, "set", nil, "setting as path=value, for example zone=pest; overrides file and environment")
	return cmd
}
