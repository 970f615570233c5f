package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outcome says whether a request that was answered with an error was run.
type Outcome string

// Outcomes.
const (
	// OutcomeNotRun means that no server can have begun to run the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeRun means that the request was run.
	OutcomeRun Outcome = "run"
	// OutcomeUnknown means that a server may have run the request, or parts of it.
	OutcomeUnknown Outcome = "unknown"
)

// retryHint says what has to happen before another attempt can succeed.
type retryHint string

const (
	// retryNever marks a final answer.
	retryNever retryHint = "never"
	// retryWhenRouted marks a request whose partition has no owner that can serve
	// it, or another one than this instance believed.
	retryWhenRouted retryHint = "routed"
	// retryLater marks a failure that may pass, and that counts against the retry budget.
	retryLater retryHint = "later"
	// retryElsewhere marks a refusal by one of several targets that can serve the request.
	retryElsewhere retryHint = "elsewhere"
)

// statusClientClosed is the status under which requests are counted whose caller has gone.
const statusClientClosed = 499

// failure is an answer that the gateway itself gives.
type failure struct {
	controllerUnreachable bool // the instance in front of the target was lost after the request left
	status                int
	slug                  string // last part of the problem type
	detail                string
	outcome               Outcome
	retryHint             retryHint
	retryAfter            time.Duration
}

// Error describes the failure.
func (f *failure) Error() string {
	return fmt.Sprintf("%s: %s (%s)", f.slug, f.detail, f.outcome)
}

// problemPrefix and the slug make the problem type, listed in docs/reference/http.md.
const problemPrefix = "urn:boragegate:problem:"

// problem is the body of an error answer, RFC 9457.
type problem struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"request_id,omitempty"`
}

// write sends the failure as application/problem+json.
func (f *failure) write(w http.ResponseWriter, requestID string) {
	body, err := json.Marshal(problem{
		Type: problemPrefix + f.slug, Title: http.StatusText(f.status), Status: f.status,
		Detail: f.detail, Outcome: f.outcome, RequestID: requestID,
	})
	if err != nil {
		panic(err) // a struct of strings and numbers can always be marshalled
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	h.Set(headerOutcome, string(f.outcome))
	if f.retryAfter > 0 {
		h.Set(headerRetryAfter, retrySeconds(f.retryAfter))
	}
	w.WriteHeader(f.status)
	_, _ = w.Write(body)
}

// retrySeconds rounds up, because the header holds whole seconds.
func retrySeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

func notRun(status int, slug, detail string) *failure {
	return &failure{status: status, slug: slug, detail: detail, outcome: OutcomeNotRun, retryHint: retryNever}
}

// notOwner is the failure of a request that reached an instance or server
// which cannot run it now.
func notOwner(detail string) *failure {
	return &failure{
		status: http.StatusMisdirectedRequest, slug: "not-owner", detail: detail,
		outcome: OutcomeNotRun, retryHint: retryWhenRouted, retryAfter: time.Second,
	}
}

// noOwner is the failure of a request for which no instance is known.
func noOwner(detail string) *failure {
	f := unavailable("no-owner", detail)
	f.retryHint = retryWhenRouted
	return f
}

func unavailable(slug, detail string) *failure {
	return &failure{
		status: http.StatusServiceUnavailable, slug: slug, detail: detail,
		outcome: OutcomeNotRun, retryHint: retryNever, retryAfter: time.Second,
	}
}
