package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/boragegate/boragegate/internal/wait"
	"github.com/boragegate/boragegate/ownership"
	"github.com/boragegate/boragegate/table"
)

// Reasons for which an instance accepts no requests.
const (
	reasonNoTable     = "no table version confirmed yet"
	reasonUnconfirmed = "table version not confirmed and not in contact with the cell"
	reasonStopping    = "stopping"
)

// watchServing updates the metrics of the controlled targets every servingInterval, and
// passes the serving state to the control loop when it has changed.
func (i *Instance) watchServing() error {
	last := "?"
	for i.sleep(servingInterval) {
		i.updateTargetMetrics(servingInterval)
		if reason := i.servingReason(); reason != last {
			last = reason
			i.runner.SetServing(reason == "", reason)
			i.logger.Info().Str("event", "instance.serving").Bool("serving", reason == "").Str("reason", reason).Send()
		}
	}
	return nil
}

// servingReason returns the reason for which the instance accepts no requests, or "" if
// it accepts them.
func (i *Instance) servingReason() string {
	recentlyConfirmed, everConfirmed := i.tableSyncer.Confirmed()
	switch {
	case !everConfirmed:
		return reasonNoTable
	case !recentlyConfirmed && !i.runner.InContact():
		return reasonUnconfirmed
	default:
		return ""
	}
}

// runHealthChecks checks the health of the controlled targets whose servers do not check
// grants. Such servers hold no lease, so a failed renewal cannot reveal that they are down.
func (i *Instance) runHealthChecks() error {
	for i.sleep(healthCheckInterval) {
		t := i.tableSyncer.Table()
		if t == nil {
			continue
		}
		var wg sync.WaitGroup
		for _, row := range i.rowsWithoutGrantChecks(t) {
			wg.Go(func() { i.checkHealth(row) })
		}
		wg.Wait()
	}
	return nil
}

func (i *Instance) checkHealth(row table.Row) {
	ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
	defer cancel()
	up := i.servers.Healthy(ctx, row.Address)
	i.runner.Post(ownership.HealthObserved{Target: row.ID(), Up: up})
}

// rowsWithoutGrantChecks returns the rows of the controlled targets whose servers do not
// check grants.
func (i *Instance) rowsWithoutGrantChecks(t *table.Table) []table.Row {
	var rows []table.Row
	controlled := i.runner.View().Controlled
	for _, row := range t.Rows {
		s, ok := t.Service(row.Service)
		if _, isControlled := controlled[row.ID()]; ok && isControlled && !s.ChecksGrants {
			rows = append(rows, row)
		}
	}
	return rows
}

// reportLoad reports the load of the controlled targets to the planner every loadInterval.
func (i *Instance) reportLoad() error {
	for i.sleep(loadInterval) {
		if reports := i.gateway.LoadReports(); len(reports) > 0 {
			i.setTargetLoads(reports)
			i.runner.Post(ownership.LoadObserved{Reports: reports})
		}
	}
	return nil
}

// sleep waits for the duration d. It returns false if the instance is terminated first.
func (i *Instance) sleep(d time.Duration) bool {
	return wait.For(d, i.t.Dying())
}
