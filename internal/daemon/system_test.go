package daemon

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/boragegate/boragegate"
	"github.com/boragegate/boragegate/examples/backend/server"
	"github.com/boragegate/boragegate/internal/promise"
	"github.com/boragegate/boragegate/internal/standard"
	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/store/memory"
	"github.com/boragegate/boragegate/table"
	"github.com/boragegate/boragegate/table/tablestore"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "daemon")
}

// raceLabel is the label of the specs that also run with -short, which is set for runs with
// the race detector. Together they start, load, isolate and stop instances. Running all
// specs with the race detector would take three minutes more.
const raceLabel = "raced"

var _ = BeforeEach(func() {
	if testing.Short() && !slices.Contains(CurrentSpecReport().Labels(), raceLabel) {
		Skip("runs only without the race detector")
	}
})

// Time limits from docs/design.md. The comments name the section or promise (P1 to P8).
const (
	maxUnavailableTime  = time.Second     // sections 2.6 and 7: until keys are served again after a failure
	maxActivationTime   = 7 * time.Second // docs/design.md, section 2.6: until a table change is active in all instances
	confirmationTimeout = 5 * time.Second // docs/design.md, section 3.7: until an instance out of contact stops serving
	drainAfter          = 3 * time.Second // P6: default of drain_after
)

const (
	loopback     = "127.0.0.1:0"
	testCell     = "test"
	startTimeout = "30s"
)

// systemConfig describes the size of a system and the settings of its services.
type systemConfig struct {
	instances, zones int
	// targets is the number of targets by service.
	targets map[string]int
	// undivided lists the services that are not divided by key. Their targets need no leases.
	undivided []string
	// workTime is the time for which a server processes a request.
	workTime time.Duration
	// ignoreGrants sets checks_grants to false for all services.
	ignoreGrants bool
	// partitions is the number of partitions of each service. Default 64.
	partitions int
	logger     zerolog.Logger
	// listen opens the listener of a server; nil stands for net.Listen on loopback.
	listen func() (net.Listener, error)
}

// system is a cell of instances with its store and servers in this process.
type system struct {
	systemConfig systemConfig
	store        *memory.Store
	policy       standard.PolicyFactory
	table        *table.Table

	servers map[string]*server.Server // by row ID
	effects promise.Effects
	network network

	mu    sync.Mutex
	nodes []*node
}

// node is a running instance with its own access to the store.
type node struct {
	*Instance
	id, zone string
	store    *failingStore
}

// startSystem starts a system that is stopped at the end of the spec.
func startSystem(cfg systemConfig) *system {
	GinkgoHelper()
	return launchSystem(cfg, func(stop func()) { DeferCleanup(stop) })
}

// launchSystem starts a system. Before it starts anything, it passes the function that
// stops the system to cleanup, so that a failed start is cleaned up as well.
func launchSystem(cfg systemConfig, cleanup func(stop func())) *system {
	GinkgoHelper()
	s := &system{systemConfig: cfg, store: memory.New(memory.Options{}), servers: map[string]*server.Server{}}
	if s.systemConfig.partitions == 0 {
		s.systemConfig.partitions = 64
	}
	var err error
	s.policy, err = boragegate.LoadAs[standard.PolicyFactory](context.Background(), standard.DefaultPlacement, nil)
	Expect(err).NotTo(HaveOccurred())
	cleanup(s.stop)
	s.table = &table.Table{}
	for _, name := range slices.Sorted(maps.Keys(cfg.targets)) {
		s.addService(name, cfg.targets[name])
	}
	_, err = tablestore.New(s.store, tablestore.Options{}).Apply(context.Background(), tablestore.Request{Table: s.table, Operator: "test"})
	Expect(err).NotTo(HaveOccurred())
	s.table.Version = 1
	for n := range cfg.instances {
		s.add(fmt.Sprintf("i%d", n+1), zone(n%cfg.zones))
	}
	s.awaitSettled()
	return s
}

func zone(n int) string { return fmt.Sprintf("zone-%d", n+1) }

