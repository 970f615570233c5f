// Package operatortest provides a fake instance behind the real operator API, for
// tests of the API and of the command-line tool.
package operatortest

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/boragegate/boragegate/internal/operator"
	"github.com/boragegate/boragegate/internal/operator/api"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/store/memory"
	"github.com/boragegate/boragegate/table"
	"github.com/boragegate/boragegate/table/tablestore"
)

// Tokens that the fake accepts, of the operators anna and bela.
const (
	TokenAnna = "anna-0123456789abcdef"
	TokenBela = "bela-0123456789abcdef"
)

// startTime is the time that the fake's clock always shows.
var startTime = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

// FirstTable is the content of version 1 of the table, in JSON with comments.
const FirstTable = `{
  // Routes are divided by key.
  "services": [{"name": "route", "divided": true, "key_path": "/routes/{key}", "checks_grants": true}],
  "rows": [
    {"service": "route", "target": "r1", "address": "10.0.1.1:8080", "zone": "buda", "slots": 6},
    {"service": "route", "target": "r2", "address": "10.0.1.2:8080", "zone": "pest", "slots": 6, "weight": 2},
  ],
}`

// Fake is an instance whose table is in a memory store. Handler serves its
// operator API.
type Fake struct {
	*Daemon
	Store   *memory.Store
	Tables  *tablestore.Tables
	Handler http.Handler
}

// New returns a fake whose store has FirstTable as version 1. It panics if the
// table cannot be stored.
func New() *Fake {
	store := memory.New(memory.Options{})
	n := 0
	tables := tablestore.New(store, tablestore.Options{
		Clock:       clockwork.NewFakeClockAt(startTime),
		NewWriterID: func() string { n++; return fmt.Sprint("writer-", n) },
	})
	f := &Fake{Daemon: &Daemon{Tables: tables}, Store: store, Tables: tables}
	t, err := table.Parse("first", []byte(FirstTable))
	if err != nil {
		panic(err)
	}
	if _, err := tables.Apply(context.Background(), tablestore.Request{Table: t, Operator: "setup"}); err != nil {
		panic(err)
	}
	f.Handler = operator.New(operator.Options{
		Tables: tables, Daemon: f.Daemon, Registry: metrics.NewRegistry(),
		Tokens: map[[sha256.Size]byte]string{
			sha256.Sum256([]byte(TokenAnna)): "anna", sha256.Sum256([]byte(TokenBela)): "bela",
		},
	})
	return f
}

// Daemon is a fake operator.Daemon with three instances.
type Daemon struct {
	Tables operator.Tables
	// NotReadyReason says why the instance does not accept requests; empty if it does.
	NotReadyReason string
	// LaggingReads is the number of further calls of Instances that report version 1
	// for instance i3. Each of them reduces it by 1.
	LaggingReads int

	mu    sync.Mutex
	audit []api.AuditEntry
}

// Status implements operator.Daemon.
func (d *Daemon) Status() api.Status {
	return api.Status{
		Instance: "i1", Zone: "buda", Cell: "main", Release: "test", Started: startTime,
		Ready: d.NotReadyReason == "", Reason: d.NotReadyReason, InContact: true, Planner: "i2", Members: 3,
		TableVersion: d.version(), TableConfirmedMS: 250, StoreAvailable: true, Controls: []string{"route/r2"},
	}
}

func (d *Daemon) version() uint64 {
	r, err := d.Tables.Get(context.Background())
	if err != nil {
		return 0
	}
	return r.Version
}

// Instances implements operator.Daemon.
func (d *Daemon) Instances() []api.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.version()
	list := []api.Instance{
		{ID: "i1", Zone: "buda", State: "member", PeerAddress: "10.0.0.1:7002", Controls: 1, TableVersion: v},
		{ID: "i2", Zone: "pest", State: "member", Planner: true, PeerAddress: "10.0.0.2:7002", Controls: 1, TableVersion: v, LastHeardMS: 120},
		{ID: "i3", Zone: "pest", State: "member", PeerAddress: "10.0.0.3:7002", TableVersion: v, LastHeardMS: 90},
	}
	if d.LaggingReads > 0 {
		d.LaggingReads--
		list[2].TableVersion, list[2].Reason, list[2].LastHeardMS, list[2].State = 1, "no heartbeat", 1500, "silent"
	}
	return list
}

