package daemon

import (
	"context"

	"github.com/boragegate/boragegate/internal/audit"
	"github.com/boragegate/boragegate/internal/operator/api"
	"github.com/boragegate/boragegate/ownership"
)

// recordLogEntry writes an entry of the control core to the log and, if it is marked for audit,
// adds it to the audit trail. The core marks changes of assignments, the cell record,
// controllers, members and the planner.
func (i *Instance) recordLogEntry(entry ownership.LogEntry) {
	i.logger.Info().Str("event", entry.Event).Fields(entry.Fields).Send()
	i.countMoves(entry)
	if entry.Audit {
		i.trail.Add(audit.FromLogEntry(entry))
	}
}

// Audit implements operator.Daemon.
func (i *Instance) Audit(ctx context.Context, before uint64, limit int) ([]api.AuditEntry, error) {
	entries, err := audit.Read(ctx, i.store, i.opts.Cell, audit.Filter{Before: before, Limit: limit})
	if err != nil {
		return nil, err
	}
	list := make([]api.AuditEntry, len(entries))
	for n, e := range entries {
		list[n] = api.AuditEntry{
			Sequence: e.Sequence, Time: e.Time, Instance: e.Instance, Operator: e.Who, Event: e.Event, Fields: e.AllFields(),
		}
	}
	return list, nil
}

// RecordAudit implements operator.Daemon.
func (i *Instance) RecordAudit(operator, event string, fields map[string]string) {
	i.logger.Info().Str("event", event).Str("operator", operator).Send()
	i.trail.Add(audit.FromFields(operator, event, fields))
}
