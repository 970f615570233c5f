// Package standard imports the plug-ins that come with boragegate for their
// effect: each registers itself with the kernel.
package standard

import (
	"github.com/boragegate/boragegate"
	"github.com/boragegate/boragegate/placement"

	_ "github.com/boragegate/boragegate/store/httpstore" // store.http
	_ "github.com/boragegate/boragegate/store/memory"    // store.memory
)

// DefaultPlacement is the ID of the placement policy that is used by default.
const DefaultPlacement = "placement.weighted"

// PolicyFactory makes the placement policy of a service.
type PolicyFactory interface {
	NewPolicy() placement.Policy
}

// weighted is the configuration of placement.weighted.
type weighted struct{ placement.Settings }

// NewPolicy implements PolicyFactory.
func (w *weighted) NewPolicy() placement.Policy { return placement.NewWeighted(w.Settings) }

func init() {
	boragegate.Register(boragegate.Module{ID: DefaultPlacement, New: func() any { return &weighted{} }})
}
