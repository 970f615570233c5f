package api

import (
	"github.com/boragegate/boragegate/finding"
	"github.com/boragegate/boragegate/table"
)

// ProblemContentType is the content type of errors.
const ProblemContentType = "application/problem+json"

// Code is a stable name of a kind of error.
type Code string

// Codes.
const (
	CodeBadRequest       Code = "bad-request"
	CodeUnauthorized     Code = "unauthorized"
	CodeForbidden        Code = "forbidden"
	CodeNotFound         Code = "not-found"
	CodeMethodNotAllowed Code = "method-not-allowed"
	CodeTooLarge         Code = "too-large"
	CodeFindings         Code = "findings"
	CodeConflict         Code = "conflict"
	CodeUnavailable      Code = "unavailable"
	// CodeOutcomeUnknown means that a change may or may not have been made.
	CodeOutcomeUnknown Code = "outcome-unknown"
	CodeInternal       Code = "internal"
)

// Problem is the body of an error. It is an error itself.
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Code   Code   `json:"code"`
	// Findings say what is wrong with a table.
	Findings finding.List `json:"findings,omitempty"`
	// Conflict has both changes.
	Conflict *Conflict `json:"conflict,omitempty"`
	// Version is the version whose outcome is unknown.
	Version uint64 `json:"version,omitempty"`
}

// Conflict is a change that another operator's change came before.
type Conflict struct {
	Base    uint64          `json:"base"`
	Current uint64          `json:"current"`
	By      string          `json:"by"`
	Mine    *table.Changes  `json:"mine,omitempty"`
	Theirs  *table.Changes  `json:"theirs,omitempty"`
	Rows    table.Conflicts `json:"rows,omitempty"`
}

// Error returns the detail.
func (p *Problem) Error() string {
	if p.Detail == "" {
		return p.Title
	}
	return p.Detail
}
