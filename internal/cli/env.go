package cli

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/mattn/go-isatty"
)

// Env is the part of the process environment that the commands use. Tests replace it.
type Env struct {
	In       io.Reader
	Out, Err io.Writer
	// Environ holds the environment variables, in the form of os.Environ.
	Environ []string
	// Interactive reports whether In and Out are terminals, so that the commands can ask
	// for confirmation.
	Interactive bool
	// Color reports whether Out shows ANSI colours.
	Color bool
	// ConfigFile is the default settings file; it may be missing.
	ConfigFile string
	Now        func() time.Time
	// Sleep waits until the duration has elapsed or the context is done.
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
