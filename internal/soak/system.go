package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/boragegate/boragegate/internal/freeport"
	"github.com/boragegate/boragegate/platform"
	"github.com/boragegate/boragegate/platform/standin"
)

const (
	// gracePeriod is the time between SIGTERM and SIGKILL.
	gracePeriod = 4 * time.Second
	// storeHistoryLength is the number of changes that the store retains for watchers.
	storeHistoryLength = 500
	// executionTime is the time that a target takes to execute a request.
	executionTime = 10 * time.Millisecond
	// partitionedService and unpartitionedService are the names of the configured services.
	partitionedService   = "svc"
	unpartitionedService = "book"
)

// clockRates are the rates of the targets' clocks relative to real time. A clock may be
// slow by up to 2%.
var clockRates = []float64{1, 0.98, 0.99}

// system holds the instance processes and the stand-ins of one run.
type system struct {
	run          *run
	store        *standin.Store
	storeServer  *http.Server
	storeAddress string
	instances    []*instance
	targets      []*target

	mu      sync.Mutex
	version uint64 // of the configuration
}

// instance is a simulated machine and the process of an instance that runs on it.
type instance struct {
	standin.Machine
	settingsPath string
	storeProxy   *proxy
	log          *os.File

	mu            sync.Mutex
	process       *exec.Cmd
	startedAt     time.Time
	exited        chan struct{}
	stopRequested *atomic.Bool // set if a signal that ends the process has been sent
	// onExit is called when the process exits although no such signal was sent. It reports a
	// violation and restarts the process.
	onExit func(err error)
}

// target is a network address at which at most one backend server runs at a time. Each new
// server there has its own ID.
type target struct {
	service string
	server  *http.Server
	proxy   *proxy

	limit atomic.Pointer[rateLimit] // nil while the target names none

	mu      sync.Mutex
	entry   standin.TargetEntry
	running *standin.Target // nil while no server runs
}

// serve starts an HTTP server on a free loopback port and returns it with its address.
func serve(h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }() // returns after Close
	return s, l.Addr().String(), nil
}

func newSystem(r *run) (*system, error) {
	s := &system{run: r, store: standin.NewStore(storeHistoryLength)}
	var err error
	if s.storeServer, s.storeAddress, err = serve(s.store); err != nil {
		return nil, err
	}
	s.changeConfig()
	for i := range r.options.Targets {
		service := partitionedService
		if i%3 == 2 {
			service = unpartitionedService
		}
		if err := s.addTarget(service); err != nil {
			return nil, err
		}
	}
	for i := range r.options.Instances {
		if err := s.addInstance(i); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// changeConfig stores the next version of the configuration with the same routes.
func (s *system) changeConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.store.Put(standin.KindConfig, standin.NameConfig, standin.ConfigSpec(s.version, "/b/", unpartitionedService))
}

func (s *system) addTarget(service string) error {
	t := &target{service: service}
	server, address, err := serve(t)
	if err != nil {
		return err
	}
	t.server = server
	if t.proxy, err = newProxy(address); err != nil {
		return err
	}
	s.targets = append(s.targets, t)
	s.startTarget(t)
	return nil
}

// startTarget starts a new server at the target's address with a new ID and puts its entry
// into the store.
func (s *system) startTarget(t *target) {
	n := s.run.checker.nextTarget()
	newTarget := standin.NewTarget(fmt.Sprintf("%s-%d", t.service, n))
	newTarget.ClockRate = clockRates[n%len(clockRates)]
	newTarget.SetDelay(executionTime)
	newTarget.OnExecute = func(id string, key int) { s.run.checker.recordExecution(s, newTarget, id, key) }
	t.mu.Lock()
	t.running = newTarget
	t.entry = standin.TargetEntry{Address: t.proxy.address(), Service: t.service, Zone: "z", StartUnixMilli: time.Now().UnixMilli(), Slots: 6}
	spec := t.entry.Spec()
	t.mu.Unlock()
	s.store.Put(standin.KindTargets, newTarget.ID, spec)
}

// stop ends the running server, resets its connections and returns its ID. Its entry stays
// in the store.
func (t *target) stop() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := t.running.ID
	t.running = nil
	t.proxy.resetConnections()
	return id
}

