package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragegate/boragegate/idempotency"
)

// fingerprint returns a hash of method, path, query, key and body, which
// distinguishes different requests with the same idempotency key.
func (c *call) fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{c.request.Method, c.path, c.request.URL.RawQuery, c.key} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	if c.body != nil {
		_, _ = d.Write(c.body.prefix)
	}
	return d.Sum64()
}

// beginIdempotent records a request with an idempotency key. It returns an
// idempotency.Attempt if the request may run, the recorded response if it was run
// before, or a failure.
func (g *Gateway) beginIdempotent(c *call, d destination, t *target) (*idempotency.Attempt, *http.Response, *failure) {
	tenure := d.tenure()
	if !g.tenures.isReady(t.id, d.partition, tenure) {
		return nil, nil, notOwner("the idempotency records of the partition are being taken over")
	}
	record, response, err := t.idempotencyLog.Begin(d.partition, tenure, c.idempotencyKey, c.fingerprint())
	switch {
	case err != nil:
		return nil, nil, idempotencyFailure(err)
	case response != nil:
		return nil, replayResponse(response), nil
	}
	return record, nil, nil
}

func (d destination) tenure() idempotency.Tenure {
	return idempotency.Tenure{Term: d.target.Term, Epoch: d.epoch}
}

// idempotencyFailures maps each error of idempotency.Log.Begin to the failure
// that the caller gets.
var idempotencyFailures = []struct {
	err        error
	status     int
	slug       string
	outcome    Outcome
	retryAfter time.Duration
}{
	{idempotency.ErrMalformed, http.StatusBadRequest, "malformed", OutcomeNotRun, 0},
	{idempotency.ErrIssuedInFuture, http.StatusBadRequest, "key-ahead", OutcomeNotRun, 0},
	{idempotency.ErrTooOld, http.StatusConflict, "key-too-old", OutcomeUnknown, 0},
	{idempotency.ErrConflict, http.StatusConflict, "key-conflict", OutcomeNotRun, 0},
	{idempotency.ErrInProgress, http.StatusConflict, "in-progress", OutcomeUnknown, time.Second},
	{idempotency.ErrAlreadyRun, http.StatusConflict, "already-run", OutcomeRun, 0},
	{idempotency.ErrOutcomeUnknown, http.StatusConflict, "outcome-unknown", OutcomeUnknown, 0},
	{idempotency.ErrTooManyRecords, http.StatusServiceUnavailable, "records-full", OutcomeNotRun, time.Second},
}

func idempotencyFailure(err error) *failure {
	for _, f := range idempotencyFailures {
		if errors.Is(err, f.err) {
			return &failure{
				status: f.status, slug: f.slug, detail: err.Error(),
				outcome: f.outcome, retryHint: retryNever, retryAfter: f.retryAfter,
			}
		}
	}
	panic(err) // Begin returns no other errors
}
