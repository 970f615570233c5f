package daemon

import (
	"cmp"
	"slices"

	"github.com/boragegate/boragegate/internal/operator/api"
	"github.com/boragegate/boragegate/ownership"
	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table"
)

// describeService returns the description of a service for operators. Without measured load, the
// load share of a target is its share of the partitions.
func (i *Instance) describeService(t *table.Table, s table.Service, v *ownership.View) api.Service {
	out := api.Service{
		Name: s.Name, Divided: s.Divided, Partitions: s.Partitions,
		Provisional: slices.Contains(v.ProvisionalServices, s.Name),
	}
	a := v.Assignments[s.Name]
	if a != nil {
		out.Version, out.Unowned = a.Version, countUnowned(a)
	}
	for _, m := range v.PendingMoves {
		if m.Service == s.Name {
			out.Moves++
		}
	}
	rows := t.RowsOf(s.Name)
	var totalWeight float64
	for _, r := range rows {
		totalWeight += effectiveWeight(r)
	}
	var load float64
	for _, r := range rows {
		out.Targets = append(out.Targets, i.describeTarget(r, v, a, totalWeight))
		load += i.statusOf(r.ID()).Load
	}
	if load > 0 {
		for n, r := range rows {
			out.Targets[n].LoadShare = i.statusOf(r.ID()).Load / load
		}
	}
	out.Imbalance = imbalance(out.Targets, len(partitionOwners(a)))
	return out
}

// targetStatuses returns the status of each target that this instance controls.
func (i *Instance) targetStatuses() []ownership.TargetStatus {
	var list []ownership.TargetStatus
	for id := range i.runner.View().Controlled {
		list = append(list, i.statusOf(id))
	}
	return list
}

// statusOf returns the status of a target. If another instance controls the target, this is
// the last status received from that instance, or the zero value if none was received.
func (i *Instance) statusOf(id string) ownership.TargetStatus {
	controlled, ok := i.runner.View().Controlled[id]
	if !ok {
		s, _ := i.tableSyncer.TargetStatus(id)
		return s
	}
	s := ownership.TargetStatus{Target: id, State: controlled.State}
	if l, ok := i.gateway.TargetLoad(id); ok {
		s.InUse, s.Queued = l.Running, l.Queued
	}
	if loads := i.targetLoads.Load(); loads != nil {
		s.Load = (*loads)[id]
	}
	return s
}

// setTargetLoads sets targetLoads to the total load of each target in the reports.
func (i *Instance) setTargetLoads(reports []ownership.LoadReport) {
	loads := make(map[string]float64, len(reports))
	for _, r := range reports {
		for _, p := range r.Partitions {
			loads[r.Target] += p.Load
		}
	}
	i.targetLoads.Store(&loads)
}

// effectiveWeight returns the weight of a target, or 0 if it is drained and may own no partitions.
func effectiveWeight(r table.Row) float64 {
	if r.Drain {
		return 0
	}
	return r.Weight
}

func (i *Instance) describeTarget(r table.Row, v *ownership.View, a *placement.Assignment, totalWeight float64) api.Target {
	t := api.Target{Name: r.Target, Address: r.Address, Zone: r.Zone, State: string(ownership.TargetUnknown), Slots: r.Slots}
	if totalWeight > 0 {
		t.WeightShare = effectiveWeight(r) / totalWeight
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
	s := i.statusOf(r.ID())
	t.State, t.InUse, t.Queued = cmp.Or(string(s.State), t.State), s.InUse, s.Queued
	if r.Drain {
		t.State = "draining"
	}
	return t
}

// imbalance returns the maximum ratio of a target's share of the load to its share of the
// weights, or 0 if partitions is 0, which means that there is no assignment.
func imbalance(targets []api.Target, partitions int) float64 {
	if partitions == 0 {
		return 0
	}
	var maxRatio float64
	for _, t := range targets {
		if t.WeightShare > 0 {
			maxRatio = max(maxRatio, t.LoadShare/t.WeightShare)
		}
	}
	return maxRatio
}

func partitionOwners(a *placement.Assignment) []uint16 {
	if a == nil {
		return nil
	}
	return a.Owner
}

func countUnowned(a *placement.Assignment) int {
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
		return api.Owners{}, store.ErrNotFound
	}
	out := api.Owners{Service: service, Version: a.Version, Provisional: slices.Contains(v.ProvisionalServices, service)}
	for p := range a.Owner {
		last := len(out.Ranges) - 1
		if last >= 0 && out.Ranges[last].Target == a.OwnerOf(p) && out.Ranges[last].Epoch == a.Epoch[p] {
			out.Ranges[last].To = p
			continue
		}
		out.Ranges = append(out.Ranges, api.OwnerRange{From: p, To: p, Target: a.OwnerOf(p), Epoch: a.Epoch[p]})
	}
	for _, m := range v.PendingMoves {
		if m.Service == service {
			out.Pending = append(out.Pending, toPendingMove(m))
		}
	}
	return out, nil
}

func toPendingMove(m ownership.PendingMove) api.PendingMove {
	return api.PendingMove{Partition: m.Partition, From: m.From, To: m.To, Reason: m.Reason}
}

// Explain implements operator.Daemon.
func (i *Instance) Explain(service, key string) (api.Explanation, error) {
	v := i.runner.View()
	a, t := v.Assignments[service], i.tableSyncer.Table()
	if a == nil || t == nil {
		return api.Explanation{}, store.ErrNotFound
	}
	p := placement.PartitionOf(service, key, len(a.Owner))
	e := api.Explanation{
		Service: service, Key: key, Partition: p, Target: a.OwnerOf(p), Epoch: a.Epoch[p],
		Provisional: slices.Contains(v.ProvisionalServices, service), State: string(ownership.TargetUnknown),
	}
	if e.Target == "" {
		e.Reason = "the partition has no owner"
		return e, nil
	}
	i.explainTarget(&e, t, v)
	for _, m := range v.PendingMoves {
		if m.Service == service && m.Partition == p {
			move := toPendingMove(m)
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
	controlled, isControlled := v.Controlled[id]
	if !isControlled {
		s := i.statusOf(id)
		e.State = cmp.Or(string(s.State), e.State)
		e.Serving = s.State == ownership.TargetHeld
		if !e.Serving {
			e.Reason = "instance " + c.Instance + " reports the target as " + e.State
		}
		return
	}
	e.State = string(controlled.State)
	e.Serving = i.runner.MayRun(id, controlled.Term, e.Partition, e.Epoch)
	if !e.Serving {
		e.Reason = "the server has not confirmed the partition yet"
	}
}
