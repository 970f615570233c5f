package gateway

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/boragegate/boragegate/admission"
	"github.com/boragegate/boragegate/idempotency"
)

// run is a request at the instance in front of its target.
type run struct {
	gateway   *Gateway
	target    *target
	call      *call
	partition int
	inFlight  bool                 // counts as in flight
	permit    *admission.Permit    // nil before a slot was taken
	record    *idempotency.Attempt // nil if the request may be repeated
	recorder  *responseRecorder    // nil before the answer, or without entry
	once      sync.Once
}

// finish frees what the run occupies. The outcome is that of the request: run
// if the whole answer was read, unknown if it was cut off.
func (r *run) finish(o Outcome) { r.once.Do(func() { r.release(o) }) }

func (r *run) release(o Outcome) {
	r.updateRecord(o)
	if r.permit != nil {
		held := r.permit.HeldFor()
		r.permit.Release()
		r.gateway.recordSlotTime(r, held)
	}
	if r.inFlight {
		r.target.inflight.end(r.partition, r.lingerTime(o))
	}
}

// updateRecord updates the idempotency record. It precedes the end of the in-flight
// count, so that an export of the records includes it.
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

// lingerTime is the time for which the server may still work on the request. A
// server that checks grants stops by itself; another one may go on after its
// connection was closed, for at most the service's longest request time.
func (r *run) lingerTime(o Outcome) time.Duration {
	if o != OutcomeUnknown || r.call.service.ChecksGrants {
		return 0
	}
	if longest := time.Duration(r.call.service.MaxRequestTime); longest > 0 {
		return longest
	}
	return DefaultMaxRequestTime
}

// runBody frees the slot when the answer is complete or given up.
type runBody struct {
	io.ReadCloser
	run *run
}

// Read passes the server's answer on.
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

// Close ends the exchange; it is cut off unless the answer was complete.
func (b *runBody) Close() error {
	err := b.ReadCloser.Close()
	b.run.finish(OutcomeUnknown)
	return err
}
