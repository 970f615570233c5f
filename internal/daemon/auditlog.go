package daemon

import (
	"context"

	"github.com/boragegate/boragegate/internal/operator/api"
)

// Audit implements operator.Daemon.
func (i *Instance) Audit(context.Context, uint64, int) ([]api.AuditEntry, error) { return nil, nil }

// RecordAudit implements operator.Daemon.
func (i *Instance) RecordAudit(operator, event string, fields map[string]string) {
	i.logger.Info().Str("event", event).Str("operator", operator).Any("fields", fields).Send()
}
