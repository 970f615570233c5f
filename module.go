// Package boragegate implements plug-in modules. It has a registry of modules by
// dotted ID, for example "store.memory", and implements the module lifecycle:
// a module is decoded from its JSON configuration, provisioned, validated and
// cleaned up. Modules register themselves in an init function, so that
// importing the package of a module makes it available.
package boragegate

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"sync"

	"github.com/agnivade/levenshtein"
)

// Module describes a plug-in module for Register.
type Module struct {
	// ID is the dotted name: one or more namespaces and a name, all lower case, for example
	// "store.memory".
	ID string
	// New returns a pointer to a new struct with the default settings. The JSON
	// configuration is decoded into this struct.
	New func() any
}

// UnknownModuleError is returned if no module with the given ID is registered.
type UnknownModuleError struct {
	ID string
	// Nearest is the registered ID with the smallest edit distance to ID. It is empty if
	// none is similar.
	Nearest string
}

// Error returns a message with the unknown ID and, if there is one, the nearest
// registered ID.
func (e *UnknownModuleError) Error() string {
	if e.Nearest == "" {
		return fmt.Sprintf("unknown module %q", e.ID)
	}
	return fmt.Sprintf("unknown module %q, nearest is %q", e.ID, e.Nearest)
}

var idPattern = regexp.MustCompile(`^[a-z][a-z0-9_]*(\.[a-z][a-z0-9_]*)+$`)

// registry is usually written by init functions only. The lock is for tests and
// programs that register modules later.
var registry = struct {
	sync.RWMutex
	modules map[string]Module
}{modules: map[string]Module{}}

// Register adds a module to the registry. It panics if the ID is malformed or
// already registered, or if New is nil, because these are programming errors.
// It may be called concurrently.
func Register(m Module) {
	if !idPattern.MatchString(m.ID) {
		panic(fmt.Sprintf("boragegate: module ID %q is not of the form namespace.name", m.ID))
	}
	if m.New == nil {
		panic(fmt.Sprintf("boragegate: module %q has no constructor", m.ID))
	}
	registry.Lock()
	defer registry.Unlock()
	if _, registered := registry.modules[m.ID]; registered {
		panic(fmt.Sprintf("boragegate: module %q is registered twice", m.ID))
	}
	registry.modules[m.ID] = m
}

// Lookup returns the module with the given ID, or an *UnknownModuleError if none
// is registered.
func Lookup(id string) (Module, error) {
	registry.RLock()
	defer registry.RUnlock()
	if m, ok := registry.modules[id]; ok {
		return m, nil
	}
	return Module{}, &UnknownModuleError{ID: id, Nearest: nearest(id, slices.Sorted(maps.Keys(registry.modules)))}
}

// Modules returns the sorted IDs of the modules in a namespace. An empty
// namespace selects all modules.
func Modules(namespace string) []string {
	registry.RLock()
	defer registry.RUnlock()
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(registry.modules)) {
		if namespace == "" || strings.HasPrefix(id, namespace+".") {
			ids = append(ids, id)
		}
	}
	return ids
}

// nearest returns the candidate with the smallest edit distance to name. It
// skips candidates whose distance is more than half the length of the longer of
// the two names, and returns "" if none remains.
func nearest(name string, candidates []string) string {
	best, bestDistance := "", 0
	for _, c := range candidates {
		d := levenshtein.ComputeDistance(name, c)
		if 2*d > max(len(name), len(c)) {
			continue
		}
		if best == "" || d < bestDistance {
			best, bestDistance = c, d
		}
	}
	return best
}
