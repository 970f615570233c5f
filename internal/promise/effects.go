// Package promise records requests as observed by callers and by backend servers of a
// running deployment, and checks the records against the promises in docs/design.md.
// The demo and the system tests share it.
package promise

import (
	"slices"
	"sync"

	"github.com/boragegate/boragegate/examples/backend/server"
)

// Effects collects the requests that the sample servers executed. It is
// safe for concurrent use.
type Effects struct {
	mu   sync.Mutex
	list []server.Effect
}

// Observe records an effect. It is meant for server.Config.Observe.
func (e *Effects) Observe(effect server.Effect) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, effect)
}

// Snapshot returns a copy of all effects recorded so far.
func (e *Effects) Snapshot() []server.Effect {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.list)
}

// EffectsOfService returns the effects of one service in the given order.
func EffectsOfService(service string, effects []server.Effect) []server.Effect {
	var selected []server.Effect
	for _, e := range effects {
		if e.Service == service {
			selected = append(selected, e)
		}
	}
	return selected
}
