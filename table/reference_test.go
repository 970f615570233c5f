package table_test

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/boragegate/boragegate/table"
)

// TestReference guards against fields of a service or row that are missing in the
// tables of docs/reference/table.md.
func TestReference(t *testing.T) {
	page, err := os.ReadFile("../docs/reference/table.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, typ := range []reflect.Type{reflect.TypeFor[table.Service](), reflect.TypeFor[table.Row]()} {
		for i := range typ.NumField() {
			name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			if !strings.Contains(string(page), "| `"+name+"` |") {
				t.Errorf("docs/reference/table.md lacks %s", name)
			}
		}
	}
}
