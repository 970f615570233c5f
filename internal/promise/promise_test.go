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

// effect is a run of a request from ms to ms+1.
func effect(target string, epoch uint64, id string, ms int) server.Effect {
	return server.Effect{
		Service: "route", Target: target, Partition: 3, Epoch: epoch, IdempotencyKey: id, Begin: at(ms), End: at(ms + 1),
	}
}

func result(id, outcome string, from, to int) promise.Result {
	return promise.Result{Service: "route", Key: "k", ID: id, Outcome: outcome, Begin: at(from), End: at(to)}
}

func wrong(r promise.Result) promise.Result {
	r.Mismatch = "answer of another request"
	return r
}

// Each entry has a history that a check must find broken, or one that it must
// accept; a check that finds nothing would make every proof worthless.
var _ = DescribeTable("checks", func(results []promise.Result, list []server.Effect, want string) {
	violations := promise.CheckAll(results, list, func(server.Effect) bool { return true })
	violations = append(violations, promise.CheckDrained("route", "drained", at(100), list)...)
	violations = append(violations, promise.CheckNotInterrupted(results)...)
	if want == "" {
		Expect(violations).To(BeEmpty())
		return
	}
	Expect(violations).To(ConsistOf(HavePrefix(want)))
},
	Entry("accept a hand-over with a higher epoch", nil, []server.Effect{effect("a", 1, "x", 0), effect("b", 2, "y", 5)}, ""),
	Entry("P1: two owners at one epoch", nil, []server.Effect{effect("a", 1, "x", 0), effect("b", 1, "y", 5)}, "P1: partition 3 has two owners"),
	Entry("P1: an old owner after the new one, in any order of observation", nil,
		[]server.Effect{effect("a", 1, "x", 9), effect("b", 2, "y", 5)}, "P1: partition 3 ran at epoch 1"),
	Entry("P3: answer of another request", []promise.Result{wrong(result("x", "run", 0, 1))}, nil, "P3"),
	Entry("P4: reported not run, but ran", []promise.Result{result("x", "not-run", 0, 1)}, []server.Effect{effect("a", 1, "x", 0)}, "P4"),
	Entry("accept not run and unknown that did not run and ran", []promise.Result{result("x", "not-run", 0, 1)}, []server.Effect{effect("a", 1, "y", 0)}, ""),
	Entry("accept a retry that did not run after an attempt that may have", []promise.Result{result("x", "run", 0, 1), result("x", "not-run", 5, 6)},
		[]server.Effect{effect("a", 1, "x", 0)}, ""),
	Entry("P5: one key ran twice", nil, []server.Effect{effect("a", 1, "x", 0), effect("b", 2, "x", 5)}, "P5"),
	Entry("accept work at a drained target until the time", nil, []server.Effect{effect("drained", 1, "x", 100)}, ""),
	Entry("P6: new work after the time", nil, []server.Effect{effect("drained", 1, "x", 101)}, "P6"),
	Entry("P7: a request without a certain outcome", []promise.Result{result("x", "unknown", 0, 1)}, nil, "P7"),
)

var _ = DescribeTable("LongestWait", func(results []promise.Result, want int) {
	Expect(promise.LongestUnavailability("route", results)).To(Equal(time.Duration(want) * time.Millisecond))
},
	Entry("is the duration of a request that is answered", []promise.Result{result("x", "run", 0, 7)}, 7),
	Entry("lasts from the first request without an answer to the next answer", []promise.Result{
		result("c", "run", 500, 507), result("a", "not-run", 10, 20), result("b", "unknown", 30, 300),
	}, 497),
	Entry("counts a wait that has not ended", []promise.Result{result("a", "run", 0, 1), result("b", "not-run", 10, 900)}, 890),
	Entry("starts again after an answer", []promise.Result{result("a", "run", 0, 1), result("b", "run", 1000, 1001)}, 1),
)

// Guards against a client that mistakes a cut connection for a request that was
// not run, which would hide broken promises, or the reverse.
var _ = DescribeTable("the client's outcome", func(h http.HandlerFunc, outcome string, isWrong bool) {
	address := "127.0.0.1:1" // nothing listens on the port
	if h != nil {
		s := httptest.NewServer(h)
		defer s.Close()
		address = s.Listener.Addr().String()
	}
	c := promise.NewClients(nil)
	r := c.Send(context.Background(), address, promise.Result{Service: "route", Key: "k", Method: http.MethodPost, ID: "id"})
	Expect(r.Outcome).To(Equal(outcome))
	Expect(r.Mismatch != "").To(Equal(isWrong))
},
	Entry("no connection", nil, "not-run", false),
	Entry("cut off", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), "unknown", false),
	Entry("own answer", reply(200, `{"path":"/items/k/id","key":"k"}`), "run", false),
	Entry("answer of another key", reply(200, `{"path":"/items/k/id","key":"other"}`), "run", true),
	Entry("half an answer", reply(200, `{"path":"/items`), "run", true),
	Entry("a problem", reply(503, `{"outcome":"not-run"}`), "not-run", false),
	Entry("an error that is no problem", reply(502, `gone`), "unknown", false),
)

func reply(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}
