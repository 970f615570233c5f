package daemon

import (
	"flag"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/boragegate/boragegate/store/memory"
)

var (
	measureEnabled = flag.Bool("measure", false, "measure unavailable times and the costs of the control plane")
	measureRuns    = flag.Int("measure.runs", 20, "number of failures of each kind")
)

const (
	// measureWindow is the time over which the costs of a system without requests and
	// changes are measured.
	measureWindow = 8 * time.Second
	// maxConcurrentSystems is the number of systems in which failures are measured concurrently.
	maxConcurrentSystems = 3
	// maxProbedKeys is the maximum number of keys that are probed in one system.
	maxProbedKeys = 4
)

// referenceConfig returns the configuration of docs/design.md, 8 instances in 4 zones and 31
// targets, or a smaller one of the same kind. The parameter keyed is the number of targets
// of the service "route", and others that of each of the services "booking" and "map",
// which are left out if it is 0.
func referenceConfig(instances, keyed, others int) systemConfig {
	cfg := systemConfig{instances: instances, zones: min(4, instances), targets: map[string]int{"route": keyed}, partitions: 1024}
	if others > 0 {
		cfg.targets["booking"], cfg.targets["map"], cfg.undivided = others, others, []string{"map"}
	}
	return cfg
}

// TestMeasure measures costs and unavailable times. It is skipped by default; run it with
// go test ./internal/daemon -run TestMeasure -measure -v
func TestMeasure(t *testing.T) {
	if !*measureEnabled {
		t.Skip("runs only with the flag -measure")
	}
	RegisterTestingT(t)
	t.Run("steady", measureSteady)
	t.Run("changes", measureChanges)
	t.Run("losses", measureFailures)
}

// cost is the total resource usage of the control plane up to a point in time.
type cost struct {
	at                      time.Time
	peerBytes, serverBytes  int64
	store                   memory.Counts
	cpu                     time.Duration
	storeReads, storeWrites int64
}

// byteCounter counts the bytes read and written on the connections of all servers.
type byteCounter struct{ bytes atomic.Int64 }

func (c *byteCounter) listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", loopback)
	return countingListener{ln, c}, err
}

type countingListener struct {
	net.Listener
	counter *byteCounter
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.counter}, err
}

type countingConn struct {
	net.Conn
	counter *byteCounter
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (s *system) measureCost(counter *byteCounter) cost {
	c := cost{at: time.Now(), serverBytes: counter.bytes.Load(), store: s.store.Counts()}
	c.storeReads, c.storeWrites = c.store.Reads(), c.store.Writes()
	for _, n := range s.live() {
		for _, name := range []string{"peer.bytes_sent", "peer.bytes_received"} {
			c.peerBytes += metrics.GetOrRegisterCounter(name, n.metrics).Count()
		}
	}
	var u syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &u)).To(Succeed())
	c.cpu = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	return c
}

// rates holds the costs per instance and second. The unit of cpu is cores.
type rates struct{ peerBytes, serverBytes, storeReads, storeWrites, cpu float64 }

// steadyRates measures the costs of the system without requests and changes.
func (s *system) steadyRates(counter *byteCounter) rates {
	time.Sleep(2 * time.Second) // until the last handovers of the start have ended
	a := s.measureCost(counter)
	time.Sleep(measureWindow)
	b := s.measureCost(counter)
	instanceSeconds := float64(len(s.live())) * b.at.Sub(a.at).Seconds()
	return rates{
		peerBytes: float64(b.peerBytes-a.peerBytes) / instanceSeconds, serverBytes: float64(b.serverBytes-a.serverBytes) / instanceSeconds,
		storeReads: float64(b.storeReads-a.storeReads) / instanceSeconds, storeWrites: float64(b.storeWrites-a.storeWrites) / instanceSeconds,
		cpu: (b.cpu - a.cpu).Seconds() / instanceSeconds,
	}
}

func measureSteady(t *testing.T) {
	for _, size := range []struct{ instances, keyed, others int }{{8, 15, 8}, {5, 15, 8}, {3, 15, 8}, {8, 15, 0}, {8, 8, 0}} {
		counter := &byteCounter{}
		cfg := referenceConfig(size.instances, size.keyed, size.others)
		cfg.listen = counter.listen
		t.Run(fmt.Sprintf("%d instances %d targets", size.instances, size.keyed+2*size.others), func(t *testing.T) {
			RegisterTestingT(t)
			s := launchSystem(cfg, t.Cleanup)
			r := s.steadyRates(counter)
			t.Logf("per instance: peer %.0f B/s sent+received, servers %.0f B/s, store %.2f reads/s %.2f writes/s, CPU %.2f%% of a core (servers and store included)",
				r.peerBytes, r.serverBytes, r.storeReads, r.storeWrites, 100*r.cpu)
		})
	}
}

