package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/boragegate/boragegate/admission"
	"github.com/boragegate/boragegate/internal/route"
	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/table"
)

// Minimum goodput at 2 and 10 times the capacity, as a fraction of the peak
// (docs/design.md, section 9).
const (
	minGoodputAt2  = 0.95
	minGoodputAt10 = 0.90
)

// Parameters of the simulated service, whose capacity is 4 × 6 slots / 20 ms =
// 1200/s.
const (
	simTargets     = 4
	simSlots       = 6
	simServiceTime = 20 * time.Millisecond
	simDeadline    = 200 * time.Millisecond
	simWarmUp      = time.Second
	// simMeasured is the time in which requests are counted at the capacity, less with a higher load, but at least
	// minSimMeasured. Random arrivals have to average out: an owner that is offered its capacity of 300/s receives up to a
	// tenth less in a single second.
	simMeasured    = 8 * time.Second
	minSimMeasured = time.Second
)

// simulation is an instance that callers connect to, with the real target
// selection. It forwards to simulated controllers with real admission gates and
// simulated servers, in simulated time.
type simulation struct {
	gates         map[string]*admission.Gate
	service       func(target string) time.Duration // mean service time
	underreporter string                            // ID of a target that reports no load
	hotFraction   float64                           // fraction of requests for one key
	hotID         string                            // owner of that key
}

// RoundTrip simulates the controller of the target.
func (s *simulation) RoundTrip(req *http.Request) (*http.Response, error) {
	id := req.Header.Get(headerTarget)
	deadline, _ := req.Context().Deadline()
	w := httptest.NewRecorder()
	gate := s.gates[id]
	permit, err := gate.Acquire(req.Context(), admission.Request{Key: req.Header.Get(headerKey), Deadline: deadline})
	load := gate.Load()
	if id == s.underreporter {
		load = admission.Load{}
	}
	w.Header()[headerLoad] = newLoadHeader(load)[headerLoad]
	if rejection := new(admission.RejectionError); errors.As(err, &rejection) {
		w.Header().Set(headerRetryHint, string(retryNever))
		f := unavailable(string(rejection.Reason), "")
		f.retryAfter = rejection.RetryAfter
		f.write(w, "")
		return w.Result(), nil
	}
	if err != nil { // the context has ended, and there is no permit
		return nil, err
	}
	defer permit.Release()
	time.Sleep(s.service(id) / 2 * time.Duration(100+rand.IntN(100)) / 75) // uniform between 2/3 and 4/3 of the service time
	return w.Result(), nil
}

func (s *simulation) newGateway() *Gateway {
	service := &route.Service{
		Service:    table.Service{Name: "svc", Divided: s.hotFraction > 0, Partitions: 1024},
		Assignment: placement.NewAssignment("svc", 1024),
	}
	for i := range simTargets {
		row := table.Row{Service: "svc", Target: "t" + strconv.Itoa(i), Weight: 1, Slots: simSlots, Queue: 40}
		service.Targets = append(service.Targets, &route.Target{Row: row, Ready: true, ForwardAddress: "127.0.0.1:1"})
		s.gates[row.ID()] = admission.NewGate(limitsOf(row), clockwork.NewRealClock())
	}
	service.AssignmentTargets = service.Targets
	for p := range service.Assignment.Owner {
		service.Assignment.Owner[p] = uint16(p % simTargets)
	}
	s.hotID = ownerOfKey(service, "hot").target.Row.ID()
	routes := &route.AtomicSnapshot{}
	routes.Store(&route.Snapshot{Serving: true, Services: map[string]*route.Service{"svc": service}})
	return New(Config{Routes: routes, Authority: alwaysAuthorized{}, ForwardTransport: s})
}

