// Command boragegated is the daemon of boragegate.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/boragegate/boragegate/internal/demo"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:          "boragegated",
		Short:        "Router for servers that own keys exclusively",
		SilenceUsage: true,
	}
	root.AddCommand(demo.Command())
	if err := root.ExecuteContext(ctx); err != nil {
		return 1
	}
	return 0
}
