// Package standard registers the modules that are part of boragegate. Programs import it
// for this side effect; each module registers itself in its init function.
package standard

import (
	"github.com/boragegate/boragegate"
	"github.com/boragegate/boragegate/placement"

	_ "github.com/boragegate/boragegate/store/httpstore" // store.http
	_ "github.com/boragegate/boragegate/store/memory"    // store.memory
)

// DefaultPlacement is the module ID of the default placement policy.
const DefaultPlacement = "placement.weighted"

// PolicyFactory creates the placement policy of a service. Placement modules implement it.
type PolicyFactory interface {
	NewPolicy() placement.Policy
}

// weightedModule is the module placement.weighted. The embedded settings have no JSON
// names, so its JSON configuration cannot set any of them.
type weightedModule struct{ placement.Settings }

// NewPolicy returns a weighted placement policy with the settings of the module.
func (w *weightedModule) NewPolicy() placement.Policy { return placement.NewWeighted(w.Settings) }

func init() {
	boragegate.Register(boragegate.Module{ID: DefaultPlacement, New: func() any { return &weightedModule{} }})
}