// run offers requests on a fixed schedule, at loadFactor times the capacity. goodput
// is the number of requests per second that were served before their deadline.
// Of the requests for other keys at the hot key's owner, otherKeys is the fraction
// that was served before its deadline. Requests during the warm-up are not counted.
func (s *simulation) run(loadFactor float64) (goodput, otherKeys float64) {
	s.gates = map[string]*admission.Gate{}
	g := s.newGateway()
	service := g.cfg.Routes.Load().Services["svc"]
	rate := loadFactor * simTargets * simSlots / simServiceTime.Seconds()
	var good, otherSent, otherGood atomic.Int64
	var wg sync.WaitGroup
	keys := rand.New(rand.NewPCG(1, 2)) // the same keys in every run
	measuredTime := max(time.Duration(float64(simMeasured)/max(loadFactor, 1)), minSimMeasured)
	begin := time.Now()
	for n := 0; float64(n) < rate*(simWarmUp+measuredTime).Seconds(); n++ {
		time.Sleep(time.Until(begin.Add(time.Duration(float64(n) / rate * float64(time.Second)))))
		key := "k" + strconv.Itoa(keys.IntN(5000))
		if keys.Float64() < s.hotFraction {
			key = "hot"
		}
		measured := time.Since(begin) > simWarmUp
		isOtherKey := key != "hot" && ownerOfKey(service, key).target.Row.ID() == s.hotID
		wg.Go(func() {
			sent := time.Now()
			r := httptest.NewRequest(http.MethodGet, "/svc/x", nil)
			r.Header.Set(headerKey, key)
			r.Header.Set(headerDeadline, strconv.FormatInt(simDeadline.Milliseconds(), 10))
			w := httptest.NewRecorder()
			g.CallerHandler().ServeHTTP(w, r)
			ok := w.Code == http.StatusOK && time.Since(sent) <= simDeadline
			if measured && ok {
				good.Add(1)
			}
			if measured && isOtherKey {
				otherSent.Add(1)
				if ok {
					otherGood.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return float64(good.Load()) / measuredTime.Seconds(), float64(otherGood.Load()) / float64(max(otherSent.Load(), 1))
}

// TestGoodput guards against a loss of goodput under overload: by work for callers
// that have timed out, by targets that attract requests which they cannot serve,
// and by a hot key that starves the others.
func TestGoodput(t *testing.T) {
	normal := func(string) time.Duration { return simServiceTime }
	slower := func(factor time.Duration) func(string) time.Duration {
		return func(id string) time.Duration {
			if id == "svc/t0" {
				return factor * simServiceTime
			}
			return simServiceTime
		}
	}
	for name, s := range map[string]*simulation{
		"healthy":     {service: normal},
		"slow target": {service: slower(5)},
		"false load":  {service: slower(3), underreporter: "svc/t0"},
		"hot key":     {service: normal, hotFraction: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if testing.Short() {
				t.Skip("slow with the race detector")
			}
			synctest.Test(t, func(t *testing.T) {
				goodput := map[float64]float64{}
				peak := 0.0
				for _, loadFactor := range []float64{0.5, 1, 2, 10} {
					var otherKeys float64
					goodput[loadFactor], otherKeys = s.run(loadFactor)
					peak = max(peak, goodput[loadFactor])
					// At the service's capacity, the hot key alone offers its owner
					// twice the load that it can serve, and the other keys offer half.
					if loadFactor == 1 && s.hotFraction > 0 && otherKeys < minGoodputAt10 {
						t.Errorf("fraction %.2f of the requests for other keys at the hot key's owner served in time, below the bound", otherKeys)
					}
					t.Logf("%4.1f × capacity: %4.0f/s in time; other keys at the hot key's owner %.2f", loadFactor, goodput[loadFactor], otherKeys)
				}
				if r := goodput[2] / peak; r < minGoodputAt2 {
					t.Errorf("goodput at 2 × capacity is %.3f of the peak, below the bound", r)
				}
				if r := goodput[10] / peak; r < minGoodputAt10 {
					t.Errorf("goodput at 10 × capacity is %.3f of the peak, below the bound", r)
				}
			})
		})
	}
}

// TestSimulationOfEndedRequest guards against a simulation that goes on without a permit when the caller's time ends while
// the request waits at a gate.
func TestSimulationOfEndedRequest(t *testing.T) {
	deadline := time.Now().Add(time.Minute)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	cancel()
	row := table.Row{Service: "svc", Target: "t0", Weight: 1, Slots: 1, Queue: 1}
	gate := admission.NewGate(limitsOf(row), clockwork.NewRealClock())
	permit, err := gate.Acquire(context.Background(), admission.Request{Deadline: deadline}) // a later request has to wait
	if err != nil {
		t.Fatal(err)
	}
	defer permit.Release()
	s := &simulation{gates: map[string]*admission.Gate{"t0": gate}}
	request := httptest.NewRequest(http.MethodGet, "/", nil).WithContext(ctx)
	request.Header.Set(headerTarget, "t0")
	if _, err := s.RoundTrip(request); !errors.Is(err, context.Canceled) { //nolint:bodyclose // there is no response
		t.Fatalf("got %v, want the error of the context", err)
	}
}
