// Package examples_test checks that the parsers of boragegate accept the example files.
package examples_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/boragegate/boragegate"
	"github.com/boragegate/boragegate/internal/settings"
	_ "github.com/boragegate/boragegate/internal/standard" // registers the store modules
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table"
)

// TestTables guards against example tables and settings that the parsers reject, and
// against tables whose numbers of servers differ from section 1 of docs/design.md.
func TestTables(t *testing.T) {
	for file, sizes := range map[string]map[string]int{
		"kozmu":     {"route": 15, "booking": 8, "map": 8},
		"loomprint": {"design": 15, "order": 9, "proof": 6},
	} {
		d := readSettings(t, filepath.Join(file, "settings.jsonc"))
		path := filepath.Join(file, "table.jsonc")
		parsed, err := table.ParseWithOptions(path, readFile(t, path), table.Options{Zones: d.KnownZones})
		if err != nil {
			t.Fatal(err)
		}
		if len(parsed.Services) != len(sizes) {
			t.Errorf("%s has %d services", path, len(parsed.Services))
		}
		for service, n := range sizes {
			if got := len(parsed.RowsOf(service)); got != n {
				t.Errorf("%s: service %s has %d rows, want %d", path, service, got, n)
			}
		}
	}
}

// TestTool guards against example settings of the command-line tool that the
// parser rejects.
func TestTool(t *testing.T) {
	if _, err := settings.ParseTool("tool.jsonc", readFile(t, "tool.jsonc"), nil); err != nil {
		t.Error(err)
	}
}

func readSettings(t *testing.T, path string) *settings.Daemon {
	t.Helper()
	o := settings.Options{
		StoreModules: boragegate.Modules("store"),
		CheckStore: func(s settings.Store) error {
			store, err := boragegate.LoadAs[store.Store](t.Context(), s.Module, s.Config)
			if err != nil {
				return err
			}
			return boragegate.Unload(store)
		},
	}
	d, err := settings.ParseDaemon(path, readFile(t, path), nil, o)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
