package gateway

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/boragegate/boragegate/admission"
	"github.com/boragegate/boragegate/idempotency"
)

// run is a request that this instance, the controller of the target, sends to the
// backend server.
type run struct {
	gateway   *Gateway
	target    *target
	call      *call
	partition int
	inFlight  bool                 // counted as in flight
	permit    *admission.Permit    // nil until the request has a slot
	record    *idempotency.Attempt // nil if call.idempotencyKey is empty
	recorder  *responseRecorder    // nil until the response arrives, or without a record
	once      sync.Once
}

// finish updates the idempotency record, frees the slot and stops counting the
// request as in flight. Only the first call has an effect. The outcome is run if
// the whole response was read, unknown if it was cut off, and otherwise that of the
// failure.
func (r *run) finish(o Outcome) { r.once.Do(func() { r.release(o) }) }

func (r *run) release(o Outcome) {
	r.updateRecord(o)
	if r.permit != nil {
		slotTime := r.permit.HeldFor()
		r.permit.Release()
		r.gateway.recordSlotTime(r, slotTime)
	}
	if r.inFlight {
		r.target.inflight.end(r.partition, r.lingerTime(o))
	}
}

// updateRecord updates the idempotency record. It must be called while the request
// still counts as in flight, so that an export of the records includes the update.
func (r *run) updateRecord(o Outcome) {
	switch {
	case r.record == nil:
	case r.recorder != nil:
		r.recorder.finish(o == OutcomeRun)
	case o == OutcomeNotRun:
		r.record.Abort()
	default:
		r.record.MarkOutcomeUnknown()
	}
}

// lingerTime returns how long the server may still work on the request. A server
// that checks grants stops by itself. Any other server may continue after its
// connection was closed, for at most the service's maximum request time.
func (r *run) lingerTime(o Outcome) time.Duration {
	if o != OutcomeUnknown || r.call.service.ChecksGrants {
		return 0
	}
	if maxTime := time.Duration(r.call.service.MaxRequestTime); maxTime > 0 {
		return maxTime
	}
	return DefaultMaxRequestTime
}

// runBody finishes the run when the response body is read to its end, fails, or
// is closed.
type runBody struct {
	io.ReadCloser
	run *run
}

// Read implements io.Reader.
func (b *runBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.run.recorder != nil {
		b.run.recorder.write(p[:n])
	}
	switch {
	case errors.Is(err, io.EOF):
		b.run.finish(OutcomeRun)
	case err != nil:
		b.run.finish(OutcomeUnknown)
	}
	return n, err
}

// Close closes the body. The outcome is unknown unless the body was read to its
// end.
func (b *runBody) Close() error {
	err := b.ReadCloser.Close()
	b.run.finish(OutcomeUnknown)
	return err
}
