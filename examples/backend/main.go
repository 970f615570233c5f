// Command backend is a sample backend server for boragegate.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/boragegate/boragegate/examples/backend/server"
)

// shutdownTimeout is the time that requests in flight have to finish at a graceful stop.
const shutdownTimeout = 30 * time.Second

func main() { os.Exit(execute()) }

func execute() int {
	var cfg server.Config
	var listen string
	cmd := &cobra.Command{
		Use:     "backend",
		Short:   "Run a sample backend server",
		Example: "  go run ./examples/backend --listen 127.0.0.1:9001 --service route --target r1",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.Context(), cfg, listen)
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:9001", "address to listen on")
	f.StringVar(&cfg.Service, "service", "route", "name of the service in the table")
	f.StringVar(&cfg.Target, "target", "r1", "name of the target in the table")
	f.IntVar(&cfg.Slots, "slots", 6, "number of requests that run concurrently")
	f.DurationVar(&cfg.WorkTime, "work", time.Millisecond, "processing time of each request")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := cmd.ExecuteContext(ctx); err != nil {
		return 1
	}
	return 0
}

func run(ctx context.Context, cfg server.Config, listen string) error {
	s := server.New(cfg)
	if err := s.Start(listen); err != nil {
		return err
	}
	fmt.Printf("listening on %s\n", s.Address())
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return s.Stop(stopCtx)
}
