package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outcome states whether a request that got an error response was run.
type Outcome string

// Values of Outcome.
const (
	// OutcomeNotRun means that no server can have begun to run the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeRun means that the request was run.
	OutcomeRun Outcome = "run"
	// OutcomeUnknown means that a server may have run the request, or parts of it.
	OutcomeUnknown Outcome = "unknown"
)

// retryHint states what has to happen before another attempt can succeed.
type retryHint string

const (
	// retryNever marks a failure that must not be retried.
	retryNever retryHint = "never"
	// retryWhenRouted marks a failure that a new route can resolve: the partition has
	// no owner that can serve it, or a different owner than in this instance's
	// snapshot, or the controller or server cannot be reached.
	retryWhenRouted retryHint = "routed"
	// retryLater marks a failure that may be transient. A retry counts against the
	// retry budget.
	retryLater retryHint = "later"
	// retryElsewhere marks a failure at one of several targets that can serve the
	// request. A retry counts against the retry budget.
	retryElsewhere retryHint = "elsewhere"
)

// statusClientClosed is the status that is logged for requests whose caller has
// disconnected.
const statusClientClosed = 499

// failure is an error response of the gateway itself.
type failure struct {
	controllerUnreachable bool // the target's controller became unreachable after the request was sent
	status                int
	slug                  string // last part of the problem type
	detail                string
	outcome               Outcome
	retryHint             retryHint
	retryAfter            time.Duration
}

// Error implements error.
func (f *failure) Error() string {
	return fmt.Sprintf("%s: %s (%s)", f.slug, f.detail, f.outcome)
}

// problemPrefix is the prefix of problem types. The slug follows; the types are
// listed in docs/reference/http.md.
const problemPrefix = "urn:boragegate:problem:"

// problem is the body of an error response (RFC 9457).
type problem struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"request_id,omitempty"`
}

// write sends the failure as an application/problem+json response.
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

// retrySeconds formats a Retry-After value, rounded up to whole seconds.
func retrySeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

func notRun(status int, slug, detail string) *failure {
	return &failure{status: status, slug: slug, detail: detail, outcome: OutcomeNotRun, retryHint: retryNever}
}

// notOwner returns the failure of a request that reached an instance or server
// that does not own the partition at the moment.
func notOwner(detail string) *failure {
	return &failure{
		status: http.StatusMisdirectedRequest, slug: "not-owner", detail: detail,
		outcome: OutcomeNotRun, retryHint: retryWhenRouted, retryAfter: time.Second,
	}
}

// noOwner returns the failure of a request whose partition or service has no
// target or controller that can serve it.
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
