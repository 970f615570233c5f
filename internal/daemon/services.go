package daemon

import (
	"slices"

	"github.com/boragegate/boragegate/internal/operator/api"
	"github.com/boragegate/boragegate/ownership"
	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/platform"
	"github.com/boragegate/boragegate/table"
)

// service describes a service. Load shares are known for the targets that this
// instance controls only.
func (i *Instance) service(t *table.Table, s table.Service, v *ownership.View) api.Service {
	out := api.Service{
		Name: s.Name, Divided: s.Divided, Partitions: s.Partitions,
		Provisional: slices.Contains(v.Provisional, s.Name),
	}
	a := v.Assignments[s.Name]
	if a != nil {
		out.Version, out.Unowned = a.Version, unowned(a)
	}
	for _, m := range v.Pending {
		if m.Service == s.Name {
			out.Moves++
		}
	}
	rows := t.RowsOf(s.Name)
	var weights float64
	for _, r := range rows {
		weights += r.Weight
	}
	for _, r := range rows {
		out.Targets = append(out.Targets, i.target(r, v, a, weights))
	}
	out.Imbalance = imbalance(out.Targets, len(ownersOf(a)))
	return out
}

func (i *Instance) target(r table.Row, v *ownership.View, a *placement.Assignment, weights float64) api.Target {
	t := api.Target{Name: r.Target, Address: r.Address, Zone: r.Zone, State: string(ownership.TargetUnknown), Slots: r.Slots}
	if weights > 0 {
		t.WeightShare = r.Weight / weights
	}
	if a != nil {
		t.Partitions = len(a.PartitionsOf(r.Target))
		t.LoadShare = float64(t.Partitions) / float64(len(a.Owner))
	}
	if v.Cell != nil {
		if c, ok := v.Cell.Controller(r.ID()); ok {
			t.Controller, t.Term = c.Instance, c.Term
		}
	}
	if h, ok := v.Held[r.ID()]; ok {
		t.State = string(h.State)
	}
	if r.Drain {
		t.State = "draining"
	}
	if l, ok := i.gateway.TargetLoad(r.ID()); ok {
		t.InUse, t.Queued = l.Running, l.Queued
	}
	return t
}

// imbalance is the largest ratio of a target's share of partitions to its share
// of the weights.
func imbalance(targets []api.Target, owned int) float64 {
	if owned == 0 {
		return 0
	}
	var worst float64
	for _, t := range targets {
		if t.WeightShare > 0 {
			worst = max(worst, t.LoadShare/t.WeightShare)
		}
	}
	return worst
}

func ownersOf(a *placement.Assignment) []uint16 {
	if a == nil {
		return nil
	}
	return a.Owner
}

func unowned(a *placement.Assignment) int {
	n := 0
	for _, o := range a.Owner {
		if o == placement.NoOwner {
			n++
		}
	}
	return n
}

// Owners implements operator.Daemon.
func (i *Instance) Owners(service string) (api.Owners, error) {
	v := i.runner.View()
	a := v.Assignments[service]
	if a == nil {
		return api.Owners{}, platform.ErrNotFound
	}
	out := api.Owners{Service: service, Version: a.Version, Provisional: slices.Contains(v.Provisional, service)}
	for p := range a.Owner {
		last := len(out.Ranges) - 1
		if last >= 0 && out.Ranges[last].Target == a.OwnerOf(p) && out.Ranges[last].Epoch == a.Epoch[p] {
			out.Ranges[last].To = p
			continue
		}
		out.Ranges = append(out.Ranges, api.OwnerRange{From: p, To: p, Target: a.OwnerOf(p), Epoch: a.Epoch[p]})
	}
	for _, m := range v.Pending {
		if m.Service == service {
			out.Pending = append(out.Pending, pending(m))
		}
	}
	return out, nil
}

func pending(m ownership.PendingMove) api.PendingMove {
	return api.PendingMove{Partition: m.Partition, From: m.From, To: m.To, Reason: m.Reason}
}

// Explain implements operator.Daemon.
func (i *Instance) Explain(service, key string) (api.Explanation, error) {
	v := i.runner.View()
	a, t := v.Assignments[service], i.follower.Table()
	if a == nil || t == nil {
		return api.Explanation{}, platform.ErrNotFound
	}
	p := placement.PartitionOf(service, key, len(a.Owner))
	e := api.Explanation{
		Service: service, Key: key, Partition: p, Target: a.OwnerOf(p), Epoch: a.Epoch[p],
		Provisional: slices.Contains(v.Provisional, service), State: string(ownership.TargetUnknown),
	}
	if e.Target == "" {
		e.Reason = "the partition has no owner"
		return e, nil
	}
	i.explainTarget(&e, t, v)
	for _, m := range v.Pending {
		if m.Service == service && m.Partition == p {
			move := pending(m)
			e.Pending = &move
		}
	}
	return e, nil
}

func (i *Instance) explainTarget(e *api.Explanation, t *table.Table, v *ownership.View) {
	for _, r := range t.RowsOf(e.Service) {
		if r.Target == e.Target {
			e.Address, e.Zone = r.Address, r.Zone
		}
	}
	id := e.Service + "/" + e.Target
	c, ok := v.Cell.Controller(id)
	if !ok {
		e.Reason = "the target has no controller"
		return
	}
	e.Controller, e.Term = c.Instance, c.Term
	if m, ok := v.Cell.Member(c.Instance); ok {
		e.ControllerZone = m.Zone
	}
	h, mine := v.Held[id]
	if !mine {
		e.Serving, e.Reason = true, "as recorded; ask "+c.Instance+" for the state of the server"
		return
	}
	e.State = string(h.State)
	e.Serving = i.runner.MayRun(id, h.Term, e.Partition, e.Epoch)
	if !e.Serving {
		e.Reason = "the server has not confirmed the partition yet"
	}
}
