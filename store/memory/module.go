package memory

import (
	"context"
	"time"

	"github.com/boragegate/boragegate"
	"github.com/boragegate/boragegate/finding"
	"github.com/boragegate/boragegate/table"
)

func init() {
	boragegate.Register(boragegate.Module{ID: "store.memory", New: func() any { return &Module{History: DefaultHistoryLength} }})
}

// Module is the configuration of "store.memory" and, after Provision, the store.
// Each loaded module is a separate store, initially empty.
type Module struct {
	*Store `json:"-"`
	// History is the maximum number of changes that are kept for watches, at least 1.
	History int `json:"history"`
	// Delay is added to every call.
	Delay table.Duration `json:"delay"`
	// InstanceLag is the time by which the instance list lags behind.
	InstanceLag table.Duration `json:"instance_lag"`
}

// Provision creates the store.
func (m *Module) Provision(context.Context) error {
	m.Store = New(Options{HistoryLength: m.History, Faults: Faults{Delay: time.Duration(m.Delay), InstanceLag: time.Duration(m.InstanceLag)}})
	return nil
}

// Validate reports every setting that is out of range.
func (m *Module) Validate() error {
	var list finding.List
	if m.History < 1 {
		list = append(list, finding.Finding{Path: "history", Message: "out of range", Expected: "at least 1"})
	}
	for path, d := range map[string]table.Duration{"delay": m.Delay, "instance_lag": m.InstanceLag} {
		if d < 0 {
			list = append(list, finding.Finding{Path: path, Message: "negative", Expected: "at least 0s"})
		}
	}
	return list.Err()
}
