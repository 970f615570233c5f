package gateway

import (
	"bytes"
	"io"
	"net/http"

	"github.com/boragegate/boragegate/idempotency"
)

// replay gives an answer again.
func replay(a *idempotency.Response) *http.Response {
	h := a.Header.Clone()
	h[headerReplayed] = []string{"true"}
	return &http.Response{
		StatusCode: a.Status, Header: h,
		Body: io.NopCloser(bytes.NewReader(a.Body)), ContentLength: int64(len(a.Body)),
	}
}

// recorder keeps the body of an answer while it passes, if it is small enough.
type recorder struct {
	entry  *idempotency.Attempt
	answer idempotency.Response
	tooBig bool
}

func newRecorder(e *idempotency.Attempt, resp *http.Response) *recorder {
	return &recorder{entry: e, answer: idempotency.Response{Status: resp.StatusCode, Header: resp.Header}}
}

func (r *recorder) write(p []byte) {
	if r.tooBig = r.tooBig || len(r.answer.Body)+len(p) > r.entry.MaxResponseBytes(); r.tooBig {
		r.answer.Body = nil
		return
	}
	r.answer.Body = append(r.answer.Body, p...)
}

// end notes that the request was run, with the answer if it is complete.
func (r *recorder) end(complete bool) {
	if complete && !r.tooBig {
		r.entry.MarkCompleted(&r.answer)
		return
	}
	r.entry.MarkCompleted(nil)
}
