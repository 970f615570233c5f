// Package objectapi has the paths, bodies and error codes of the platform's
// object API over HTTP, which docs/reference/object-api.md describes.
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
	// FromParameter is the query parameter of a watch with the version after which it starts.
	FromParameter = "from"
)

// Content types.
const (
	ContentType      = "application/json"
	WatchContentType = "application/jsonlines"
)

// ObjectPath returns the escaped path of an object.
func ObjectPath(kind, name string) string {
	return ObjectsPath + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// ListBody is the body of a list of objects.
type ListBody struct {
	Version store.Version  `json:"version"`
	Objects []store.Object `json:"objects"`
}

// WriteBody is the body of a write.
type WriteBody struct {
	Writer string `json:"writer,omitempty"`
	Value  []byte `json:"value"`
}

// ErrorBody is the body of every answer that is not 2xx.
type ErrorBody struct {
	// Error is the code.
	Error   string `json:"error"`
	Message string `json:"message,omitempty"`
}

// ErrorCode pairs an error with its code and status.
type ErrorCode struct {
	Err    error
	Code   string
	Status int
}

// ErrorCodes has the errors of the API. An answer with one of these codes to a
// write means that nothing was written.
var ErrorCodes = []ErrorCode{
	{store.ErrNotFound, "not-found", http.StatusNotFound},
	{store.ErrExists, "exists", http.StatusConflict},
	{store.ErrConflict, "conflict", http.StatusPreconditionFailed},
	{store.ErrTooOld, "too-old", http.StatusGone},
	{store.ErrTooLarge, "too-large", http.StatusRequestEntityTooLarge},
	{store.ErrUnavailable, "unavailable", http.StatusServiceUnavailable},
}

// FormatETag returns the entity tag of a version.
func FormatETag(v store.Version) string {
	return strconv.Quote(strconv.FormatUint(uint64(v), 10))
}

// ParseETag reads an entity tag.
func ParseETag(tag string) (store.Version, bool) {
	digits, found := strings.CutPrefix(tag, `"`)
	digits, closed := strings.CutSuffix(digits, `"`)
	v, err := strconv.ParseUint(digits, 10, 64)
	return store.Version(v), found && closed && err == nil
}
