package settings_test

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/boragegate/boragegate/internal/settings"
)

// TestReference guards against settings that are missing from docs/reference/settings.md.
func TestReference(t *testing.T) {
	page, err := os.ReadFile("../../docs/reference/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	var walk func(prefix string, typ reflect.Type)
	walk = func(prefix string, typ reflect.Type) {
		for i := range typ.NumField() {
			f := typ.Field(i)
			path := prefix + f.Tag.Get("json")
			switch {
			case f.Type == reflect.TypeFor[settings.TLS]() && prefix == "tls.":
				walk(path+".", f.Type)
			case f.Type.Kind() == reflect.Struct:
				walk(path+".", f.Type)
			case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
				walk(path+"[].", f.Type.Elem())
			case !documented(string(page), path):
				t.Errorf("docs/reference/settings.md lacks %s", path)
			}
		}
	}
	walk("", reflect.TypeFor[settings.Daemon]())
	walk("", reflect.TypeFor[settings.Tool]())
}

// documented reports whether the page lists the path in code quotes. A field of
// tls.caller, tls.internal or tls.operator may be listed under "tls.*".
func documented(page, path string) bool {
	parts := strings.Split(path, ".")
	if len(parts) == 3 && parts[0] == "tls" {
		return strings.Contains(page, "`"+path+"`") || strings.Contains(page, "`tls.*."+parts[2]+"`")
	}
	return strings.Contains(page, "`"+path+"`")
}
