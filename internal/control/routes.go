package control

import (
	"context"
	"strings"
	"time"

	"github.com/boragegate/boragegate/internal/route"
	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/ownership"
	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/table"
)

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func (r *Runner) context() context.Context {
	return r.t.Context(nil) //nolint:staticcheck // tomb takes nil for its own context
}

// ControlsTarget implements route.Authority.
func (r *Runner) ControlsTarget(target string, term uint64) bool {
	controlled, ok := r.View().Controlled[target]
	return ok && controlled.Term == term && (controlled.State == ownership.TargetHeld || !r.usesLeases(target)) && r.InContact()
}

// usesLeases reports whether the service of a target needs leases on its targets. It
// returns true if there is no table yet or the table does not have the service.
func (r *Runner) usesLeases(target string) bool {
	t := r.table.Load()
	if t == nil {
		return true
	}
	name, _, _ := strings.Cut(target, "/")
	s, ok := t.Service(name)
	return !ok || s.Leased()
}

// MayRun implements route.Authority.
func (r *Runner) MayRun(target string, term uint64, partition int, epoch uint64) bool {
	controlled, ok := r.View().Controlled[target]
	return ok && controlled.Term == term && controlled.State == ownership.TargetHeld && controlled.Granted[partition] == epoch && r.InContact()
}

// InContact reports whether this instance is in contact with a majority of its cell, that
// is, whether the time up to which the core has extended the contact has not passed.
func (r *Runner) InContact() bool {
	return r.now() < lease.Instant(r.contactExpiry.Load())
}

// extendLease records the expiry of a target's lease by the clock of its controller, this
// instance.
func (r *Runner) extendLease(a ownership.ExtendLease) {
	r.leases.Store(a.Target, a)
}

// RemainingLease returns the time until the lease of a target that this instance controls
// expires by the controller's clock, or 0 if the lease has expired or is unknown.
func (r *Runner) RemainingLease(target string) time.Duration {
	v, ok := r.leases.Load(target)
	if !ok {
		return 0
	}
	return max(0, v.(ownership.ExtendLease).Until-r.now())
}

// publish builds and publishes a routing snapshot from the table and the view of the
// core. It does nothing before the first table.
func (r *Runner) publish(v *ownership.View) {
	t := r.table.Load()
	if t == nil {
		return
	}
	state := r.serving.Load()
	snap := &route.Snapshot{
		TableVersion: t.Version,
		Serving:      state.Serving,
		Reason:       state.Reason,
		Services:     make(map[string]*route.Service, len(t.Services)),
	}
	previous := r.cfg.Routes.Load()
	for _, s := range t.Services {
		snap.Services[s.Name] = r.buildService(t, s, v, previous.Services[s.Name])
	}
	r.cfg.Routes.Store(snap)
}

func (r *Runner) buildService(t *table.Table, s table.Service, v *ownership.View, previous *route.Service) *route.Service {
	svc := &route.Service{Service: s, Assignment: v.Assignments[s.Name]}
	byName := map[string]*route.Target{}
	for _, row := range t.RowsOf(s.Name) {
		target := r.buildTarget(row, v)
		carryOverReadySince(target, previous)
		byName[row.Target] = target
		svc.Targets = append(svc.Targets, target)
	}
	svc.AssignmentTargets = ownerTargets(svc.Assignment, byName)
	return svc
}

func (r *Runner) buildTarget(row table.Row, v *ownership.View) *route.Target {
	t := &route.Target{Row: row, Ready: true}
	if v.Cell == nil {
		return t
	}
	c, ok := v.Cell.Controller(row.ID())
	if !ok {
		return t
	}
	t.Controller, t.Term = c.Instance, c.Term
	t.Local = c.Instance == r.cfg.Core.Self.ID
	if m, ok := v.Cell.Member(c.Instance); ok {
		t.ForwardAddress = m.ForwardAddress
	}
	return t
}

// carryOverReadySince keeps the time at which a target became ready if it was ready at the
// same address in the previous snapshot. Otherwise it sets the current time, from which the
// target warms up. Without a previous snapshot of the service there is no warm-up.
func carryOverReadySince(t *route.Target, previous *route.Service) {
	t.ReadySince = time.Now().UnixMilli()
	if previous == nil {
		// All targets are new to an instance that has just started; a warm-up would
		// only slow it down.
		t.ReadySince = 0
		return
	}
	for _, p := range previous.Targets {
		if p.Row.Target == t.Row.Target && p.Row.Address == t.Row.Address && p.Ready {
			t.ReadySince = p.ReadySince
		}
	}
}

// ownerTargets returns the targets of an assignment in its order, with nil for those that the
// table does not have.
func ownerTargets(a *placement.Assignment, byName map[string]*route.Target) []*route.Target {
	if a == nil {
		return nil
	}
	list := make([]*route.Target, len(a.Targets))
	for i, name := range a.Targets {
		list[i] = byName[name]
	}
	return list
}
