package promise_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/examples/backend/server"
	"github.com/boragegate/boragegate/internal/promise"
)

func TestPromise(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "promise")
}

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// effect returns the execution of a request from ms to ms+1.
func effect(target string, epoch uint64, id string, ms int) server.Effect {
	return server.Effect{
		Service: "route", Target: target, Partition: 3, Epoch: epoch, IdempotencyKey: id, Begin: at(ms), End: at(ms + 1),
	}
}

func result(id, outcome string, from, to int) promise.Result {
	return promise.Result{Service: "route", Key: "k", ID: id, Outcome: outcome, Begin: at(from), End: at(to)}
}

func withMismatch(r promise.Result) promise.Result {
	r.Mismatch = "response to another request"
	return r
}

// Guards against checks that find nothing, with which every system test would pass. Each
// entry has a history that violates one promise, or one that the checks must accept.
var _ = DescribeTable("checks", func(results []promise.Result, effects []server.Effect, want string) {
	violations := promise.CheckAll(results, effects, func(server.Effect) bool { return true })
	violations = append(violations, promise.CheckDrained("route", "drained", at(100), effects)...)
	violations = append(violations, promise.CheckNotInterrupted(results)...)
	if want == "" {
		Expect(violations).To(BeEmpty())
		return
	}
	Expect(violations).To(ConsistOf(HavePrefix(want)))
},
	Entry("accept a change of owner with a higher epoch", nil, []server.Effect{effect("a", 1, "x", 0), effect("b", 2, "y", 5)}, ""),
	Entry("P1: two owners at one epoch", nil, []server.Effect{effect("a", 1, "x", 0), effect("b", 1, "y", 5)}, "P1: partition 3 has two owners"),
	Entry("P1: a request at the old owner after one at the new owner, in any order of observation", nil,
		[]server.Effect{effect("a", 1, "x", 9), effect("b", 2, "y", 5)}, "P1: partition 3 ran at epoch 1"),
	Entry("P3: response to another request", []promise.Result{withMismatch(result("x", "run", 0, 1))}, nil, "P3"),
	Entry("P4: reported not run, but ran", []promise.Result{result("x", "not-run", 0, 1)}, []server.Effect{effect("a", 1, "x", 0)}, "P4"),
	Entry("accept a request that was reported as not run and was not executed", []promise.Result{result("x", "not-run", 0, 1)}, []server.Effect{effect("a", 1, "y", 0)}, ""),
	Entry("accept a retry that did not run after an attempt that may have", []promise.Result{result("x", "run", 0, 1), result("x", "not-run", 5, 6)},
		[]server.Effect{effect("a", 1, "x", 0)}, ""),
	Entry("P5: two executions with one idempotency key", nil, []server.Effect{effect("a", 1, "x", 0), effect("b", 2, "x", 5)}, "P5"),
	Entry("accept a request at a drained target until the given time", nil, []server.Effect{effect("drained", 1, "x", 100)}, ""),
	Entry("P6: a new request after the given time", nil, []server.Effect{effect("drained", 1, "x", 101)}, "P6"),
	Entry("P7: a request with an unknown outcome", []promise.Result{result("x", "unknown", 0, 1)}, nil, "P7"),
)

var _ = DescribeTable("LongestUnavailability", func(results []promise.Result, want int) {
	Expect(promise.LongestUnavailability("route", results)).To(Equal(time.Duration(want) * time.Millisecond))
},
	Entry("is the duration of a successful request", []promise.Result{result("x", "run", 0, 7)}, 7),
	Entry("lasts from the first unsuccessful request to the next successful response", []promise.Result{
		result("c", "run", 500, 507), result("a", "not-run", 10, 20), result("b", "unknown", 30, 300),
	}, 497),
	Entry("counts a period that has not ended", []promise.Result{result("a", "run", 0, 1), result("b", "not-run", 10, 900)}, 890),
	Entry("starts again after a successful response", []promise.Result{result("a", "run", 0, 1), result("b", "run", 1000, 1001)}, 1),
)

// Guards against a client that reports a request on an interrupted connection as not run,
// or an unsent request as unknown. Either would hide broken promises or report false ones.
var _ = DescribeTable("the outcome reported by Clients.Send", func(h http.HandlerFunc, outcome string, mismatched bool) {
	address := "127.0.0.1:1" // nothing listens on the port
	if h != nil {
		s := httptest.NewServer(h)
		defer s.Close()
		address = s.Listener.Addr().String()
	}
	c := promise.NewClients(nil)
	r := c.Send(context.Background(), address, promise.Result{Service: "route", Key: "k", Method: http.MethodPost, ID: "id"})
	Expect(r.Outcome).To(Equal(outcome))
	Expect(r.Mismatch != "").To(Equal(mismatched))
},
	Entry("is not-run if the connection is refused", nil, "not-run", false),
	Entry("is unknown if the server closes the connection", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), "unknown", false),
	Entry("is run for a response to the request", reply(200, `{"path":"/items/k/id","key":"k"}`), "run", false),
	Entry("is run with a mismatch for a response to another key", reply(200, `{"path":"/items/k/id","key":"other"}`), "run", true),
	Entry("is run with a mismatch for a truncated body", reply(200, `{"path":"/items`), "run", true),
	Entry("is the outcome in a problem document", reply(503, `{"outcome":"not-run"}`), "not-run", false),
	Entry("is unknown for an error without a problem document", reply(502, `gone`), "unknown", false),
)

func reply(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}
