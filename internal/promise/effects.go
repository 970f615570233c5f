// Package promise records what callers and backend servers see of a running
// system, and checks the records against the promises in docs/design.md. The
// demo and the tests of whole systems share it.
package promise

import (
	"slices"
	"sync"

	"github.com/boragegate/boragegate/examples/backend/server"
)

// Effects collects the requests that took effect at the sample servers. It is
// safe for concurrent use.
type Effects struct {
	mu   sync.Mutex
	list []server.Effect
}

// Observe adds an effect; it is meant for server.Config.Observe.
func (e *Effects) Observe(f server.Effect) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, f)
}

// Snapshot returns a copy of the effects so far.
func (e *Effects) Snapshot() []server.Effect {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.list)
}

// EffectsOfService selects the effects of a service.
func EffectsOfService(service string, list []server.Effect) []server.Effect {
	var selected []server.Effect
	for _, f := range list {
		if f.Service == service {
			selected = append(selected, f)
		}
	}
	return selected
}
