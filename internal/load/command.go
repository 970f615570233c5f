package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"
)

// ErrMismatched means that responses did not belong to their requests, see
// Result.Mismatched.
var ErrMismatched = errors.New("responses that do not match their requests were received")

// Command returns the command "load". It writes the result to standard output as
// JSON and the progress to standard error.
func Command() *cobra.Command {
	var cfg Config
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send requests on a fixed schedule and measure the answers",
		Long: "Sends requests on a fixed schedule that does not wait for answers, checks that each\n" +
			"answer belongs to its request, and prints the result as JSON.",
		Example: "  boragegate load --url http://127.0.0.1:8080 --service route --rate 500 --duration 10s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			result, err := Run(cmd.Context(), cfg, cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			out := json.NewEncoder(cmd.OutOrStdout())
			out.SetIndent("", "  ")
			if err := out.Encode(result); err != nil {
				return err
			}
			if result.Mismatched > 0 {
				return fmt.Errorf("%w: %d", ErrMismatched, result.Mismatched)
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&cfg.URLs, "url", []string{"http://127.0.0.1:8080"}, "caller listeners, used in turn")
	f.StringVar(&cfg.Service, "service", "", "name of the service")
	f.StringVar(&cfg.Method, "method", "GET", "method of the requests")
	f.StringVar(&cfg.Path, "path", "/items/{key}/{n}", "path below the service; {key} and {n} are replaced")
	f.Float64Var(&cfg.Rate, "rate", 100, "requests per second")
	f.DurationVar(&cfg.Duration, "duration", 10*time.Second, "length of the schedule")
	f.IntVar(&cfg.Keys, "keys", 1000, "number of keys")
	f.Float64Var(&cfg.HotKeyFraction, "hot-share", 0, "share of the requests that go to one key")
	f.IntVar(&cfg.MaxOutstanding, "outstanding", 1000, "requests that may be open at a time")
	f.DurationVar(&cfg.Timeout, "timeout", time.Second, "deadline of each request")
	f.BoolVar(&cfg.IdempotencyKeys, "idempotency", false, "send a new Idempotency-Key with each request")
	f.IntVar(&cfg.BodyBytes, "body", 0, "bytes of each request body")
	f.Uint64Var(&cfg.Seed, "seed", 1, "seed of the sequence of keys")
	_ = cmd.MarkFlagRequired("service") // fails only for a flag that does not exist
	return cmd
}
