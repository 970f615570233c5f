package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/boragegate/boragegate"
	"github.com/boragegate/boragegate/examples/backend/server"
	"github.com/boragegate/boragegate/internal/daemon"
	"github.com/boragegate/boragegate/internal/promise"
	"github.com/boragegate/boragegate/internal/standard"
	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/store/memory"
	"github.com/boragegate/boragegate/table"
	"github.com/boragegate/boragegate/table/tablestore"
)

const (
	loopback         = "127.0.0.1:0" // a free port
	demoCell         = "demo"
	demoPartitions   = 256
	readyTimeout     = 20 * time.Second
	pollInterval     = 20 * time.Millisecond
	routeTargetCount = 4
	orderTargetCount = 3
	operatorName     = "demo"
	shutdownTimeout  = 10 * time.Second
	clockSkew        = 50 * time.Millisecond
)

// zones are the availability zones of the demo; instances and targets are distributed over them.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// cluster is the demo's deployment: an embedded store, instances and sample servers.
type cluster struct {
	store     *memory.Store
	policy    standard.PolicyFactory
	tables    *tablestore.Tables
	instances []*daemon.Instance
	servers   map[string]*server.Server
	effects   promise.Effects
	table     *table.Table
}

func startCluster(ctx context.Context, logger zerolog.Logger) (*cluster, error) {
	c := &cluster{store: memory.New(memory.Options{}), servers: map[string]*server.Server{}}
	var err error
	if c.policy, err = boragegate.LoadAs[standard.PolicyFactory](ctx, standard.DefaultPlacement, nil); err != nil {
		return c, err
	}
	c.tables = tablestore.New(c.store, tablestore.Options{})
	if err := c.startServers(); err != nil {
		return c, err
	}
	c.table = c.newTable()
	if err := c.apply(ctx, func(*table.Table) {}); err != nil {
		return c, err
	}
	for n := range zones {
		if err := c.startInstance(ctx, n, logger); err != nil {
			return c, err
		}
	}
	return c, c.waitUntilReady(ctx)
}

func (c *cluster) startServers() error {
	for service, n := range map[string]int{"route": routeTargetCount, "order": orderTargetCount} {
		for i := range n {
			name := fmt.Sprintf("%s%d", service[:1], i+1)
			s := server.New(server.Config{Service: service, Target: name, Observe: c.effects.Observe})
			if err := s.Start(loopback); err != nil {
				return eris.Wrap(err, "start sample server")
			}
			c.servers[service+"/"+name] = s
		}
	}
	return nil
}

func (c *cluster) newTable() *table.Table {
	t := &table.Table{Services: []table.Service{
		demoService("route", nil),
		demoService("order", []string{"POST"}),
	}}
	for _, service := range []string{"route", "order"} {
		for i := range len(c.servers) {
			name := fmt.Sprintf("%s%d", service[:1], i+1)
			s, ok := c.servers[service+"/"+name]
			if !ok {
				continue
			}
			t.Rows = append(t.Rows, table.Row{
				Service: service, Target: name, Address: s.Address(), Zone: zones[i%len(zones)],
				Weight: 1, Slots: 6, Connections: 100, Queue: 100,
			})
		}
	}
	return t
}

func demoService(name string, notRepeatable []string) table.Service {
	return table.Service{
		Name: name, Divided: true, Partitions: demoPartitions, ChecksGrants: true, NotRepeatable: notRepeatable,
		Prefer: table.Availability, MaxRequestTime: table.Duration(30 * time.Second), DrainAfter: table.Duration(3 * time.Second),
	}
}

func (c *cluster) startInstance(ctx context.Context, n int, logger zerolog.Logger) error {
	in, err := daemon.New(daemon.Options{
		ID: fmt.Sprintf("instance-%d", n+1), Zone: zones[n], Cell: demoCell,
		Listen: daemon.Addresses{Caller: loopback, Peer: loopback, Forward: loopback, Operator: loopback},
		Store:  c.store, Plain: true, Logger: logger, Policy: c.policy,
		// All instances share one clock. With the default of 2 s, the first POST requests to the
		// service "order" would get the outcome "unknown", because their idempotency keys could be
		// older than the first tenure of their partition.
		Timeouts: daemon.Timeouts{ClockSkew: clockSkew},
	})
	if err != nil {
		return eris.Wrap(err, "start instance")
	}
	c.instances = append(c.instances, in)
	return in.Start(ctx)
}

// apply stores a changed table and waits until it is active on all instances.
func (c *cluster) apply(ctx context.Context, change func(*table.Table)) error {
	t := *c.table
	t.Services = append([]table.Service(nil), c.table.Services...)
	t.Rows = append([]table.Row(nil), c.table.Rows...)
	change(&t)
	res, err := c.tables.Apply(ctx, tablestore.Request{Table: &t, Base: c.table.Version, Operator: operatorName})
	if err != nil {
		return eris.Wrap(err, "apply table")
	}
	c.table = res.Record.Table
	return pollUntil(ctx, readyTimeout, func() bool {
		for _, in := range c.instances {
			if active := in.TableSyncer().Table(); active == nil || active.Version < c.table.Version {
				return false
			}
		}
		return true
	})
}

// waitUntilReady waits until all instances are ready and the servers hold all partitions.
func (c *cluster) waitUntilReady(ctx context.Context) error {
	err := pollUntil(ctx, readyTimeout, func() bool {
		for _, in := range c.instances {
			if ready, _ := in.Ready(); !ready {
				return false
			}
		}
		return c.heldPartitions() == demoPartitions*2
	})
	return eris.Wrap(err, "wait until all partitions are held")
}

// heldPartitions returns the number of partitions whose grant a server has acknowledged.
func (c *cluster) heldPartitions() int {
	n := 0
	for _, in := range c.instances {
		for _, target := range in.View().Controlled {
			n += len(target.Granted)
		}
	}
	return n
}

// assignment returns the newest assignment of a service that an instance has, or nil.
func (c *cluster) assignment(service string) *placement.Assignment {
	var newest *placement.Assignment
	for _, in := range c.instances {
		if a := in.View().Assignments[service]; a != nil && (newest == nil || a.Version > newest.Version) {
			newest = a
		}
	}
	return newest
}

func (c *cluster) callerAddresses() []string {
	var list []string
	for _, in := range c.instances {
		list = append(list, in.CallerAddress())
	}
	return list
}

func (c *cluster) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, in := range c.instances {
		_ = in.Stop(ctx)
	}
	for _, s := range c.servers {
		s.Kill()
	}
}

// countMoved returns the number of partitions whose owner changed.
func countMoved(before, after *placement.Assignment) int {
	n := 0
	for p := range after.Owner {
		if before.OwnerOf(p) != after.OwnerOf(p) {
			n++
		}
	}
	return n
}

func pollUntil(ctx context.Context, timeout time.Duration, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !done() {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
