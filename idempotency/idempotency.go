// Package idempotency keeps requests that must not be repeated from running
// twice. The instance in front of a target has a Log of the idempotency keys
// that it has seen, by partition, in memory.
//
// A Log knows everything that was run for a partition only since the start of
// its tenure. A key is a UUID version 7 and so contains its time of issue; a
// key that may have been used before the tenure is refused with the outcome
// unknown. The same rule lets the log forget: when it drops a record early, it
// refuses all keys of that partition that were issued up to then.
package idempotency

import (
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"
)

// Reasons for which a request is not run. Errors wraps one of them.
var (
	// ErrMalformed means that the key is not a UUID of version 7. Nothing ran.
	ErrMalformed = errors.New("the idempotency key is not a UUID of version 7")
	// ErrIssuedInFuture means that the key's time of issue is in the future. Nothing ran.
	ErrIssuedInFuture = errors.New("the idempotency key was issued in the future")
	// ErrTooOld means that a request with the key may have run without a record of it.
	ErrTooOld = errors.New("the idempotency key is older than the records")
	// ErrConflict means that the key was used for another request. This request did not run.
	ErrConflict = errors.New("the idempotency key was used for another request")
	// ErrInProgress means that the request with the key has not ended.
	ErrInProgress = errors.New("a request with the idempotency key is in progress")
	// ErrAlreadyRun means that the request was run and its answer was not kept.
	ErrAlreadyRun = errors.New("the request was run; its answer was not kept")
	// ErrOutcomeUnknown means that the request may have run.
	ErrOutcomeUnknown = errors.New("a request with the idempotency key may have run")
	// ErrTooManyRecords means that no record can be added. Nothing ran.
	ErrTooManyRecords = errors.New("too many requests with idempotency keys are in progress")
)

// Defaults of Config.
const (
	DefaultRetention             = time.Hour
	DefaultSkew                  = 2 * time.Second
	DefaultMaxResponseBytes      = 16 << 10
	DefaultMaxRecords            = 200_000
	DefaultMaxTotalResponseBytes = 32 << 20
)

// Config holds the limits of a Log.
type Config struct {
	// Retention is the time for which records are kept, from the key's time of issue.
	Retention time.Duration
	// Skew bounds the difference between the clocks of instances and of issuers of keys.
	Skew time.Duration
	// MaxResponseBytes is the size in bytes of the largest answer body that is kept.
	MaxResponseBytes int
	// MaxRecords is the number of records over all partitions.
	MaxRecords int
	// MaxTotalResponseBytes is the size of all answers that are kept.
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

// Response is a server's answer that can be given again.
type Response struct {
	Status int         `msgpack:"s"`
	Header http.Header `msgpack:"h"`
	Body   []byte      `msgpack:"b"`
}

func (a *Response) size() int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// IssueTime returns the time at which a key was issued, in milliseconds.
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
