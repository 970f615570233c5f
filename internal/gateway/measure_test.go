package gateway

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/boragegate/boragegate/internal/load"
	"github.com/boragegate/boragegate/internal/route"
	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/table"
)

// runMeasurements enables the measurements. Their results depend on the machine,
// so they check no times.
var runMeasurements = flag.Bool("measure", false, "run the measurements")

type alwaysAuthorized struct{}

func (alwaysAuthorized) MayServe() bool                          { return true }
func (alwaysAuthorized) ControlsTarget(string, uint64) bool      { return true }
func (alwaysAuthorized) MayRun(string, uint64, int, uint64) bool { return true }

// serveHandler serves h on a free port until the end of the test and returns the
// address.
func serveHandler(t testing.TB, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

// plainForwarder returns the handler that the gateway is compared with. It
// forwards method, path, headers and bodies, and has no policy.
func plainForwarder(next, strip string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u := *r.URL
		u.Scheme, u.Host, u.Path = "http", next, u.Path[len(strip):]
		out := (&http.Request{Method: r.Method, URL: &u, Header: r.Header, Body: r.Body, ContentLength: r.ContentLength, Host: r.Host}).WithContext(r.Context())
		resp, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
}

// startChain starts a controller of a target at the given server, and an entry
// instance, which forwards the requests of callers to the controller. It returns the
// address of the entry's caller listener.
func startChain(t testing.TB, server string, slots, queue int) string {
	snapshot := func(local bool, forward string) *route.Snapshot {
		s := &route.Service{
			Service:    table.Service{Name: "svc", Divided: true, Partitions: 1024, ChecksGrants: true},
			Assignment: placement.NewAssignment("svc", 1024),
		}
		r := &route.Target{Local: local, ForwardAddress: forward, Ready: true, Term: 1, Row: table.Row{
			Service: "svc", Target: "t1", Address: server, Weight: 1, Slots: slots, Connections: slots, Queue: queue,
		}}
		s.Targets, s.AssignmentTargets, s.Assignment.Targets = []*route.Target{r}, []*route.Target{r}, []string{"t1"}
		for p := range s.Assignment.Owner {
			s.Assignment.Owner[p] = 0
		}
		return &route.Snapshot{Serving: true, Services: map[string]*route.Service{"svc": s}}
	}
	entry, controller := &route.AtomicSnapshot{}, &route.AtomicSnapshot{}
	controller.Store(snapshot(true, ""))
	b := New(Config{Self: "b", Routes: controller, Authority: alwaysAuthorized{}})
	entry.Store(snapshot(false, serveHandler(t, b.ForwardHandler())))
	a := New(Config{Self: "a", Routes: entry, Authority: alwaysAuthorized{}})
	return serveHandler(t, a.CallerHandler())
}

// TestMeasurePath compares the throughput and the latency of a direct call, a chain
// of two plain forwarders and a chain of two instances, in alternating rounds. It
// prints the medians.
//
//	go test ./internal/gateway -run TestMeasurePath -measure -v
func TestMeasurePath(t *testing.T) {
	if !*runMeasurements {
		t.Skip("needs -measure")
	}
	echo := load.Echo("t1")
	direct := serveHandler(t, http.StripPrefix("/svc", echo))
	server := serveHandler(t, echo)
	second := serveHandler(t, plainForwarder(server, "/svc"))
	paths := []string{"direct", "forwarder", "gateway"}
	addresses := []string{direct, serveHandler(t, plainForwarder(second, "")), startChain(t, server, 512, 512)}

	const rounds, roundTime, workers = 5, 600 * time.Millisecond, 16
	rates := make([][]float64, len(paths))
	for range rounds {
		for i, address := range addresses {
			rates[i] = append(rates[i], throughput(t, address, workers, roundTime))
		}
	}
	for i, path := range paths {
		t.Logf("%-9s throughput %6.0f/s, %.2f of the forwarder's", path, median(rates[i]), median(rates[i])/median(rates[1]))
	}
	for _, rate := range []float64{median(rates[2]) / 2, 1000} {
		p50, p99 := make([][]float64, len(paths)), make([][]float64, len(paths))
		for range rounds {
			for i, address := range addresses {
				res := offerLoad(t, address, rate, roundTime, time.Second)
				p50[i], p99[i] = append(p50[i], float64(res.Latency.P50)), append(p99[i], float64(res.Latency.P99))
			}
		}
		for i, path := range paths {
			t.Logf("%-9s at %.0f/s: p50 %4.0f µs (added %4.0f), p99 %5.0f µs (added %5.0f)",
				path, rate, median(p50[i]), median(p50[i])-median(p50[0]), median(p99[i]), median(p99[i])-median(p99[0]))
		}
	}
}

// offerLoad sends requests on an open-loop schedule.
func offerLoad(t testing.TB, address string, rate float64, d, deadline time.Duration) load.Result {
	res, err := load.Run(context.Background(), load.Config{
		URLs: []string{"http://" + address}, Service: "svc", Rate: rate, Duration: d, MaxOutstanding: 2048, Timeout: deadline,
	}, io.Discard)
	if err != nil || res.Mismatched > 0 {
		t.Fatalf("load run failed or got mismatched responses: error %v, result %+v", err, res)
	}
	return res
}

// TestMeasureGoodput offers multiples of the capacity of one target, 600/s, over
// the network and in real time. TestGoodput checks the bounds.
//
//	go test ./internal/gateway -run TestMeasureGoodput -measure -v
func TestMeasureGoodput(t *testing.T) {
	if !*runMeasurements {
		t.Skip("needs -measure")
	}
	echo := load.Echo("t1")
	address := startChain(t, serveHandler(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(10 * time.Millisecond)
		echo.ServeHTTP(w, r)
	})), 6, 40)
	peak := 0.0
	for _, loadFactor := range []float64{0.5, 1, 2, 10} {
		res := offerLoad(t, address, 600*loadFactor, 3*time.Second, 100*time.Millisecond)
		peak = max(peak, res.GoodPerSecond)
		t.Logf("%4.1f × capacity: %3.0f/s in time, %.2f of the peak so far, p99 %d µs; refusals p50 %d µs, p99 %d µs; broken %d, outcomes %v",
			loadFactor, res.GoodPerSecond, res.GoodPerSecond/peak, res.Latency.P99, res.ErrorLatency.P50, res.ErrorLatency.P99, res.Broken, res.Outcomes)
	}
}

