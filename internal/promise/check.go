package promise

import (
	"fmt"
	"slices"
	"time"

	"github.com/boragegate/boragegate/examples/backend/server"
)

// Outcomes of a request as known to its caller.
const (
	OutcomeRun     = "run"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// Result is one request and its response as observed by the caller.
type Result struct {
	Service, Key, Method string
	// ID is the idempotency key. Only retries of one request share it.
	ID         string
	Begin, End time.Time
	// Outcome is OutcomeRun, OutcomeNotRun or OutcomeUnknown.
	Outcome string
	// Status is the HTTP status, or 0 without a complete response.
	Status int
	// ProblemType is the type of the problem document in the response, or "".
	ProblemType string
	// Mismatch describes a response that does not belong to the request, or "".
	Mismatch string
}

// Violations holds a description of each broken promise.
type Violations []string

func (v *Violations) addf(format string, args ...any) { *v = append(*v, fmt.Sprintf(format, args...)) }

// CheckAll runs the checks that every history must pass: each key of each service has one
// owner (P1), every response belongs to its request (P3), reported outcomes are true (P4),
// and the requests for which nonRepeatable returns true ran at most once (P5).
func CheckAll(results []Result, effects []server.Effect, nonRepeatable func(server.Effect) bool) Violations {
	services := map[string]bool{}
	var nonRepeatableEffects []server.Effect
	for _, e := range effects {
		services[e.Service] = true
		if nonRepeatable(e) {
			nonRepeatableEffects = append(nonRepeatableEffects, e)
		}
	}
	var violations Violations
	for s := range services {
		violations = append(violations, CheckOwners(EffectsOfService(s, effects))...)
	}
	violations = append(violations, CheckOnce(nonRepeatableEffects)...)
	return append(violations, CheckOutcomes(results, effects)...)
}

// CheckOwners reports partitions of one service for which two servers executed requests
// at the same epoch, or for which a request at an older epoch ended after a request at a
// newer epoch had ended (P1). The order of the effects does not matter.
func CheckOwners(effects []server.Effect) Violations {
	type owner struct {
		epoch  uint64
		target string
	}
	var violations Violations
	owners := map[int]owner{}
	effects = slices.Clone(effects)
	slices.SortFunc(effects, func(a, b server.Effect) int { return a.End.Compare(b.End) })
	for _, e := range effects {
		o := owners[e.Partition]
		switch {
		case e.Epoch > o.epoch:
			owners[e.Partition] = owner{e.Epoch, e.Target}
		case e.Epoch < o.epoch:
			violations.addf("P1: partition %d ran at epoch %d on %s after epoch %d on %s",
				e.Partition, e.Epoch, e.Target, o.epoch, o.target)
		case e.Target != o.target:
			violations.addf("P1: partition %d has two owners at epoch %d: %s and %s",
				e.Partition, e.Epoch, e.Target, o.target)
		}
	}
	return violations
}

// CheckOnce reports idempotency keys whose request was executed more than once (P5).
func CheckOnce(effects []server.Effect) Violations {
	var violations Violations
	seen := map[string]string{}
	for _, e := range effects {
		if first, ok := seen[e.IdempotencyKey]; ok {
			violations.addf("P5: request %s ran on %s and again on %s", e.IdempotencyKey, first, e.Target)
		}
		seen[e.IdempotencyKey] = e.Target
	}
	return violations
}

// CheckOutcomes reports requests that were reported as not run but were executed (P4),
// and responses that belong to another request or are incomplete (P3). Attempts with
// the same ID are checked together: each execution needs an attempt whose outcome was
// not OutcomeNotRun.
func CheckOutcomes(results []Result, effects []server.Effect) Violations {
	runs, allowed := map[string]int{}, map[string]int{}
	for _, e := range effects {
		runs[e.IdempotencyKey]++
	}
	for _, r := range results {
		if r.Outcome != OutcomeNotRun {
			allowed[r.ID]++
		}
	}
	var violations Violations
	for _, r := range results {
		if r.Outcome == OutcomeNotRun && runs[r.ID] > allowed[r.ID] {
			violations.addf("P4: %s %s/%s %s was reported as not run, but ran", r.Method, r.Service, r.Key, r.ID)
		}
		if r.Mismatch != "" {
			violations.addf("P3: request %s: %s", r.ID, r.Mismatch)
		}
	}
	return violations
}

// CheckDrained reports requests that started at a target after the given time (P6).
func CheckDrained(service, target string, after time.Time, effects []server.Effect) Violations {
	var violations Violations
	for _, e := range effects {
		if e.Service == service && e.Target == target && e.Begin.After(after) {
			violations.addf("P6: %s/%s started to execute a request %s after the time at which it had to stop", service, target, e.Begin.Sub(after))
		}
	}
	return violations
}

// CheckNotInterrupted reports requests that were sent and whose outcome is unknown; a
// planned stop must not cause them (P7).
func CheckNotInterrupted(results []Result) Violations {
	var violations Violations
	for _, r := range results {
		if r.Outcome == OutcomeUnknown {
			violations.addf("P7: %s %s/%s %s has an unknown outcome, problem type %q", r.Method, r.Service, r.Key, r.ID, r.ProblemType)
		}
	}
	return violations
}

// LongestUnavailability returns the longest time that a key of the service was unavailable:
// from the start of the first unsuccessful request to the next successful response. A period
// that has not ended counts up to the end of the last request of the key. Without
// unsuccessful requests the result is the duration of the slowest request.
func LongestUnavailability(service string, results []Result) time.Duration {
	byKey := map[string][]Result{}
	for _, r := range results {
		if r.Service == service {
			byKey[r.Key] = append(byKey[r.Key], r)
		}
	}
	var longest time.Duration
	for _, list := range byKey {
		longest = max(longest, longestUnavailabilityOfKey(list))
	}
	return longest
}

func longestUnavailabilityOfKey(results []Result) time.Duration {
	slices.SortFunc(results, func(a, b Result) int { return a.Begin.Compare(b.Begin) })
	var longest time.Duration
	var unavailableSince time.Time
	for _, r := range results {
		if unavailableSince.IsZero() {
			unavailableSince = r.Begin
		}
		longest = max(longest, r.End.Sub(unavailableSince))
		if r.Outcome == OutcomeRun {
			unavailableSince = time.Time{}
		}
	}
	return longest
}
