// Package objectapi defines the paths, bodies and error codes of the platform's
// object API over HTTP, which is specified in docs/reference/object-api.md.
package objectapi

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/boragegate/boragegate/store"
)

// Paths of the API.
const (
	ObjectsPath   = "/v1/objects/"
	WatchPath     = "/v1/watch/"
	InstancesPath = "/v1/instances"
	// FromParameter is the query parameter of a watch that holds the version after which it starts.
	FromParameter = "from"
	// EraHeader is the header of responses with the era of the store, see store.Era.
	EraHeader = "Store-Era"
)

// Content types.
const (
	// ContentType is the content type of request and response bodies, except the
	// response of a watch.
	ContentType = "application/json"
	// WatchContentType is the content type of the response of a watch, with one event
	// per line.
	WatchContentType = "application/jsonlines"
)

// ObjectPath returns the path of an object, with kind and name escaped.
func ObjectPath(kind, name string) string {
	return ObjectsPath + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// ListBody is the response body of a request that lists the objects of a kind.
type ListBody struct {
	// Version is the store version from which a watch reports all later changes.
	Version store.Version `json:"version"`
	// Objects are the objects, ordered by name.
	Objects []store.Object `json:"objects"`
}

// WriteBody is the request body of a write. Writer and Value are those of store.Object.
type WriteBody struct {
	Writer string `json:"writer,omitempty"`
	Value  []byte `json:"value"`
}

// ErrorBody is the body of every response whose status is not 2xx.
type ErrorBody struct {
	// Error is the error code: one of ErrorCodes, or another code for an error that is
	// not listed there.
	Error string `json:"error"`
	// Message describes the error for people; programs use Error.
	Message string `json:"message,omitempty"`
}

// ErrorCode is an error of package store with its error code and HTTP status.
type ErrorCode struct {
	Err    error
	Code   string
	Status int
}

// ErrorCodes lists the errors of the API. If a response to a write has one of these codes
// with its status, nothing was written.
var ErrorCodes = []ErrorCode{
	{store.ErrNotFound, "not-found", http.StatusNotFound},
	{store.ErrExists, "exists", http.StatusConflict},
	{store.ErrConflict, "conflict", http.StatusPreconditionFailed},
	{store.ErrTooOld, "too-old", http.StatusGone},
	{store.ErrTooLarge, "too-large", http.StatusRequestEntityTooLarge},
	{store.ErrUnavailable, "unavailable", http.StatusServiceUnavailable},
}

// FormatETag returns the entity tag that represents a version.
func FormatETag(v store.Version) string {
	return strconv.Quote(strconv.FormatUint(uint64(v), 10))
}

// ParseETag parses an entity tag in the format of FormatETag. It returns false if the
// tag is malformed.
func ParseETag(tag string) (store.Version, bool) {
	digits, found := strings.CutPrefix(tag, `"`)
	digits, closed := strings.CutSuffix(digits, `"`)
	v, err := strconv.ParseUint(digits, 10, 64)
	return store.Version(v), found && closed && err == nil
}
