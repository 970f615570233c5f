package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/boragegate/boragegate/platform/standin"
)

const (
	idHeader      = "X-Boragegate-Request-Id"
	stampHeader   = "X-Boragegate-Response-Stamp"
	expectHeader  = "X-Boragegate-Expect-Instance"
	notRunHeader  = "X-Boragegate-Not-Executed"
	budgetHeader  = "X-Boragegate-Deadline-Ms"
	loadHeader    = "X-Boragegate-Server-Load"
	host          = "jepu9.example"
	startTimeout  = 20 * time.Second
	settingsPerms = 0o600
	// storeAnswer is the time in which the store of the small deployments answers.
	storeAnswer = 4 * time.Millisecond
)

// world is a small deployment: a store, targets and processes of boragegate-edge, all on loopback addresses.
type world struct {
	dir, program string
	trouble      bool
	store        *standin.Store
	storeAddress string
	instances    []*instance
	started      time.Time

	mu     sync.Mutex
	record *os.File
}

// instance is one process of the program.
type instance struct {
	machine standin.Machine
	cmd     *exec.Cmd
	exited  chan struct{}
}

// newWorld starts a store. The settings and the logs of the processes go to dir, the record to the file that the variable
// RECORD names.
func newWorld(dir, program string) (*world, error) {
	record, err := os.Create(os.Getenv("RECORD")) //nolint:gosec // in the folder of the case
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, program: program, trouble: os.Getenv("TROUBLE") != "0",
		store: standin.NewStore(10_000), record: record, started: time.Now(),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddress = l.Addr().String()
	w.store.SetDelay(storeAnswer)
	go func() { _ = (&http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	w.logf("trouble=%t store=%s", w.trouble, w.storeAddress)
	return w, nil
}

// logf writes a line to the record, with the time since the start in seconds.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.4f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// freePort returns a port that is free at the IP address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout, objective          time.Duration
	maxAttempts                 int
}

// putConfig stores a configuration with one host.
func (w *world) putConfig(version int, services map[string]bool, routes ...route) {
	var paths, list []any
	for _, r := range routes {
		paths = append(paths, map[string]any{
			"name": r.name, "path_prefix": r.prefix, "kind": r.kind, "service": r.service, "priority": 1,
			"timeout": milliseconds(r.timeout), "target_latency": milliseconds(r.objective), "max_attempts": r.maxAttempts,
		})
	}
	for name, sharded := range services {
		list = append(list, map[string]any{"name": name, "max_conns": 110, "sharded": sharded, "health_path": "/health"})
	}
	w.store.Put(standin.KindConfig, standin.NameConfig, map[string]any{
		"version": version, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout": "3s", "idle_timeout": "15s"},
		"hosts":  []any{map[string]any{"host": host, "paths": paths}},
	})
}

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) + "ms" }

// startTarget serves a handler at its own address and registers it in the store.
func (w *world) startTarget(id, service string, slots int, handler http.Handler) error {
	_, _, err := w.serveTarget(id, service, slots, handler.ServeHTTP)
	return err
}

// serveTarget is like startTarget, and returns the listener and the server of the target.
func (w *world) serveTarget(id, service string, slots int, handle http.HandlerFunc) (net.Listener, *http.Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	server := &http.Server{Handler: handle, ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	entry := standin.TargetEntry{
		Address: l.Addr().String(), Service: service, Zone: "pest-kelet", StartUnixMilli: time.Now().UnixMilli(), Slots: slots,
	}
	w.store.Put(standin.KindTargets, id, entry.Spec())
	w.logf("target %s of %s at %s", id, service, entry.Address)
	return l, server, nil
}

// startInstances starts n processes, each on a loopback address of its own, and waits until all are ready.
func (w *world) startInstances(n int) error {
	for i := range n {
		ip := fmt.Sprintf("127.0.%d.%d", 30+os.Getpid()%200, i+2)
		m := standin.Machine{
			Name: fmt.Sprintf("edge-pest-kelet-%d", i+1), IP: ip, Zone: "pest-kelet",
			StoreAddress: w.storeAddress, GracePeriod: 6 * time.Second, Cores: 0.32,
		}
		var err error
		for _, port := range []*int{&m.CallerPort, &m.ReadinessPort, &m.PeerPort} {
			if *port, err = freePort(ip); err != nil {
				return err
			}
		}
		path := filepath.Join(w.dir, m.Name+".json")
		if err := os.WriteFile(path, smallDeployment(m.SettingsFile()), settingsPerms); err != nil {
			return err
		}
		output, err := os.Create(filepath.Join(w.dir, m.Name+".log")) //nolint:gosec // a temporary folder
		if err != nil {
			return err
		}
		cmd := exec.Command(w.program) //nolint:gosec // the command of the deploy file
		cmd.Env = []string{standin.SettingsEnvVar + "=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		cmd.Stdout, cmd.Stderr = output, output
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			return err
		}
		in := &instance{machine: m, cmd: cmd, exited: make(chan struct{})}
		w.instances = append(w.instances, in)
		w.logf("instance %s pid %d callers at %s", m.Name, cmd.Process.Pid, m.Address(m.CallerPort))
		go func() {
			_ = cmd.Wait()
			w.logf("instance %s ended: %s", m.Name, cmd.ProcessState)
			close(in.exited)
		}()
	}
	for _, in := range w.instances {
		if err := w.awaitReady(in); err != nil {
			return err
		}
	}
	return nil
}

// smallDeployment adds the settings of the users' small deployment that the stand-in leaves out.
func smallDeployment(settings []byte) []byte {
	var s map[string]any
	if err := json.Unmarshal(settings, &s); err != nil {
		panic(err) // the stand-in writes JSON
	}
	s["limits"] = map[string]any{"cpu_share": 0.32, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0}
	s["bounds"].(map[string]any)["config_apply"] = "2000ms"
	b, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return b
}

var errNotReady = errors.New("an instance did not become ready")

func (w *world) awaitReady(in *instance) error {
	url := "http://" + in.machine.Address(in.machine.ReadinessPort) + "/api/ready"
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		cancel()
		if err == nil && resp.StatusCode == http.StatusOK {
			w.logf("instance %s is ready", in.machine.Name)
			return nil
		}
	}
	return errNotReady
}

// close ends all processes that were started.
func (w *world) close() {
	for _, in := range w.instances {
		_ = in.cmd.Process.Signal(syscall.SIGCONT)
		_ = in.cmd.Process.Kill()
		<-in.exited
	}
	_ = w.record.Close()
}
