package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/boragegate/boragegate/finding"
	"github.com/boragegate/boragegate/internal/operator/api"
	"github.com/boragegate/boragegate/internal/operator/client"
	"github.com/boragegate/boragegate/table"
)

// Exit codes.
const (
	// ExitOK means that the command succeeded.
	ExitOK = iota
	// ExitError means an error without an exit code of its own.
	ExitError
	// ExitUsage means wrong arguments or flags.
	ExitUsage
	// ExitConflict means that the change conflicts with another operator's change. Nothing was changed.
	ExitConflict
	// ExitNotActive means that a version was accepted, but was not active on all instances before the timeout.
	ExitNotActive
	// ExitFindings means that a file, a table or the settings have findings. Nothing was changed.
	ExitFindings
	// ExitOutcomeUnknown means that the change may or may not have been made.
	ExitOutcomeUnknown
	// ExitNotConfirmed means that the operator did not confirm the change. Nothing was changed.
	ExitNotConfirmed
	// ExitUnavailable means that the instance could not be reached or its store is unavailable. Nothing was changed.
	ExitUnavailable
	// ExitRefused means that the token is missing or wrong, or that the instance has no
	// operators configured and therefore refuses all changes. Nothing was changed.
	ExitRefused
)

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error {
	return &exitError{ExitUsage, fmt.Errorf(format, args...)}
}

// ExitCode returns the exit code for an error that a command returned.
func ExitCode(err error) int {
	var (
		exit      *exitError
		list      finding.List
		conflicts table.Conflicts
		problem   *api.Problem
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &list):
		return ExitFindings
	case errors.As(err, &conflicts):
		return ExitConflict
	case errors.As(err, &problem):
		return problemExitCode(problem.Code)
	case errors.Is(err, client.ErrUnreachable):
		return ExitUnavailable
	default:
		return ExitError
	}
}

func problemExitCode(code api.Code) int {
	switch code {
	case api.CodeConflict:
		return ExitConflict
	case api.CodeFindings:
		return ExitFindings
	case api.CodeOutcomeUnknown:
		return ExitOutcomeUnknown
	case api.CodeUnavailable:
		return ExitUnavailable
	case api.CodeUnauthorized, api.CodeForbidden:
		return ExitRefused
	default:
		return ExitError
	}
}

// Execute runs a root command such as that of New and returns the exit code. It prints
// an error to the error output, as JSON if the flag --output, or the settings if they have
// been read, select JSON.
func Execute(cmd *cobra.Command) int {
	executed, err := cmd.ExecuteC()
	if err == nil {
		return ExitOK
	}
	code := ExitCode(err)
	if f := executed.Flag("output"); f != nil && f.Value.String() == outputJSON {
		b, _ := json.Marshal(failureOf(err, code))
		_, _ = fmt.Fprintln(cmd.ErrOrStderr(), string(b))
		return code
	}
	_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "%s: %s\n", cmd.Name(), strings.TrimSuffix(err.Error(), "\n"))
	if code == ExitUsage {
		_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "See %q.\n", executed.CommandPath()+" --help")
	}
	return code
}

// failure is the JSON form of an error that ends a command.
type failure struct {
	Error    string          `json:"error"`
	Exit     int             `json:"exit"`
	Findings finding.List    `json:"findings,omitempty"`
	Conflict *api.Conflict   `json:"conflict,omitempty"`
	Rows     table.Conflicts `json:"rows,omitempty"`
}

func failureOf(err error, code int) failure {
	f := failure{Error: err.Error(), Exit: code}
	errors.As(err, &f.Findings)
	errors.As(err, &f.Rows)
	var p *api.Problem
	if errors.As(err, &p) {
		f.Findings, f.Conflict = p.Findings, p.Conflict
	}
	return f
}