// throughput returns the requests per second that workers complete, each of which
// sends one request at a time.
func throughput(t testing.TB, address string, workers int, d time.Duration) float64 {
	transport := &http.Transport{MaxIdleConnsPerHost: workers, DisableCompression: true}
	defer transport.CloseIdleConnections()
	var done atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for w := range workers {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				req, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/svc/items/%d/%d", address, w, n), nil)
				req.Header.Set(headerKey, "k")
				resp, err := transport.RoundTrip(req)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Error("request failed or did not get status 200: ", err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				done.Add(1)
			}
		})
	}
	wg.Wait()
	return float64(done.Load()) / d.Seconds()
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// cpuTime returns the processor time that this process has used, or 0 if it is
// not available.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPath measures time, processor time and allocations per request, with one
// request at a time. The processor time is less affected by other load on the
// machine.
func BenchmarkPath(b *testing.B) {
	echo := load.Echo("t1")
	server := serveHandler(b, echo)
	for path, address := range map[string]string{
		"forwarder": serveHandler(b, plainForwarder(serveHandler(b, plainForwarder(server, "/svc")), "")),
		"gateway":   startChain(b, server, 512, 512),
	} {
		b.Run(path, func(b *testing.B) {
			b.ReportAllocs()
			transport := &http.Transport{}
			begin := cpuTime()
			defer func() { b.ReportMetric(float64(cpuTime()-begin)/float64(b.N), "cpu-ns/op") }()
			for b.Loop() {
				req, _ := http.NewRequest(http.MethodGet, "http://"+address+"/svc/items/k/1", nil)
				req.Header.Set(headerKey, "k")
				resp, err := transport.RoundTrip(req)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
}