// measureChanges measures the additional costs of a planned handover and of a takeover of
// one target, in all instances together.
func measureChanges(t *testing.T) {
	RegisterTestingT(t)
	counter := &byteCounter{}
	cfg := referenceConfig(8, 15, 8)
	cfg.listen = counter.listen
	s := launchSystem(cfg, t.Cleanup)
	steadyCosts := s.steadyRates(counter)
	report := func(name, target string, change func()) {
		moved := len(s.assignment("route").PartitionsOf(target))
		a := s.measureCost(counter)
		change()
		Eventually(func() []int { return s.assignment("route").PartitionsOf(target) }, "30s", "1ms").Should(BeEmpty())
		duration := time.Since(a.at)
		time.Sleep(time.Second)
		b := s.measureCost(counter)
		instanceSeconds := 8 * b.at.Sub(a.at).Seconds()
		t.Logf("%s of %d partitions in %s: peer %.0f B, servers %.0f B, store %.0f reads %d writes",
			name, moved, duration.Round(time.Millisecond), float64(b.peerBytes-a.peerBytes)-instanceSeconds*steadyCosts.peerBytes, float64(b.serverBytes-a.serverBytes)-instanceSeconds*steadyCosts.serverBytes,
			float64(b.storeReads-a.storeReads)-instanceSeconds*steadyCosts.storeReads, b.storeWrites-a.storeWrites)
	}
	report("planned handover", "r2", func() {
		_, err := s.apply(s.live()[0], drain("route/r2"))
		Expect(err).NotTo(HaveOccurred())
	})
	time.Sleep(3 * time.Second)
	report("takeover", "r3", func() { s.servers["route/r3"].Kill() })
}

func measureFailures(t *testing.T) {
	for _, kind := range []struct {
		name       string
		newFailure func(*system) failure
	}{
		{"one server", func(*system) failure { return failure{targets: []string{"route/r2"}} }},
		{"one instance", func(s *system) failure { return failure{instances: []string{s.controllerOf("route/r2")}} }},
		{"one rack", func(s *system) failure { return failure{targets: s.rack()} }},
		{"one zone", func(s *system) failure { return s.zoneFailure(zone(1)) }},
	} {
		t.Run(kind.name, func(t *testing.T) {
			RegisterTestingT(t)
			var mu sync.Mutex
			var all []time.Duration
			slots := make(chan struct{}, maxConcurrentSystems)
			var wg sync.WaitGroup
			for range *measureRuns {
				slots <- struct{}{}
				wg.Go(func() {
					defer func() { <-slots }()
					times := measureFailure(kind.newFailure)
					mu.Lock()
					defer mu.Unlock()
					all = append(all, times...)
				})
			}
			wg.Wait()
			slices.Sort(all)
			unserved := 0
			for len(all) > 0 && all[0] < 0 {
				unserved, all = unserved+1, all[1:]
			}
			if len(all) == 0 {
				t.Fatalf("no key was served within 2 s after the failure of %s", kind.name)
			}
			t.Logf("unavailable after the failure of %s: min %s median %s max %s (%d keys, %d runs, %d keys not served within 2 s)",
				kind.name, round(all[0]), round(all[len(all)/2]), round(all[len(all)-1]), len(all), *measureRuns, unserved)
		})
	}
}

// rack returns the row IDs of two servers of the probed service in the same zone.
func (s *system) rack() []string {
	ids := slices.DeleteFunc(s.targetsIn(zone(1)), func(id string) bool { return id != "route/"+targetName(id) })
	return ids[:2]
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func measureFailure(newFailure func(*system) failure) []time.Duration {
	var stop func()
	s := launchSystem(referenceConfig(8, 15, 8), func(f func()) { stop = f })
	defer func() { stop() }()
	f := newFailure(s)
	keys := s.keysOf("route", s.affectedTargets("route", f), 1)
	addresses := s.survivingAddresses(f)
	stopProbe := s.startProbe("route", keys[:min(len(keys), maxProbedKeys)], addresses)
	time.Sleep(300 * time.Millisecond)
	failedAt := s.injectFailure(f)
	time.Sleep(2 * maxUnavailableTime)
	var times []time.Duration
	for _, d := range unavailableTimes(failedAt, stopProbe()) {
		times = append(times, d)
	}
	return times
}
