package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/idempotency"
	"github.com/boragegate/boragegate/internal/route"
	"github.com/boragegate/boragegate/ownership"
	"github.com/boragegate/boragegate/table"

	_ "github.com/boragegate/boragegate/internal/seedtest" // the same cases in every run
)

var _ = Describe("target selection", func() {
	var (
		clock    *clockwork.FakeClock
		gateway  *Gateway
		service  *route.Service
		snapshot *route.AtomicSnapshot
	)
	target := func(name, zone string, weight float64) *route.Target {
		return &route.Target{Ready: true, ForwardAddress: "x", Row: table.Row{Service: "s", Target: name, Zone: zone, Weight: weight, Slots: 4}}
	}
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		snapshot = &route.AtomicSnapshot{}
		gateway = New(Config{Zone: "a", Routes: snapshot, Clock: clock})
		service = &route.Service{Service: table.Service{Name: "s"}}
	})
	// countChoices counts how often each target is chosen while nothing is
	// outstanding.
	countChoices := func() map[string]int {
		count := map[string]int{}
		for range 4000 {
			if t := gateway.chooseTarget(service, &call{}); t != nil {
				count[t.Row.Target]++
			}
		}
		return count
	}

	It("excludes targets that cannot serve", func() {
		// Guards against requests to targets that are drained, have no weight, or are
		// not ready.
		drained, zero, unready := target("drained", "a", 1), target("zero", "a", 0), target("unready", "a", 1)
		drained.Row.Drain, unready.Ready = true, false
		service.Targets = []*route.Target{drained, zero, unready}
		Expect(countChoices()).To(BeEmpty())
	})

	It("prefers its own zone and targets that have been ready for longer", func() {
		// Guards against a target that has just started and gets its full share of the
		// requests at once.
		slowStarting := target("young", "a", 1)
		slowStarting.ReadySince = clock.Now().UnixMilli()
		service.Targets = []*route.Target{target("near", "a", 1), target("far", "b", 1), slowStarting}
		got := countChoices()
		Expect(got["near"]).To(BeNumerically(">", got["far"]))
		Expect(got["far"]).To(BeNumerically(">", got["young"]))
	})

	It("draws by weight", func() {
		// Guards against a target that gets no more requests than others of much less
		// weight.
		service.Targets = []*route.Target{target("one", "a", 1), target("two", "a", 1), target("eight", "a", 8)}
		Expect(countChoices()["eight"]).To(BeNumerically(">", 2000))
	})

	It("prefers its own count over load reports, and ignores old reports", func() {
		// Guards against a target that reports no load or far too much, and against
		// reports that have expired.
		s := gateway.statistics.forTarget("s/t")
		estimate := func() float64 { n, _, _ := s.estimate(clock.Now(), 4); return n }
		s.outstanding.Add(3)
		s.recordLoad(clock.Now(), 0)
		Expect(estimate()).To(BeEquivalentTo(3))
		s.recordLoad(clock.Now(), 1000)
		Expect(estimate()).To(BeEquivalentTo(7))
		clock.Advance(loadReportTTL)
		Expect(estimate()).To(BeEquivalentTo(3))
	})

	It("decays the latency of a target that was slow", func() {
		// Guards against a target that was slow once, keeps its high latency estimate
		// and is therefore never tried again.
		s := gateway.statistics.forTarget("s/t")
		s.recordLatency(clock.Now(), time.Second)
		clock.Advance(10 * latencyHalfLife)
		_, latency, _ := s.estimate(clock.Now(), 4)
		Expect(latency).To(BeNumerically("~", initialLatency, time.Millisecond))
	})
})

var _ = Describe("in-flight requests", func() {
	It("are complete before a handover is confirmed", func() {
		// Guards against a handover that is confirmed while a request runs, and
		// against requests that are admitted after it.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			i := newInflight(clockwork.NewFakeClock())
			tenure, running, stopped, done := idempotency.Tenure{Term: 1, Epoch: 1}, 0, false, false
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0, 1:
					if i.begin(3, tenure) == stopped {
						t.Fatalf("begin returned %v, expected the opposite of whether admission is stopped", stopped)
					}
					if !stopped {
						running++
					}
				case 2:
					if running > 0 {
						i.end(3, 0)
						running--
					}
				case 3:
					if !stopped {
						stopped, done = true, false
						i.stop([]int{3, 4}, func(int) idempotency.Tenure { return tenure }, func() { done = true })
					}
				case 4:
					if stopped && done {
						tenure.Epoch, stopped = tenure.Epoch+1, false
					}
				}
				if stopped && done != (running == 0) {
					t.Fatalf("handover confirmed = %v with %d requests running, expected confirmation exactly when none is running", done, running)
				}
			}
		})
	})

	It("count for as long as the server may work on them after the connection closed", func() {
		// Guards against a handover while such a server still works on a request.
		clock := clockwork.NewFakeClock()
		i := newInflight(clock)
		var done atomic.Bool
		tenure := idempotency.Tenure{Term: 1, Epoch: 1}
		Expect(i.begin(0, tenure)).To(BeTrue())
		i.end(0, time.Minute)
		i.stop([]int{0}, func(int) idempotency.Tenure { return tenure }, func() { done.Store(true) })
		clock.Advance(time.Minute - 1)
		Expect(done.Load()).To(BeFalse())
		clock.Advance(1)
		Eventually(done.Load).Should(BeTrue())
	})
})

