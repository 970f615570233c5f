package daemon

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/boragegate/boragegate/internal/operator/api"
	"github.com/boragegate/boragegate/internal/tablesync"
	"github.com/boragegate/boragegate/ownership"
)

// silenceTimeout is the time without a table request after which another instance is
// reported as silent. Each member sends one in every cycle of 4 s, so one may be lost.
const silenceTimeout = 10 * time.Second

// Status implements operator.Daemon.
func (i *Instance) Status() api.Status {
	v := i.runner.View()
	ready, reason := i.Ready()
	s := api.Status{
		Instance: i.opts.ID, Zone: i.opts.Zone, Cell: i.opts.Cell, Release: i.opts.Release, Started: i.started,
		Ready: ready, Reason: reason, InContact: i.runner.InContact(),
		TableConfirmedMS: i.tableSyncer.ConfirmationAge().Milliseconds(),
		Provisional:      v.ProvisionalServices,
		Controls:         slices.Sorted(maps.Keys(v.Controlled)),
	}
	if t := i.tableSyncer.Table(); t != nil {
		s.TableVersion = t.Version
	}
	if v.Cell != nil {
		s.Planner, s.Members = v.Cell.Planner, len(v.Cell.Members)
	}
	err := i.tableSyncer.StoreError()
	if s.StoreAvailable = err == nil; err != nil {
		s.StoreError = err.Error()
	}
	return s
}

// Instances implements operator.Daemon.
func (i *Instance) Instances() []api.Instance {
	v := i.runner.View()
	if v.Cell == nil {
		return nil
	}
	activeVersions := i.tableSyncer.ActiveVersions()
	list := make([]api.Instance, 0, len(v.Cell.Members))
	for _, m := range v.Cell.Members {
		list = append(list, i.describeInstance(v.Cell, m, activeVersions))
	}
	slices.SortFunc(list, func(a, b api.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func (i *Instance) describeInstance(cell *ownership.Cell, m ownership.Member, activeVersions map[string]tablesync.Version) api.Instance {
	in := api.Instance{ID: m.ID, Zone: m.Zone, State: "member", Planner: cell.Planner == m.ID, PeerAddress: m.PeerAddress, LastHeardMS: -1}
	for _, c := range cell.Controllers {
		if c.Instance == m.ID {
			in.Controls++
		}
	}
	if m.ID == i.opts.ID {
		in.LastHeardMS, in.TableVersion = 0, activeVersions[m.ID].Version
		return in
	}
	lastReport, ok := activeVersions[m.ID]
	if !ok {
		in.Reason = "not heard of yet"
		return in
	}
	age := time.Since(lastReport.ReceivedAt)
	in.LastHeardMS, in.TableVersion = age.Milliseconds(), lastReport.Version
	if age > silenceTimeout {
		in.State, in.Reason = "silent", "nothing heard for "+age.Round(time.Second).String()
	}
	return in
}

// Services implements operator.Daemon.
func (i *Instance) Services() []api.Service {
	t := i.tableSyncer.Table()
	if t == nil {
		return nil
	}
	v := i.runner.View()
	list := make([]api.Service, 0, len(t.Services))
	for _, s := range t.Services {
		list = append(list, i.describeService(t, s, v))
	}
	return list
}

// Events implements operator.Daemon.
func (i *Instance) Events(limit int) []api.Event {
	if i.opts.RecentEvents == nil {
		return nil
	}
	entries := i.opts.RecentEvents.Last(limit)
	list := make([]api.Event, len(entries))
	for n, e := range entries {
		list[n] = api.Event{Time: e.Time, Event: e.Event, Fields: e.Fields}
	}
	return list
}
