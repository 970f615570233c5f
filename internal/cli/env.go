package cli

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/mattn/go-isatty"
)

// Env is what the commands use of the process. Tests replace it.
type Env struct {
	In       io.Reader
	Out, Err io.Writer
	// Environ are the environment variables as os.Environ returns them.
	Environ []string
	// Interactive says that a person sees Out and can answer on In.
	Interactive bool
	// Color says that Out shows colours.
	Color bool
	// ConfigFile is the settings file that is used if it exists and no other is named.
	ConfigFile string
	Now        func() time.Time
	// Sleep waits for the duration or the end of the context.
	Sleep func(ctx context.Context, d time.Duration)
}

// processEnv returns the environment of this process.
func processEnv() Env {
	e := Env{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Environ: os.Environ(),
		Now: time.Now, Sleep: sleep,
	}
	out := isatty.IsTerminal(os.Stdout.Fd())
	e.Interactive = out && isatty.IsTerminal(os.Stdin.Fd())
	e.Color = out && os.Getenv("NO_COLOR") == "" && os.Getenv("TERM") != "dumb"
	if dir, err := os.UserConfigDir(); err == nil {
		e.ConfigFile = filepath.Join(dir, "boragegate", "settings.jsonc")
	}
	return e
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
