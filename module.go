// Package boragegate is the kernel: a registry of modules by dotted ID, for
// example "store.memory", and the lifecycle in which a module is decoded from
// its JSON configuration, provisioned, validated and cleaned up. Plug-ins
// register themselves in an init function; importing a plug-in makes it
// available.
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

// Module describes a plug-in.
type Module struct {
	// ID is the dotted name: a namespace and a name, both lower case, for example "store.memory".
	ID string
	// New returns a pointer to a new value with its defaults set. The JSON
	// configuration is decoded into it.
	New func() any
}

// UnknownModuleError means that no module of that ID is registered.
type UnknownModuleError struct {
	ID string
	// Nearest is the registered ID with the smallest edit distance, empty if none is near.
	Nearest string
}

// Error names the ID and the nearest registered one.
func (e *UnknownModuleError) Error() string {
	if e.Nearest == "" {
		return fmt.Sprintf("unknown module %q", e.ID)
	}
	return fmt.Sprintf("unknown module %q, nearest is %q", e.ID, e.Nearest)
}

var idPattern = regexp.MustCompile(`^[a-z][a-z0-9_]*(\.[a-z][a-z0-9_]*)+$`)

// registry is written by init functions and only read afterwards; the lock
// serves tests and programs that register later.
var registry = struct {
	sync.RWMutex
	modules map[string]Module
}{modules: map[string]Module{}}

// Register adds a module. It panics if the ID is malformed or taken or New is
// nil, because that is a fault in the program.
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

// Lookup returns the module with that ID, or an *UnknownModuleError.
func Lookup(id string) (Module, error) {
	registry.RLock()
	defer registry.RUnlock()
	if m, ok := registry.modules[id]; ok {
		return m, nil
	}
	return Module{}, &UnknownModuleError{ID: id, Nearest: nearest(id, slices.Sorted(maps.Keys(registry.modules)))}
}

// Modules returns the registered IDs of a namespace in order; "" selects all.
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

// nearest returns the candidate with the smallest edit distance to name, or ""
// if more than half of the longer name differs.
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
