// Package idempotency prevents requests with an idempotency key from being run more
// than once. The instance that controls a target has a Log of the keys that it has
// received, by partition, in memory.
//
// For each partition, a Log knows all requests that were run since the start of the
// current Tenure, but none from before. A key is a UUID of version 7, which contains its
// time of issue. A key that may have been used before the tenure is rejected with
// ErrTooOld, which means that the outcome is unknown. By the same rule records can be
// evicted early: the Log then rejects all keys of the partition that were issued no
// later than the evicted one.
package idempotency

import (
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"
)

// Errors with which Log.Begin rejects a request. Test for them with errors.Is.
var (
	// ErrMalformed means that the key is not a UUID of version 7. The request was not run.
	ErrMalformed = errors.New("the idempotency key is not a UUID of version 7")
	// ErrIssuedInFuture means that the key's time of issue is later than now by more
	// than Config.Skew. The request was not run.
	ErrIssuedInFuture = errors.New("the idempotency key was issued in the future")
	// ErrTooOld means that the key was issued before the time from which the records
	// are complete, so a request with the key may have run.
	ErrTooOld = errors.New("the idempotency key is older than the records")
	// ErrConflict means that the key was used for a request with another fingerprint.
	// This request was not run.
	ErrConflict = errors.New("the idempotency key was used for another request")
	// ErrInProgress means that a request with the key has not completed yet.
	ErrInProgress = errors.New("a request with the idempotency key is in progress")
	// ErrAlreadyRun means that the request was run and its response is not stored.
	ErrAlreadyRun = errors.New("the request was run; its answer was not kept")
	// ErrOutcomeUnknown means that the request may have run, wholly or in part.
	ErrOutcomeUnknown = errors.New("a request with the idempotency key may have run")
	// ErrTooManyRecords means that the Log is full and cannot evict its oldest record,
	// whose request is in progress. The request was not run.
	ErrTooManyRecords = errors.New("too many requests with idempotency keys are in progress")
)

// Defaults of the fields of Config, for zero values.
const (
	DefaultRetention             = time.Hour
	DefaultSkew                  = 2 * time.Second
	DefaultMaxResponseBytes      = 16 << 10
	DefaultMaxRecords            = 200_000
	DefaultMaxTotalResponseBytes = 32 << 20
)

// Config holds the limits of a Log.
type Config struct {
	// Retention is the time for which records are kept, counted from the key's time of
	// issue. Older keys are rejected with ErrTooOld.
	Retention time.Duration
	// Skew is the maximum difference between the clocks of instances and of the callers
	// that issue keys, in either direction.
	Skew time.Duration
	// MaxResponseBytes is the maximum size of a response body that is stored.
	MaxResponseBytes int
	// MaxRecords is the maximum number of records of all partitions together.
	MaxRecords int
	// MaxTotalResponseBytes is the maximum size of all stored responses together,
	// headers included.
	MaxTotalResponseBytes int
}

func (c Config) withDefaults() Config {
	if c.Retention == 0 {
		c.Retention = DefaultRetention
	}
	if c.Skew == 0 {
		c.Skew = DefaultSkew
	}
	if c.MaxResponseBytes == 0 {
		c.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if c.MaxRecords == 0 {
		c.MaxRecords = DefaultMaxRecords
	}
	if c.MaxTotalResponseBytes == 0 {
		c.MaxTotalResponseBytes = DefaultMaxTotalResponseBytes
	}
	return c
}

// Response is the response of a backend server, which is stored to answer retries.
type Response struct {
	Status int         `msgpack:"s"`
	Header http.Header `msgpack:"h"`
	Body   []byte      `msgpack:"b"`
}

func (r *Response) size() int {
	if r == nil {
		return 0
	}
	n := len(r.Body)
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// IssueTime returns the time at which a key was issued, to the millisecond, or
// ErrMalformed.
func IssueTime(key string) (time.Time, error) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, ErrMalformed
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), nil
}
