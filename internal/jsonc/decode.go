package jsonc

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/tailscale/hujson"
)

var (
	rawMessage  = reflect.TypeFor[json.RawMessage]()
	unmarshaler = reflect.TypeFor[json.Unmarshaler]()
)

// Expecter is implemented by types with their own UnmarshalJSON that can say
// what they expect.
type Expecter interface{ Expected() string }

// Decode fills the struct that v points to. Values that do not fit are left
// as they are and become findings, as do unknown and repeated fields.
func (d *Document) Decode(v any) {
	d.value("", &d.root, reflect.ValueOf(v).Elem())
}

func (d *Document) value(path string, in *hujson.Value, out reflect.Value) {
	d.offsets[path] = in.StartOffset
	if out.Type() == rawMessage {
		c := in.Clone()
		c.Standardize()
		c.Minimize()
		out.SetBytes(c.Pack())
		return
	}
	if reflect.PointerTo(out.Type()).Implements(unmarshaler) {
		d.custom(path, in, out)
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		d.object(path, in, out)
	case reflect.Slice:
		d.array(path, in, out)
	case reflect.Map:
		d.stringMap(path, in, out)
	default:
		d.scalar(path, in, out)
	}
}

func (d *Document) custom(path string, in *hujson.Value, out reflect.Value) {
	p := reflect.New(out.Type())
	if err := json.Unmarshal(packed(in), p.Interface()); err != nil {
		expected := ""
		if e, ok := p.Interface().(Expecter); ok {
			expected = e.Expected()
		}
		d.addAt(in.StartOffset, path, "cannot use "+shown(in), expected)
		return
	}
	out.Set(p.Elem())
}

func (d *Document) object(path string, in *hujson.Value, out reflect.Value) {
	obj, ok := in.Value.(*hujson.Object)
	if !ok {
		d.mismatch(path, in, "an object")
		return
	}
	fields := fieldsOf(out.Type())
	seen := map[string]bool{}
	for i := range obj.Members {
		m := &obj.Members[i]
		name := literalString(m.Name)
		index, known := fields[name]
		switch {
		case !known:
			d.addAt(m.Name.StartOffset, join(path, name), "unknown field", nearest(name, fields))
		case seen[name]:
			d.addAt(m.Name.StartOffset, join(path, name), "the field is repeated", "each field once")
		default:
			d.value(join(path, name), &m.Value, out.Field(index))
		}
		seen[name] = true
	}
}

func (d *Document) array(path string, in *hujson.Value, out reflect.Value) {
	arr, ok := in.Value.(*hujson.Array)
	if !ok {
		d.mismatch(path, in, "an array")
		return
	}
	s := reflect.MakeSlice(out.Type(), len(arr.Elements), len(arr.Elements))
	for i := range arr.Elements {
		d.value(fmt.Sprintf("%s[%d]", path, i), &arr.Elements[i], s.Index(i))
	}
	out.Set(s)
}

func (d *Document) stringMap(path string, in *hujson.Value, out reflect.Value) {
	obj, ok := in.Value.(*hujson.Object)
	if !ok {
		d.mismatch(path, in, "an object")
		return
	}
	m := reflect.MakeMapWithSize(out.Type(), len(obj.Members))
	for i := range obj.Members {
		name := literalString(obj.Members[i].Name)
		if m.MapIndex(reflect.ValueOf(name)).IsValid() {
			d.addAt(obj.Members[i].Name.StartOffset, join(path, name), "the field is repeated", "each field once")
			continue
		}
		v := reflect.New(out.Type().Elem()).Elem()
		d.value(join(path, name), &obj.Members[i].Value, v)
		m.SetMapIndex(reflect.ValueOf(name), v)
	}
	out.Set(m)
}

func (d *Document) scalar(path string, in *hujson.Value, out reflect.Value) {
	lit, ok := in.Value.(hujson.Literal)
	var err error
	expected := expectedOf(out.Kind())
	if ok {
		err = setScalar(lit, out)
	}
	if !ok || err != nil {
		d.mismatch(path, in, expected)
	}
}

func setScalar(lit hujson.Literal, out reflect.Value) error {
	// json.Unmarshal accepts null for every type and changes nothing.
	if lit.Kind() == 'n' {
		return strconv.ErrSyntax
	}
	return json.Unmarshal(lit, out.Addr().Interface())
}

func expectedOf(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a text in quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Uint64:
		return "a whole number, at least 0"
	default:
		return "a number"
	}
}

func (d *Document) mismatch(path string, in *hujson.Value, expected string) {
	d.addAt(in.StartOffset, path, "cannot use "+shown(in), expected)
}

// shown is a short form of a value for messages.
func shown(in *hujson.Value) string {
	switch v := in.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		const longest = 40
		if len(v) > longest {
			return strings.ToValidUTF8(string(v[:longest]), "") + "…"
		}
		return string(v)
	}
	return "this value"
}

func packed(in *hujson.Value) []byte {
	c := in.Clone()
	c.Standardize()
	return c.Pack()
}

func literalString(v hujson.Value) string {
	lit, _ := v.Value.(hujson.Literal)
	return lit.String()
}

// fieldsOf maps the JSON names of a struct to field indices.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

func nearest(name string, fields map[string]int) string {
	names := make([]string, 0, len(fields))
	for f := range fields {
		names = append(names, f)
	}
	if n := Nearest(name, names); n != "" {
		return strconv.Quote(n)
	}
	return ""
}

// Nearest returns the known name closest to a misspelled one, or "" if none is close.
func Nearest(name string, known []string) string {
	best, distance := "", max(2, len(name)/2)+1
	for _, k := range known {
		if n := levenshtein.ComputeDistance(name, k); n < distance || n == distance && k < best && best != "" {
			best, distance = k, n
		}
	}
	return best
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