// markDraining sets the target's entry in the store to draining.
func (s *system) markDraining(t *target) {
	t.mu.Lock()
	t.entry.Draining = true
	id, spec := t.running.ID, t.entry.Spec()
	t.mu.Unlock()
	s.store.Put(standin.KindTargets, id, spec)
}

func (t *target) runningTarget() *standin.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}

// ServeHTTP passes a request to the running server. It aborts the connection if there is
// none.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	running := t.runningTarget()
	if running == nil {
		panic(http.ErrAbortHandler)
	}
	if limit := t.limit.Load(); limit != nil && !strings.HasPrefix(r.URL.Path, "/api/") {
		limit.recordArrival()
		w.Header().Set(platform.NewHeaders().RateLimit, limit.header())
	}
	running.ServeHTTP(w, r)
}

func (s *system) addInstance(n int) error {
	i := &instance{Machine: standin.Machine{
		Name: fmt.Sprintf("i%d", n), IP: fmt.Sprintf("127.0.%d.%d", s.run.options.Subnet, 10+n), Zone: "z", GracePeriod: gracePeriod,
	}}
	ports, err := freeport.Choose(i.IP, 3)
	if err != nil {
		return err
	}
	i.CallerPort, i.ReadinessPort, i.PeerPort = ports[0], ports[1], ports[2]
	if i.storeProxy, err = newProxy(s.storeAddress); err != nil {
		return err
	}
	i.StoreAddress = i.storeProxy.address()
	i.settingsPath = filepath.Join(s.run.options.Directory, i.Name+".json")
	if err := os.WriteFile(i.settingsPath, i.SettingsFile(), 0o600); err != nil {
		return err
	}
	if i.log, err = os.Create(filepath.Join(s.run.options.Directory, i.Name+".log")); err != nil {
		return err
	}
	i.onExit = func(err error) {
		s.run.reportViolation("runs until it is told to end", fmt.Sprintf("%s ended: %v", i.Name, err))
		s.run.restart(i)
	}
	s.instances = append(s.instances, i)
	return nil
}

func (s *system) startAll() error {
	for _, i := range s.instances {
		if err := i.start(s.run.options.Binary); err != nil {
			return err
		}
	}
	return nil
}

func (i *instance) start(binary string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	cmd := exec.Command(binary) //nolint:gosec // the binary comes from Options
	cmd.Env = append(os.Environ(), standin.SettingsEnvVar+"="+i.settingsPath)
	cmd.Stdout, cmd.Stderr = i.log, i.log
	if err := cmd.Start(); err != nil {
		return err
	}
	// Each process has its own flag: the next one may be started as soon as exited is closed.
	exited, stopRequested := make(chan struct{}), &atomic.Bool{}
	go func() {
		err := cmd.Wait()
		close(exited)
		if !stopRequested.Load() {
			i.onExit(err)
		}
	}()
	i.process, i.exited, i.stopRequested, i.startedAt = cmd, exited, stopRequested, time.Now()
	return nil
}

// signal sends a signal to the process that this run started.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		if s == syscall.SIGTERM || s == syscall.SIGKILL {
			i.stopRequested.Store(true)
		}
		_ = i.process.Process.Signal(s) // fails if the process has exited already
	}
}

// age returns the time since the process was started.
func (i *instance) age() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Since(i.startedAt)
}

// wait waits up to gracePeriod for the process to exit and reports whether it has.
func (i *instance) wait() bool {
	i.mu.Lock()
	exited := i.exited
	i.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(gracePeriod):
		return false
	}
}

func (s *system) close() {
	for _, i := range s.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		if i.process != nil {
			i.wait()
		}
		i.storeProxy.close()
		_ = i.log.Close()
	}
	for _, t := range s.targets {
		t.proxy.close()
		_ = t.server.Close()
	}
	_ = s.storeServer.Close()
}
