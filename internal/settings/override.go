package settings

import (
	"encoding/json"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/boragegate/boragegate/finding"
)

// scalarPaths returns the JSON paths of all fields of settings, a pointer to a struct, that
// an override can set.
func scalarPaths(settings any) []string {
	var paths []string
	walkScalars("", reflect.ValueOf(settings).Elem(), func(path string, _ reflect.Value) { paths = append(paths, path) })
	return paths
}

// walkScalars calls visit for each field that an override can set, with its JSON
// path. It descends into nested structs and skips slices.
func walkScalars(prefix string, v reflect.Value, visit func(path string, v reflect.Value)) {
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		f := v.Field(i)
		switch f.Kind() {
		case reflect.Struct:
			walkScalars(prefix+name+".", f, visit)
		case reflect.Slice: // lists and raw module settings can only be set in the file
		default:
			visit(prefix+name, f)
		}
	}
}

// applyOverrides applies the overrides in order and returns a finding for each that has
// an unknown path or an invalid value. Such an override changes nothing.
func applyOverrides(settings any, overrides []Override) finding.List {
	fields := map[string]reflect.Value{}
	walkScalars("", reflect.ValueOf(settings).Elem(), func(path string, v reflect.Value) { fields[path] = v })
	var list finding.List
	for _, o := range overrides {
		f, ok := fields[o.Path]
		if !ok {
			list = append(list, finding.Finding{Path: o.Path, Message: o.Origin + " names no setting"})
			continue
		}
		if expected := setFromText(f, o.Value); expected != "" {
			list = append(list, finding.Finding{Path: o.Path, Message: o.Origin + ": cannot use " + strconv.Quote(o.Value), Expected: expected})
		}
	}
	return list
}

// setFromText converts text to the type of the field and sets the field. If the text is
// invalid, it returns a description of what is expected, otherwise "".
func setFromText(f reflect.Value, text string) (expected string) {
	if d, ok := f.Addr().Interface().(*Duration); ok {
		quoted, _ := json.Marshal(text)
		if d.UnmarshalJSON(quoted) != nil {
			return d.Expected()
		}
		return ""
	}
	switch f.Kind() {
	case reflect.String:
		f.SetString(text)
		return ""
	case reflect.Bool:
		if json.Unmarshal([]byte(text), f.Addr().Interface()) != nil {
			return "true or false"
		}
	default:
		if json.Unmarshal([]byte(text), f.Addr().Interface()) != nil {
			return "a number"
		}
	}
	return ""
}

func contains(list []string, s string) bool { return slices.Contains(list, s) }

func keys(m map[string]string) []string {
	list := make([]string, 0, len(m))
	for k := range m {
		list = append(list, k)
	}
	return list
}