func (s *system) addService(name string, targets int) {
	service := table.Service{
		Name: name, Divided: !slices.Contains(s.systemConfig.undivided, name), Partitions: s.systemConfig.partitions, ChecksGrants: !s.systemConfig.ignoreGrants,
		Prefer: table.Availability, MaxRequestTime: table.Duration(time.Second), DrainAfter: table.Duration(drainAfter),
	}
	if name == "order" {
		service.NotRepeatable = []string{"POST"}
	}
	s.table.Services = append(s.table.Services, service)
	for i := range targets {
		target := fmt.Sprintf("%s%d", name[:1], i+1)
		srv := server.New(server.Config{
			Service: name, Target: target, WorkTime: s.systemConfig.workTime, IgnoreGrants: s.systemConfig.ignoreGrants, Observe: s.effects.Observe,
		})
		ln, err := s.listen()
		Expect(err).NotTo(HaveOccurred())
		srv.Serve(ln)
		s.table.Rows = append(s.table.Rows, table.Row{
			Service: name, Target: target, Address: srv.Address(), Zone: zone(i % s.systemConfig.zones),
			Weight: 1, Slots: 6, Connections: 100, Queue: 100,
		})
		s.servers[name+"/"+target] = srv
	}
}

func (s *system) listen() (net.Listener, error) {
	if s.systemConfig.listen != nil {
		return s.systemConfig.listen()
	}
	return net.Listen("tcp", loopback)
}

// add starts an instance.
func (s *system) add(id, zone string) *node {
	GinkgoHelper()
	n := &node{id: id, zone: zone, store: &failingStore{Store: s.store}}
	var err error
	n.Instance, err = New(Options{
		ID: id, Zone: zone, Cell: testCell,
		Listen: Addresses{Caller: loopback, Peer: loopback, Forward: loopback, Operator: loopback},
		Store:  n.store, Plain: true, Logger: s.systemConfig.logger, Policy: s.policy,
		BalancerDelay:     50 * time.Millisecond,
		transportWrappers: s.network.wrappersFor(id),
	})
	Expect(err).NotTo(HaveOccurred())
	s.network.setInstance(n.listeners.forward.Addr().String(), id)
	Expect(n.Start(context.Background())).To(Succeed())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = append(s.nodes, n)
	return n
}

// remove removes an instance from the list that the load balancer uses and returns it.
func (s *system) remove(id string) *node {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, n := range s.nodes {
		if n.id == id {
			s.nodes = slices.Delete(slices.Clone(s.nodes), i, i+1)
			return n
		}
	}
	return nil
}

func (s *system) live() []*node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes
}

func (s *system) node(id string) *node {
	for _, n := range s.live() {
		if n.id == id {
			return n
		}
	}
	return nil
}

// stopInstance stops an instance gracefully. The load balancer still checks its readiness
// meanwhile.
func (s *system) stopInstance(id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	n := s.node(id)
	err := n.Stop(ctx)
	s.remove(id)
	return err
}

// readyAddresses returns the caller addresses of the instances whose readiness check
// succeeds.
func (s *system) readyAddresses() []string {
	var list []string
	for _, n := range s.live() {
		if ok, _ := n.Ready(); ok {
			list = append(list, n.CallerAddress())
		}
	}
	return list
}

// settledPeriod is the time without a change of the cell and the assignments after which a
// system is settled. It is longer than the time between two changes of a series, which the
// planner makes one at a time.
const settledPeriod = 1500 * time.Millisecond

// awaitSettled waits until all instances are members in contact, every partition is held by
// the server that owns it, and the controllers and assignments no longer change.
func (s *system) awaitSettled() {
	GinkgoHelper()
	var version uint64
	var since time.Time
	Eventually(func() string {
		if missing := s.unsettledReason(); missing != "" {
			since = time.Time{}
			return missing
		}
		v := s.live()[0].View().Cell.Version
		for service := range s.systemConfig.targets {
			v += s.assignment(service).Version
		}
		if v != version || since.IsZero() {
			version, since = v, time.Now()
		}
		if time.Since(since) < settledPeriod {
			return "the cell or an assignment changed recently"
		}
		return ""
	}, startTimeout, "20ms").Should(BeEmpty())
}

