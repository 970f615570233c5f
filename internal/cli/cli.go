// Package cli implements the commands of boragegate, the operators' command-line
// tool, and the check command of the daemon.
//
// Commands print aligned text, or JSON for scripts. Their exit codes are the Exit
// constants.
package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/boragegate/boragegate/internal/operator/client"
	"github.com/boragegate/boragegate/internal/settings"
)

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// configVariable is the environment variable with the path of the settings file.
const configVariable = settings.ToolEnvPrefix + "CONFIG"

// app is the state that the commands of one invocation share.
type app struct {
	env     Env
	version string

	// Flags.
	address, tokenFile, output, config string

	// settings is set by loadSettings, client by connect.
	settings *settings.Tool
	client   *client.Client
}

// New returns the root command boragegate; version is the release that it reports.
// Callers may add subcommands and run it with Execute.
func New(version string) *cobra.Command { return NewWithEnv(version, processEnv()) }

// NewWithEnv is like New, with the given environment instead of that of the process.
func NewWithEnv(version string, env Env) *cobra.Command {
	a := &app{env: env, version: version}
	root := commandGroup(&cobra.Command{
		Use:   "boragegate",
		Short: "Edit the table of boragegate and watch the change take effect",
		Long: `boragegate edits the table of services and targets and shows the state of the
instances. It talks to the operator listener of any instance.

Settings come from the settings file, from environment variables such as
BORAGEGATE_ADDRESS, and from flags; later ones override earlier ones.

Exit codes: 0 ok, 1 error, 2 usage, 3 conflict with another operator's change,
4 accepted but not in force everywhere in time, 5 findings in a file or table,
6 outcome unknown, 7 not confirmed, 8 instance or store unavailable, 9 refused.
With codes 2, 3, 5, 7, 8 and 9 nothing was changed.`,
		Example: `  boragegate --address 10.0.0.1:7004 status
  boragegate table get > table.jsonc
  boragegate table apply table.jsonc --wait`,
		SilenceUsage:  true,
		SilenceErrors: true,
	})
	root.SetIn(env.In)
	root.SetOut(env.Out)
	root.SetErr(env.Err)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usagef("%w", err) })
	f := root.PersistentFlags()
	f.StringVar(&a.address, "address", "", "host:port of an instance's operator listener (default 127.0.0.1:7004)")
	f.StringVar(&a.tokenFile, "token-file", "", "file with your operator token")
	f.StringVarP(&a.output, "output", "o", "", "text for people, json for scripts (default text)")
	f.StringVar(&a.config, "config", "", "settings file")
	root.AddCommand(a.tableCommand(), a.statusCommand(), a.instancesCommand(), a.servicesCommand(),
		a.ownersCommand(), a.explainCommand(), a.eventsCommand(), a.auditCommand(), a.versionCommand())
	return root
}

// commandGroup configures a command that only has subcommands. Without arguments it
// prints its help; an unknown subcommand is a usage error with suggestions.
func commandGroup(cmd *cobra.Command) *cobra.Command {
	cmd.Args = cobra.ArbitraryArgs
	cmd.RunE = func(c *cobra.Command, args []string) error {
		if len(args) == 0 {
			return c.Help()
		}
		hint := ""
		if suggestions := c.SuggestionsFor(args[0]); len(suggestions) > 0 {
			hint = fmt.Sprintf(", did you mean %q?", strings.Join(suggestions, `" or "`))
		}
		return usagef("unknown command %q for %q%s", args[0], c.CommandPath(), hint)
	}
	cmd.SuggestionsMinimumDistance = 2
	return cmd
}

// exactArgs returns a check that there are exactly n arguments. expected describes them
// in the error.
func exactArgs(n int, expected string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != n {
			return usagef("expected %s, got %d arguments", expected, len(args))
		}
		return nil
	}
}

// maxArgs returns a check that there are at most n arguments. expected describes them in
// the error.
func maxArgs(n int, expected string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) > n {
			return usagef("expected %s, got %d arguments", expected, len(args))
		}
		return nil
	}
}

// loadSettings reads the settings if they have not been read yet. A settings file that
// is named by the flag or the environment must exist; the default one is optional.
func (a *app) loadSettings() error {
	if a.settings != nil {
		return nil
	}
	if a.output != "" && a.output != outputText && a.output != outputJSON {
		return usagef("unknown output %q, expected text or json", a.output)
	}
	path, optional := a.env.ConfigFile, true
	environ := make([]string, 0, len(a.env.Environ))
	for _, e := range a.env.Environ {
		if name, value, _ := strings.Cut(e, "="); name == configVariable {
			path, optional = value, false
			continue
		}
		environ = append(environ, e)
	}
	if a.config != "" {
		path, optional = a.config, false
	}
	var flags []settings.Override
	for _, f := range []settings.Override{
		{Origin: "flag --address", Path: "address", Value: a.address},
		{Origin: "flag --token-file", Path: "token_file", Value: a.tokenFile},
		{Origin: "flag --output", Path: "output", Value: a.output},
	} {
		if f.Value != "" {
			flags = append(flags, f)
		}
	}
	s, err := settings.LoadTool(path, optional, environ, flags)
	if err != nil {
		return err
	}
	a.settings, a.output = s, s.Output
	return nil
}

// connect reads the settings and the token, and creates the client.
func (a *app) connect() error {
	if err := a.loadSettings(); err != nil {
		return err
	}
	token := ""
	if a.settings.TokenFile != "" {
		var err error
		if token, err = settings.ReadToken(a.settings.TokenFile); err != nil {
			return err
		}
	}
	// The address is an IP address within the platform, so no proxy is used.
	transport := &http.Transport{TLSHandshakeTimeout: time.Duration(a.settings.Timeout)}
	scheme := "http://"
	if a.settings.TLS.Mode == settings.ModeFiles {
		scheme = "https://"
		c, err := clientTLS(a.settings.TLS)
		if err != nil {
			return err
		}
		transport.TLSClientConfig = c
	}
	a.client = client.New(scheme+a.settings.Address, token, &http.Client{Transport: transport})
	return nil
}

func clientTLS(t settings.TLS) (*tls.Config, error) {
	pem, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, fmt.Errorf("read tls.ca_file: %w", err)
	}
	c := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: x509.NewCertPool()}
	if !c.RootCAs.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("tls.ca_file %s has no certificates", t.CAFile)
	}
	if t.CertFile != "" {
		cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("read tls.cert_file and tls.key_file: %w", err)
		}
		c.Certificates = []tls.Certificate{cert}
	}
	return c, nil
}

// withCallTimeout returns a context with the timeout of one API call.
func (a *app) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(a.settings.Timeout))
}

func (a *app) jsonOutput() bool { return a.output == outputJSON }

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the release of this tool",
		Example: "  boragegate version -o json",
		Args:    exactArgs(0, "no arguments"),
		RunE: func(*cobra.Command, []string) error {
			if a.output == outputJSON {
				return a.printJSON(map[string]string{"version": a.version, "go": runtime.Version()})
			}
			return a.printf("boragegate %s\n", a.version)
		},
	}
}
