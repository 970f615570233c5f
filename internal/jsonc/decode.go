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

// Expecter is implemented by types with their own UnmarshalJSON. Expected
// describes the accepted values for findings.
type Expecter interface{ Expected() string }

// Decode decodes the input into the struct that v points to. A value of the wrong
// type leaves its field unchanged and is reported as a finding, as is an unknown or
// repeated field. Field names must equal the json tags, including case.
func (d *Document) Decode(v any) {
	d.decodeValue("", &d.root, reflect.ValueOf(v).Elem())
}

// decodeValue records the offset of a value and decodes it into out.
func (d *Document) decodeValue(path string, in *hujson.Value, out reflect.Value) {
	d.offsets[path] = in.StartOffset
	if out.Type() == rawMessage {
		c := in.Clone()
		c.Standardize()
		c.Minimize()
		out.SetBytes(c.Pack())
		return
	}
	if reflect.PointerTo(out.Type()).Implements(unmarshaler) {
		d.decodeCustom(path, in, out)
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		d.decodeObject(path, in, out)
	case reflect.Slice:
		d.decodeArray(path, in, out)
	case reflect.Map:
		d.decodeMap(path, in, out)
	default:
		d.decodeScalar(path, in, out)
	}
}

// decodeCustom decodes a value with the UnmarshalJSON method of the type of out.
func (d *Document) decodeCustom(path string, in *hujson.Value, out reflect.Value) {
	p := reflect.New(out.Type())
	if err := json.Unmarshal(standardJSON(in), p.Interface()); err != nil {
		expected := ""
		if e, ok := p.Interface().(Expecter); ok {
			expected = e.Expected()
		}
		d.addFindingAt(in.StartOffset, path, "cannot use "+describeValue(in), expected)
		return
	}
	out.Set(p.Elem())
}

func (d *Document) decodeObject(path string, in *hujson.Value, out reflect.Value) {
	obj, ok := in.Value.(*hujson.Object)
	if !ok {
		d.addMismatch(path, in, "an object")
		return
	}
	fields := fieldIndices(out.Type())
	seen := map[string]bool{}
	for i := range obj.Members {
		m := &obj.Members[i]
		name := literalString(m.Name)
		index, known := fields[name]
		switch {
		case !known:
			d.addFindingAt(m.Name.StartOffset, joinPath(path, name), "unknown field", suggestField(name, fields))
		case seen[name]:
			d.addFindingAt(m.Name.StartOffset, joinPath(path, name), "the field is repeated", "each field once")
		default:
			d.decodeValue(joinPath(path, name), &m.Value, out.Field(index))
		}
		seen[name] = true
	}
}

func (d *Document) decodeArray(path string, in *hujson.Value, out reflect.Value) {
	arr, ok := in.Value.(*hujson.Array)
	if !ok {
		d.addMismatch(path, in, "an array")
		return
	}
	s := reflect.MakeSlice(out.Type(), len(arr.Elements), len(arr.Elements))
	for i := range arr.Elements {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), &arr.Elements[i], s.Index(i))
	}
	out.Set(s)
}

// decodeMap decodes an object into a map with string keys.
func (d *Document) decodeMap(path string, in *hujson.Value, out reflect.Value) {
	obj, ok := in.Value.(*hujson.Object)
	if !ok {
		d.addMismatch(path, in, "an object")
		return
	}
	m := reflect.MakeMapWithSize(out.Type(), len(obj.Members))
	for i := range obj.Members {
		name := literalString(obj.Members[i].Name)
		if m.MapIndex(reflect.ValueOf(name)).IsValid() {
			d.addFindingAt(obj.Members[i].Name.StartOffset, joinPath(path, name), "the field is repeated", "each field once")
			continue
		}
		v := reflect.New(out.Type().Elem()).Elem()
		d.decodeValue(joinPath(path, name), &obj.Members[i].Value, v)
		m.SetMapIndex(reflect.ValueOf(name), v)
	}
	out.Set(m)
}

func (d *Document) decodeScalar(path string, in *hujson.Value, out reflect.Value) {
	lit, ok := in.Value.(hujson.Literal)
	var err error
	expected := describeKind(out.Kind())
	if ok {
		err = setScalar(lit, out)
	}
	if !ok || err != nil {
		d.addMismatch(path, in, expected)
	}
}

// setScalar decodes a JSON literal into a string, boolean or number.
func setScalar(lit hujson.Literal, out reflect.Value) error {
	// json.Unmarshal accepts null for every type and leaves the value unchanged,
	// so null is rejected here.
	if lit.Kind() == 'n' {
		return strconv.ErrSyntax
	}
	return json.Unmarshal(lit, out.Addr().Interface())
}

// describeKind describes the expected JSON value for a scalar field.
func describeKind(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string in quotes"
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

func (d *Document) addMismatch(path string, in *hujson.Value, expected string) {
	d.addFindingAt(in.StartOffset, path, "cannot use "+describeValue(in), expected)
}

// describeValue returns a short description of a value for messages. Literals
// longer than 40 bytes are truncated.
func describeValue(in *hujson.Value) string {
	switch v := in.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		const maxLiteralBytes = 40
		if len(v) > maxLiteralBytes {
			return strings.ToValidUTF8(string(v[:maxLiteralBytes]), "") + "…"
		}
		return string(v)
	}
	return "this value"
}

// standardJSON returns a value as JSON without comments and trailing commas.
func standardJSON(in *hujson.Value) []byte {
	c := in.Clone()
	c.Standardize()
	return c.Pack()
}

func literalString(v hujson.Value) string {
	lit, _ := v.Value.(hujson.Literal)
	return lit.String()
}

// fieldIndices returns the indices of the fields of a struct type by their names in the
// json tags. It leaves out fields without such a name.
func fieldIndices(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

// suggestField returns the known field name that is closest to an unknown one, in quotes,
// or "" if none is similar.
func suggestField(name string, fields map[string]int) string {
	names := make([]string, 0, len(fields))
	for f := range fields {
		names = append(names, f)
	}
	if n := Nearest(name, names); n != "" {
		return strconv.Quote(n)
	}
	return ""
}

// Nearest returns the known name with the smallest edit distance to a misspelled
// one, and of several the first in alphabetical order. It returns "" if all distances
// exceed the larger of 2 and half of the length of name.
func Nearest(name string, known []string) string {
	best, distance := "", max(2, len(name)/2)+1
	for _, k := range known {
		if n := levenshtein.ComputeDistance(name, k); n < distance || n == distance && k < best && best != "" {
			best, distance = k, n
		}
	}
	return best
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
