package boragegate

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/boragegate/boragegate/finding"
)

// Provisioner is implemented by modules that open resources after their
// configuration is decoded. The context bounds only the call, not the lifetime
// of the resources.
type Provisioner interface {
	Provision(ctx context.Context) error
}

// Validator is implemented by modules that check their configuration after
// Provision. To report more than one problem, Validate returns a finding.List.
type Validator interface {
	Validate() error
}

// Cleaner is implemented by modules that must release resources. Cleanup is
// also called if Provision or Validate fails.
type Cleaner interface {
	Cleanup() error
}

// Load creates the module with the given ID from its JSON configuration. It
// calls New, decodes raw into the new value, and calls Provision and Validate.
// If raw is empty, the defaults of New apply. It returns an
// *UnknownModuleError if no such module is registered. Any other error wraps a
// finding.List; the paths of invalid fields start with the name of the field. If
// Provision or Validate fails, Load releases the resources of the module.
func Load(ctx context.Context, id string, raw json.RawMessage) (any, error) {
	m, err := Lookup(id)
	if err != nil {
		return nil, err
	}
	value := m.New()
	if err := decode(raw, value).Err(); err != nil {
		return nil, fmt.Errorf("module %s: %w", id, err)
	}
	if err := provisionAndValidate(ctx, value); err != nil {
		return nil, fmt.Errorf("module %s: %w", id, errors.Join(err, Unload(value)))
	}
	return value, nil
}

// LoadAs loads a module with Load and returns it as a T, for example
// store.Store. It unloads the module and returns an error if the module is not
// a T.
func LoadAs[T any](ctx context.Context, id string, raw json.RawMessage) (T, error) {
	var zero T
	value, err := Load(ctx, id, raw)
	if err != nil {
		return zero, err
	}
	typed, ok := value.(T)
	if !ok {
		want := reflect.TypeFor[T]()
		return zero, errors.Join(fmt.Errorf("module %s is not of type %s", id, want), Unload(value))
	}
	return typed, nil
}

// Unload releases the resources of a module that Load or LoadAs returned.
func Unload(value any) error {
	if c, ok := value.(Cleaner); ok {
		return c.Cleanup()
	}
	return nil
}

func provisionAndValidate(ctx context.Context, value any) error {
	if p, ok := value.(Provisioner); ok {
		if err := p.Provision(ctx); err != nil {
			return asFindings(err)
		}
	}
	if v, ok := value.(Validator); ok {
		if err := v.Validate(); err != nil {
			return asFindings(err)
		}
	}
	return nil
}

// asFindings returns err unchanged if it wraps a finding.List. Otherwise it returns an
// error that wraps both err and a list of one finding with its message.
func asFindings(err error) error {
	var list finding.List
	if errors.As(err, &list) {
		return err
	}
	return &causeError{finding.List{{Message: err.Error()}}, err}
}

// causeError is a list of findings that also wraps the error that caused it.
type causeError struct {
	list  finding.List
	cause error
}

func (e *causeError) Error() string   { return e.list.Error() }
func (e *causeError) Unwrap() []error { return []error{e.list, e.cause} }

// decode decodes a JSON object into value field by field, so that it reports
// all invalid fields and not only the first. Names must match the JSON tags exactly.
func decode(raw json.RawMessage, value any) finding.List {
	if len(bytes.TrimSpace(raw)) == 0 {
		return nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return finding.List{{Message: err.Error(), Expected: "a JSON object"}}
	}
	known := fieldNames(reflect.TypeOf(value))
	var list finding.List
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if !slices.Contains(known, name) {
			list = append(list, unknownField(name, known))
			continue
		}
		if f, ok := decodeField(name, fields[name], value); !ok {
			list = append(list, f)
		}
	}
	return list
}

// decodeField decodes one field into value and returns true. If that fails, it returns
// a finding and false.
func decodeField(name string, raw json.RawMessage, value any) (finding.Finding, bool) {
	object, err := json.Marshal(map[string]json.RawMessage{name: raw})
	if err != nil {
		return finding.Finding{Path: name, Message: err.Error()}, false
	}
	d := json.NewDecoder(bytes.NewReader(object))
	d.DisallowUnknownFields()
	err = d.Decode(value)
	if err == nil {
		return finding.Finding{}, true
	}
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		path := typeError.Field
		if path == "" {
			path = name
		}
		return finding.Finding{Path: path, Message: "found " + typeError.Value, Expected: typeError.Type.String()}, false
	}
	return finding.Finding{Path: name, Message: strings.TrimPrefix(err.Error(), "json: ")}, false
}

func unknownField(name string, known []string) finding.Finding {
	f := finding.Finding{Path: name, Message: "unknown field", Expected: "one of " + strings.Join(known, ", ")}
	if n := nearest(name, known); n != "" {
		f.Expected = n
	}
	if len(known) == 0 {
		f.Expected = "no fields"
	}
	return f
}

// fieldNames returns the sorted names in the JSON tags of the exported fields of a struct
// type, or of the struct type that a pointer type refers to. It does not list the fields
// of embedded structs.
func fieldNames(t reflect.Type) []string {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var names []string
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.IsExported() && name != "-" && name != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