var _ = Describe("gateway", func() {
	It("reports slot time by partition and key, once", func() {
		// Guards against load that is counted twice or in the wrong interval.
		clock := clockwork.NewFakeClock()
		u := &slotUsage{intervalStart: clock.Now()}
		for range 3 {
			u.add(7, "hot", 2*time.Second)
		}
		u.add(8, "cold", time.Second)
		u.add(noPartition, "", time.Second)
		clock.Advance(10 * time.Second)
		Expect(u.collect("s/t", clock.Now())).To(Equal(ownership.LoadReport{
			Target:     "s/t",
			Partitions: []ownership.PartitionLoad{{Partition: 7, Load: 0.6}, {Partition: 8, Load: 0.1}},
			HotKeys:    []ownership.KeyLoad{{Key: "hot", Partition: 7, Load: 0.6}, {Key: "cold", Partition: 8, Load: 0.1}},
		}))
		clock.Advance(time.Second)
		Expect(u.collect("s/t", clock.Now()).Partitions).To(BeEmpty())
	})

	DescribeTable("limits request bodies",
		// Guards against callers that exhaust memory, slow callers that occupy slots,
		// and truncated bodies that are forwarded.
		func(method, header, body string, chunked bool, status int) {
			routes := &route.AtomicSnapshot{}
			routes.Store(&route.Snapshot{Serving: true, Services: map[string]*route.Service{
				"s": {Service: table.Service{Name: "s", NotRepeatable: []string{"PUT"}, Partitions: 1}},
			}})
			g := New(Config{Routes: routes, Authority: alwaysAuthorized{}, MaxBody: 3 << 20, StallTimeout: 20 * time.Millisecond, HandoverTimeout: time.Millisecond})
			conn, err := net.Dial("tcp", serveHandler(GinkgoTB(), g.CallerHandler()))
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			if chunked {
				body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
			}
			go func() {
				_, _ = io.WriteString(conn, method+" /s/x HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\n"+header+"\r\n\r\n"+body)
			}()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(status))
			Expect(resp.Header.Get(headerOutcome)).To(Equal("not-run"))
		},
		Entry("announced length too large", "POST", "Content-Length: 4000000", "", false, 413),
		Entry("too large for an idempotency fingerprint", "PUT", "Transfer-Encoding: chunked", strings.Repeat("x", maxIdempotentBody+1), true, 413),
		Entry("stalled", "POST", "Content-Length: 10", "abc", false, 400),
		Entry("no target, after the whole body", "POST", "Content-Length: 3", "abc", false, 503),
	)

	It("waits for the requests in flight at shutdown", func() {
		// Guards against a shutdown that cuts off a request.
		s := newSession(dividedService())
		arrived, release := make(chan struct{}), make(chan struct{})
		s.script("t1", replyAfter(func() { close(arrived); <-release }, okResponse))
		c := s.connect().send("GET /route/routes/k1 HTTP/1.1\nHost: h\n\n")
		<-arrived
		expired, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(s.a.gateway.Shutdown(expired)).To(MatchError(context.Canceled))
		Expect(s.a.gateway.ActiveRequests()).To(Equal(1))
		close(release)
		Expect(c.receive().StatusCode).To(Equal(http.StatusOK))
		Expect(s.a.gateway.Shutdown(context.Background())).To(Succeed())
	})

	It("rejects requests while the instance is not serving", func() {
		// Guards against requests that run under a table that cannot be confirmed.
		routes := &route.AtomicSnapshot{}
		routes.Store(&route.Snapshot{Reason: "the table is not confirmed"})
		w := httptest.NewRecorder()
		New(Config{Routes: routes}).CallerHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/route/x", nil))
		Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(w.Header()).To(And(HaveKeyWithValue(headerOutcome, []string{"not-run"}), HaveKey(headerRetryAfter)))
	})
})
