package gateway

import (
	"bytes"
	"io"
	"net/http"

	"github.com/boragegate/boragegate/idempotency"
)

// replayResponse returns the recorded response of an earlier run, marked with
// headerReplayed.
func replayResponse(recorded *idempotency.Response) *http.Response {
	h := recorded.Header.Clone()
	h[headerReplayed] = []string{"true"}
	return &http.Response{
		StatusCode: recorded.Status, Header: h,
		Body: io.NopCloser(bytes.NewReader(recorded.Body)), ContentLength: int64(len(recorded.Body)),
	}
}

// responseRecorder records a response while it is relayed. The body is dropped
// if it is larger than the idempotency log accepts.
type responseRecorder struct {
	record   *idempotency.Attempt
	response idempotency.Response
	tooBig   bool
}

func newResponseRecorder(attempt *idempotency.Attempt, resp *http.Response) *responseRecorder {
	return &responseRecorder{record: attempt, response: idempotency.Response{Status: resp.StatusCode, Header: resp.Header}}
}

func (r *responseRecorder) write(p []byte) {
	if r.tooBig = r.tooBig || len(r.response.Body)+len(p) > r.record.MaxResponseBytes(); r.tooBig {
		r.response.Body = nil
		return
	}
	r.response.Body = append(r.response.Body, p...)
}

// finish records that the request was run, with the response if it is complete
// and small enough.
func (r *responseRecorder) finish(complete bool) {
	if complete && !r.tooBig {
		r.record.MarkCompleted(&r.response)
		return
	}
	r.record.MarkCompleted(nil)
}
