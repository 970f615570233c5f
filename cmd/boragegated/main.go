// Command boragegated is the boragegate daemon. Its command demo runs a complete
// deployment in one process, and check validates a settings file.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/boragegate/boragegate/internal/cli"
	"github.com/boragegate/boragegate/internal/daemon"
	"github.com/boragegate/boragegate/internal/demo"
)

// version is the release that the program reports. Builds can set it with
// -ldflags "-X main.version=RELEASE".
var version = "devel"

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:           "boragegated",
		Short:         "Router for servers that own keys exclusively",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(daemon.Command(version), demo.Command(), cli.NewDaemonCheckCommand(daemon.SettingsOptions()))
	root.SetContext(ctx)
	return cli.Execute(root)
}
