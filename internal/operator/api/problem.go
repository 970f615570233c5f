package api

import (
	"github.com/boragegate/boragegate/finding"
	"github.com/boragegate/boragegate/table"
)

// ProblemContentType is the content type of error responses (RFC 9457).
const ProblemContentType = "application/problem+json"

// Code identifies a kind of error. Codes are stable, so clients may match them.
type Code string

// Error codes of the operator API.
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
	// CodeOutcomeUnknown means that the change may or may not have been stored.
	CodeOutcomeUnknown Code = "outcome-unknown"
	CodeInternal       Code = "internal"
)

// Problem is the body of an error response. It implements error.
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Code   Code   `json:"code"`
	// Findings are the faults found in the table; set with CodeFindings.
	Findings finding.List `json:"findings,omitempty"`
	// Conflict describes both changes; set with CodeConflict.
	Conflict *Conflict `json:"conflict,omitempty"`
	// Version is the version whose outcome is unknown; set with CodeOutcomeUnknown.
	Version uint64 `json:"version,omitempty"`
}

// Conflict describes a change that was rejected because another operator had
// changed the table after Base.
type Conflict struct {
	// Base is the version that the change was based on, Current the current version.
	Base    uint64 `json:"base"`
	Current uint64 `json:"current"`
	// By is the operator who made the current version.
	By string `json:"by"`
	// Mine and Theirs are the rejected changes and those of the current version, both
	// relative to Base. They are nil if the history no longer has Base.
	Mine   *table.Changes `json:"mine,omitempty"`
	Theirs *table.Changes `json:"theirs,omitempty"`
	// Rows are the services and rows that both sides changed differently.
	Rows table.Conflicts `json:"rows,omitempty"`
}

// Error returns the detail, or the title if there is no detail.
func (p *Problem) Error() string {
	if p.Detail == "" {
		return p.Title
	}
	return p.Detail
}
