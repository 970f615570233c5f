package gateway

import (
	"bytes"
	"io"
	"net/http"

	"github.com/boragegate/boragegate/idempotency"
)

// replayResponse gives an answer again.
func replayResponse(a *idempotency.Response) *http.Response {
	h := a.Header.Clone()
	h[headerReplayed] = []string{"true"}
	return &http.Response{
		StatusCode: a.Status, Header: h,
		Body: io.NopCloser(bytes.NewReader(a.Body)), ContentLength: int64(len(a.Body)),
	}
}

// responseRecorder keeps the body of an answer while it passes, if it is small enough.
type responseRecorder struct {
	record *idempotency.Attempt
	answer idempotency.Response
	tooBig bool
}

func newResponseRecorder(e *idempotency.Attempt, resp *http.Response) *responseRecorder {
	return &responseRecorder{record: e, answer: idempotency.Response{Status: resp.StatusCode, Header: resp.Header}}
}

func (r *responseRecorder) write(p []byte) {
	if r.tooBig = r.tooBig || len(r.answer.Body)+len(p) > r.record.MaxResponseBytes(); r.tooBig {
		r.answer.Body = nil
		return
	}
	r.answer.Body = append(r.answer.Body, p...)
}

// finish notes that the request was run, with the answer if it is complete.
func (r *responseRecorder) finish(complete bool) {
	if complete && !r.tooBig {
		r.record.MarkCompleted(&r.answer)
		return
	}
	r.record.MarkCompleted(nil)
}
