package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/uptrace/bunrouter"

	"github.com/boragegate/boragegate/finding"
	"github.com/boragegate/boragegate/internal/operator/api"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table/tablestore"
)

var (
	errNotFound         = newProblem(http.StatusNotFound, api.CodeNotFound, "there is nothing at this path")
	errMethodNotAllowed = newProblem(http.StatusMethodNotAllowed, api.CodeMethodNotAllowed, "the path does not take this method")
	errUnauthorized     = newProblem(http.StatusUnauthorized, api.CodeUnauthorized, "an operator's token is needed")
	errNoOperators      = newProblem(http.StatusForbidden, api.CodeForbidden, "the settings of this instance name no operators, so nobody can make changes")
)

func newProblem(status int, code api.Code, detail string) *api.Problem {
	return &api.Problem{Title: http.StatusText(status), Status: status, Code: code, Detail: detail}
}

// sendProblems sends the error of a handler as a problem document.
func sendProblems(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, req bunrouter.Request) error {
		if err := next(w, req); err != nil {
			p := problemOf(err)
			w.Header().Set("Content-Type", api.ProblemContentType)
			w.WriteHeader(p.Status)
			return json.NewEncoder(w).Encode(p)
		}
		return nil
	}
}

func problemOf(err error) *api.Problem {
	var (
		p        *api.Problem
		list     finding.List
		conflict *tablestore.ConflictError
		unknown  *tablestore.OutcomeUnknownError
		tooLarge *http.MaxBytesError
	)
	switch {
	case errors.As(err, &p):
		return p
	case errors.As(err, &list):
		p = newProblem(http.StatusUnprocessableEntity, api.CodeFindings, err.Error())
		p.Findings = list
	case errors.As(err, &conflict):
		p = newProblem(http.StatusConflict, api.CodeConflict, err.Error())
		p.Conflict = &api.Conflict{
			Base: conflict.Base, Current: conflict.Current, By: conflict.CurrentOperator,
			Mine: conflict.Mine, Theirs: conflict.Theirs, Rows: conflict.Conflicts,
		}
	case errors.As(err, &unknown):
		p = newProblem(http.StatusGatewayTimeout, api.CodeOutcomeUnknown, err.Error())
		p.Version = unknown.Version
	case errors.As(err, &tooLarge):
		p = newProblem(http.StatusRequestEntityTooLarge, api.CodeTooLarge, err.Error())
	default:
		p = sentinelProblem(err)
	}
	return p
}

// sentinelProblem converts an error that wraps a sentinel error of the store, the table
// store or the context. Any other error becomes an internal error.
func sentinelProblem(err error) *api.Problem {
	for _, c := range []struct {
		target error
		status int
		code   api.Code
	}{
		{store.ErrNotFound, http.StatusNotFound, api.CodeNotFound},
		{store.ErrConflict, http.StatusConflict, api.CodeConflict},
		{store.ErrTooLarge, http.StatusRequestEntityTooLarge, api.CodeTooLarge},
		{store.ErrOutcomeUnknown, http.StatusGatewayTimeout, api.CodeOutcomeUnknown},
		{store.ErrUnavailable, http.StatusServiceUnavailable, api.CodeUnavailable},
		{tablestore.ErrStaleRead, http.StatusServiceUnavailable, api.CodeUnavailable},
		{context.DeadlineExceeded, http.StatusServiceUnavailable, api.CodeUnavailable},
		{context.Canceled, http.StatusServiceUnavailable, api.CodeUnavailable},
	} {
		if errors.Is(err, c.target) {
			return newProblem(c.status, c.code, strings.TrimPrefix(err.Error(), "tablestore: "))
		}
	}
	return newProblem(http.StatusInternalServerError, api.CodeInternal, err.Error())
}