// unsettledReason returns the reason for which a system is not settled, or "" if it is settled.
func (s *system) unsettledReason() string {
	heldPartitions := map[string]int{}
	for _, n := range s.live() {
		if ok, reason := n.Ready(); !ok {
			return n.id + " is not ready: " + reason
		}
		if c := n.View().Cell; c == nil || len(c.Members) != len(s.live()) || !n.runner.InContact() {
			return n.id + " is not in contact with all members"
		}
		for _, h := range n.View().Controlled {
			service := h.Target[:len(h.Target)-len(targetName(h.Target))-1]
			if s.systemConfig.ignoreGrants {
				heldPartitions[service] += len(s.assignment(service).PartitionsOf(targetName(h.Target)))
				continue
			}
			heldPartitions[service] += len(h.Granted)
		}
	}
	for service := range s.systemConfig.targets {
		if !slices.Contains(s.systemConfig.undivided, service) && heldPartitions[service] != s.systemConfig.partitions {
			return fmt.Sprintf("%d of %d partitions of %s are held", heldPartitions[service], s.systemConfig.partitions, service)
		}
	}
	return ""
}

func targetName(rowID string) string {
	for i := range rowID {
		if rowID[i] == '/' {
			return rowID[i+1:]
		}
	}
	return rowID
}

// assignment returns the newest assignment of a service among all instances.
func (s *system) assignment(service string) *placement.Assignment {
	newest := placement.NewAssignment(service, s.systemConfig.partitions)
	for _, n := range s.live() {
		if a := n.View().Assignments[service]; a != nil && a.Version > newest.Version {
			newest = a
		}
	}
	return newest
}

// controllerOf returns the ID of the instance that controls a target, or "" if none does.
func (s *system) controllerOf(rowID string) string {
	for _, n := range s.live() {
		if _, ok := n.View().Controlled[rowID]; ok {
			return n.id
		}
	}
	return ""
}

// planner returns the ID of the planner as the first instance sees it.
func (s *system) planner() string { return s.live()[0].View().Cell.Planner }

// apply changes the table through an instance and returns the new table version.
func (s *system) apply(n *node, change func(*table.Table)) (uint64, error) {
	t := *s.table
	t.Services, t.Rows = slices.Clone(s.table.Services), slices.Clone(s.table.Rows)
	change(&t)
	res, err := n.Tables().Apply(context.Background(), tablestore.Request{Table: &t, Base: s.table.Version, Operator: "test"})
	if err != nil {
		return 0, err
	}
	s.table = res.Record.Table
	return s.table.Version, nil
}

// setWeight returns a table change that sets the weight of a row.
func setWeight(rowID string, w float64) func(*table.Table) {
	return func(t *table.Table) { rowOf(t, rowID).Weight = w }
}

// drain returns a table change that drains a row.
func drain(rowID string) func(*table.Table) {
	return func(t *table.Table) { rowOf(t, rowID).Drain = true }
}

func rowOf(t *table.Table, rowID string) *table.Row {
	i := slices.IndexFunc(t.Rows, func(r table.Row) bool { return r.ID() == rowID })
	return &t.Rows[i]
}

// activeTableVersion returns the version of the instance's active table, or 0 if it has none.
func (n *node) activeTableVersion() uint64 {
	if t := n.TableSyncer().Table(); t != nil {
		return t.Version
	}
	return 0
}

func (s *system) stop() {
	for _, srv := range s.servers {
		srv.Resume()
	}
	var wg sync.WaitGroup
	for _, n := range s.live() {
		wg.Go(n.Kill)
	}
	wg.Wait()
	for _, srv := range s.servers {
		srv.Kill()
	}
}

// startLoad starts a light load. The returned function stops it and returns the results.
func (s *system) startLoad() func() []promise.Result {
	c := promise.NewClients(s.readyAddresses)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	stop := func() []promise.Result {
		cancel()
		<-done
		return c.TakeResults()
	}
	DeferCleanup(func() { stop() })
	return stop
}

// verify checks the promises P1, P3, P4 and P5 of docs/design.md for all results and effects
// of the system.
func (s *system) verify(results []promise.Result) {
	GinkgoHelper()
	list := s.effects.Snapshot()
	Expect(promise.CheckAll(results, list, func(f server.Effect) bool { return f.Service == "order" })).To(BeEmpty())
	GinkgoWriter.Printf("%d effects, %d results\n", len(list), len(results))
}
