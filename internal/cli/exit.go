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
	ExitOK = iota
	// ExitError is any error without a code of its own.
	ExitError
	// ExitUsage means wrong arguments or flags.
	ExitUsage
	// ExitConflict means that another operator's change came first. Nothing was changed.
	ExitConflict
	// ExitNotActive means that a version was accepted but is not in force everywhere in time.
	ExitNotActive
	// ExitFindings means that a file or a table has findings. Nothing was changed.
	ExitFindings
	// ExitOutcomeUnknown means that a change may or may not have been made.
	ExitOutcomeUnknown
	// ExitNotConfirmed means that a change was not confirmed. Nothing was changed.
	ExitNotConfirmed
	// ExitUnavailable means that the instance cannot be reached or that its store is down. Nothing was changed.
	ExitUnavailable
	// ExitRefused means that the token is missing, wrong or does not suffice. Nothing was changed.
	ExitRefused
)

// exitError gives an error its exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error {
	return &exitError{ExitUsage, fmt.Errorf(format, args...)}
}

// ExitCode returns the exit code for the error of a command.
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

// Execute runs a command made by New, reports its error and returns the exit code.
func Execute(cmd *cobra.Command) int {
	ran, err := cmd.ExecuteC()
	if err == nil {
		return ExitOK
	}
	code := ExitCode(err)
	if f := ran.Flag("output"); f != nil && f.Value.String() == outputJSON {
		b, _ := json.Marshal(failureOf(err, code))
		_, _ = fmt.Fprintln(cmd.ErrOrStderr(), string(b))
		return code
	}
	_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "%s: %s\n", cmd.Name(), strings.TrimSuffix(err.Error(), "\n"))
	if code == ExitUsage {
		_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "See %q.\n", ran.CommandPath()+" --help")
	}
	return code
}

// failure is the form of an error for scripts.
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
