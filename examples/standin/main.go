// Command standin runs a stand-in for the platform's object API, with which boragegate
// can be tried out on one machine. Objects are kept in memory only.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/boragegate/boragegate/store/memory"
	"github.com/boragegate/boragegate/store/standin"
)

const readHeaderTimeout = 5 * time.Second

func main() { os.Exit(execute()) }

func execute() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var listen string
	cmd := &cobra.Command{
		Use:     "standin",
		Short:   "Run a stand-in for the platform's object API",
		Example: "  go run ./examples/standin --listen 127.0.0.1:9900",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return serve(cmd.Context(), listen) },
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:9900", "address to listen on")
	if err := cmd.ExecuteContext(ctx); err != nil {
		return 1
	}
	return 0
}

func serve(ctx context.Context, listen string) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: standin.New(memory.New(memory.Options{})), ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	fmt.Printf("listening on %s\n", ln.Addr())
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
