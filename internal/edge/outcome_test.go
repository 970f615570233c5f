package edge

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/internal/deployment"
	"github.com/boragegate/boragegate/internal/ingress"
	"github.com/boragegate/boragegate/internal/logging"
	"github.com/boragegate/boragegate/internal/upstream"
	"github.com/boragegate/boragegate/routing"
)

// attemptResult is the result of an attempt and whether it proves that the target did not run
// the request.
type attemptResult struct {
	attempt
	provesNotRun bool
}

// countedStream is an empty stream that decrements a counter when it is closed.
type countedStream struct{ open *int }

func (countedStream) Read([]byte) (int, error) { return 0, io.EOF }

func (s countedStream) Close() error {
	*s.open--
	return nil
}

var _ = Describe("the status of a request without a success", func() {
	refusal := &upstream.Response{Status: 503}
	results := []attemptResult{
		{attempt: attempt{result: dispatch.NoResponse, err: io.EOF}},
		{attempt: attempt{result: dispatch.Reset, err: upstream.ErrNewConnReset}},
		{attempt: attempt{result: dispatch.Failed, response: &upstream.Response{Status: 500}}},
		{attempt: attempt{result: dispatch.NoResponse, err: upstream.ErrNotSent, notSent: true}, provesNotRun: true},
		{attempt: attempt{result: dispatch.Shed, response: refusal}, provesNotRun: true},
		{attempt: attempt{result: dispatch.Misdirected, response: &upstream.Response{Status: 421}}, provesNotRun: true},
	}
	newCall := func(kind routing.Kind) *proxyCall {
		return &proxyCall{
			f:       &forwarder{log: logging.New(logging.Options{Out: GinkgoWriter}), metrics: newInstanceMetrics(), headers: deployment.Headers{RequestID: "X-Id"}},
			request: &ingress.Request{Request: httptest.NewRequest(http.MethodPost, "/", nil), Arrived: time.Now()},
			route:   &routing.Route{Kind: kind, MaxAttempts: 4}, key: -1, results: make(chan attempt, 8),
		}
	}

	It("promises that the request has not run only if that is proven for every attempt, in any order of results and deadline", func() {
		// Guards against a 503 for a request that a target has run: the connection broke just before the deadline, and the
		// deadline passed before the result was handled.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			kind := rapid.SampledFrom([]routing.Kind{routing.Idempotent, routing.AtMostOnce}).Draw(t, "kind")
			c := newCall(kind)
			mayHaveRun := false
			for range rapid.IntRange(0, 4).Draw(t, "attempts") {
				c.recordStart(routing.Target{ID: "t"})
				if rapid.Bool().Draw(t, "outstanding at the deadline") {
					mayHaveRun = true
					continue
				}
				r := rapid.SampledFrom(results).Draw(t, "result")
				mayHaveRun = mayHaveRun || !r.provesNotRun
				c.results <- r.attempt
			}
			expired, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
			defer cancel()
			response := c.awaitResult(expired, 0)
			if response == nil {
				response = c.respondExpired(expired)
			}
			if promisesNotRun := response.Status == 503; promisesNotRun == mayHaveRun {
				t.Fatalf("status %d, but the request may have run: %t", response.Status, mayHaveRun)
			}
		})
	})

	It("releases the responses that are not passed on", func() {
		// Guards against connections to targets that are never closed: of a large success that is not from a target, and of a
		// large failure after which another attempt succeeded or the caller disconnected.
		open := 0
		large := func(result dispatch.Result, status int) attempt {
			open++
			return attempt{result: result, response: &upstream.Response{Status: status, Stream: countedStream{&open}}}
		}
		c := newCall(routing.Idempotent)
		for _, a := range []attempt{large(dispatch.NoResponse, 200), large(dispatch.Failed, 500), large(dispatch.Failed, 500), {result: dispatch.Succeeded, response: &upstream.Response{Status: 200}}} {
			c.recordStart(routing.Target{ID: "t"})
			c.results <- a
		}
		Expect(c.run(context.Background()).Status).To(Equal(200))
		Expect(open).To(BeZero())

		c = newCall(routing.Idempotent)
		a := large(dispatch.Failed, 500)
		c.failedAttempt = &a
		gone, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(c.run(gone)).To(BeNil())
		Expect(open).To(BeZero())
	})

	It("delivers a response that has arrived when the deadline passes", func() {
		// Guards against a 504 in place of an answer that waits to be handled.
		for range 20 {
			c := newCall(routing.AtMostOnce)
			c.recordStart(routing.Target{ID: "t"})
			c.results <- attempt{result: dispatch.Succeeded, response: &upstream.Response{Status: 200}}
			expired, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
			Expect(c.awaitResult(expired, 0).Status).To(Equal(200))
			cancel()
		}
	})
})
