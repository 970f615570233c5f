package daemon

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/boragegate/boragegate"
	"github.com/boragegate/boragegate/internal/logging"
	"github.com/boragegate/boragegate/internal/mtls"
	"github.com/boragegate/boragegate/internal/settings"
	"github.com/boragegate/boragegate/internal/standard"
	"github.com/boragegate/boragegate/store"
)

// SettingsOptions returns the options that check settings against the registered modules.
func SettingsOptions() settings.Options {
	return settings.Options{StoreModules: boragegate.Modules("store"), CheckStore: checkStore}
}

// checkStore checks the store settings by loading the store module, which opens no connection.
func checkStore(s settings.Store) error {
	store, err := boragegate.LoadAs[store.Store](context.Background(), s.Module, s.Config)
	if err != nil {
		return err
	}
	return boragegate.Unload(store)
}

// Command returns the command "run FILE", which runs an instance until the context of the
// command ends and then stops it gracefully. The release is the version of the program.
func Command(release string) *cobra.Command {
	var overrides []string
	cmd := &cobra.Command{
		Use:   "run FILE",
		Short: "Run an instance with a settings file",
		Long: "Runs an instance until it is interrupted, and then stops it without cutting off a request.\n" +
			"Environment variables BORAGEGATED_* override the file, and flags --set override both.",
		Example: "  boragegated run /etc/boragegate/settings.jsonc\n  boragegated run settings.jsonc --set instance=entry-3",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := settings.LoadDaemon(args[0], os.Environ(), overrides, SettingsOptions())
			if err != nil {
				return err
			}
			return runInstance(cmd.Context(), s, release)
		},
	}
	cmd.Flags().StringArrayVar(&overrides, "set", nil, "setting as path=value, for example zone=pest; overrides file and environment")
	return cmd
}

func runInstance(ctx context.Context, s *settings.Daemon, release string) error {
	log := logging.New(logging.Options{Out: os.Stderr, Level: s.Log.Level, EventsPerSecond: s.Log.EventsPerSecond})
	defer log.Close()
	o, err := newOptions(ctx, s, log)
	if err != nil {
		return err
	}
	o.Release = release
	i, err := New(o)
	if err != nil {
		return err
	}
	if err := i.Start(ctx); err != nil {
		return err
	}
	log.Info().Str("event", "instance.started").Str("instance", s.Instance).Str("release", release).
		Str("caller_address", i.CallerAddress()).Str("operator_address", i.OperatorAddress()).Send()
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), time.Duration(s.Timeouts.Shutdown))
	defer cancel()
	return i.Stop(stopCtx)
}

// newOptions loads the store and placement modules and converts settings to the options of
// an instance.
func newOptions(ctx context.Context, s *settings.Daemon, log *logging.Log) (Options, error) {
	store, err := boragegate.LoadAs[store.Store](ctx, s.Store.Module, s.Store.Config)
	if err != nil {
		return Options{}, fmt.Errorf("load store module: %w", err)
	}
	policy, err := boragegate.LoadAs[standard.PolicyFactory](ctx, standard.DefaultPlacement, nil)
	if err != nil {
		return Options{}, eris.Wrap(err, "load placement policy module")
	}
	operators, err := s.OperatorTokens()
	if err != nil {
		return Options{}, err
	}
	return Options{
		ID: s.Instance, Zone: s.Zone, Cell: s.Cell,
		Listen: Addresses(s.Listen), Advertise: Addresses(s.Advertise),
		Store: store, Policy: policy,
		Plain: s.TLS.Internal.Mode == settings.ModePlain, InternalTLS: tlsFiles(s.TLS.Internal),
		CallerTLS: tlsFiles(s.TLS.Caller), OperatorTLS: tlsFiles(s.TLS.Operator),
		BalancerDelay: time.Duration(s.Timeouts.BalancerLag),
		Timeouts: Timeouts{
			Store: time.Duration(s.Timeouts.Store), ReadHeader: time.Duration(s.Timeouts.ReadHeader),
			Idle: time.Duration(s.Timeouts.Idle), ClockSkew: time.Duration(s.Timeouts.ClockSkew),
			IdempotencyRetention: time.Duration(s.Timeouts.IdempotencyRetention),
		},
		Logger: log.Logger, RecentEvents: log.Recent, Operators: operators, KnownZones: s.KnownZones,
	}, nil
}

// tlsFiles returns the certificate, key and CA files of a listener, or none in plain mode.
func tlsFiles(t settings.TLS) mtls.Files {
	if t.Mode == settings.ModePlain {
		return mtls.Files{}
	}
	return mtls.Files{Certificate: t.CertFile, Key: t.KeyFile, Authority: t.CAFile}
}