// Services implements operator.Daemon.
func (d *Daemon) Services() []api.Service {
	return []api.Service{{
		Name: "route", Divided: true, Partitions: 1024, Version: 4294967298, Imbalance: 1.2, Moves: 1,
		Targets: []api.Target{
			{Name: "r1", Address: "10.0.1.1:8080", Zone: "buda", State: "held", WeightShare: 1.0 / 3, LoadShare: 0.4, Slots: 6, InUse: 3, Partitions: 341, Controller: "i2", Term: 3},
			{Name: "r2", Address: "10.0.1.2:8080", Zone: "pest", State: "held", WeightShare: 2.0 / 3, LoadShare: 0.6, Slots: 6, InUse: 5, Queued: 2, Partitions: 683, Controller: "i1", Term: 1},
		},
	}}
}

// Owners implements operator.Daemon.
func (d *Daemon) Owners(service string) (api.Owners, error) {
	if service != "route" {
		return api.Owners{}, fmt.Errorf("service %q: %w", service, store.ErrNotFound)
	}
	return api.Owners{
		Service: "route", Version: 4294967298,
		Ranges:  []api.OwnerRange{{From: 0, To: 340, Target: "r1", Epoch: 4294967297}, {From: 341, To: 1023, Target: "r2", Epoch: 4294967297}},
		Pending: []api.PendingMove{{Partition: 12, From: "r1", To: "r2", Reason: "load"}},
	}, nil
}

// Explain implements operator.Daemon.
func (d *Daemon) Explain(service, key string) (api.Explanation, error) {
	if service != "route" {
		return api.Explanation{}, fmt.Errorf("service %q: %w", service, store.ErrNotFound)
	}
	return api.Explanation{
		Service: service, Key: key, Partition: 12, Target: "r1", Address: "10.0.1.1:8080", Zone: "buda",
		Epoch: 4294967297, Controller: "i2", ControllerZone: "pest", Term: 3, State: "held", Serving: true,
		Pending: &api.PendingMove{Partition: 12, From: "r1", To: "r2", Reason: "load"},
	}, nil
}

// Events implements operator.Daemon.
func (d *Daemon) Events(limit int) []api.Event {
	list := []api.Event{
		{Time: startTime.Add(2 * time.Second), Event: "assignment.in_force", Fields: map[string]string{"service": "route", "version": "4294967298"}},
		{Time: startTime, Event: "table.in_force", Fields: map[string]string{"table_version": "1"}},
	}
	return list[:min(limit, len(list))]
}

// Audit implements operator.Daemon.
func (d *Daemon) Audit(_ context.Context, before uint64, limit int) ([]api.AuditEntry, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []api.AuditEntry
	for i := len(d.audit) - 1; i >= 0 && len(list) < limit; i-- {
		if e := d.audit[i]; before == 0 || e.Sequence < before {
			list = append(list, e)
		}
	}
	return list, nil
}

// Forget implements operator.Daemon.
func (d *Daemon) Forget(_ context.Context, instances []string) error {
	for _, id := range instances {
		if id != "i3" {
			return fmt.Errorf("instance %s: %w", id, store.ErrNotFound)
		}
	}
	return nil
}

// RecordAudit implements operator.Daemon.
func (d *Daemon) RecordAudit(op, event string, fields map[string]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.audit = append(d.audit, api.AuditEntry{
		Sequence: uint64(len(d.audit)) + 1, Time: startTime, Instance: "i1", Operator: op, Event: event, Fields: fields,
	})
}
