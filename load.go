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
// configuration was decoded. The context bounds the call only.
type Provisioner interface {
	Provision(ctx context.Context) error
}

// Validator is implemented by modules that check their configuration after
// Provision. Validate returns a finding.List to report several problems.
type Validator interface {
	Validate() error
}

// Cleaner is implemented by modules that release resources. Cleanup is also
// called when Provision or Validate failed.
type Cleaner interface {
	Cleanup() error
}

// Load creates the module with that ID from its JSON configuration: New,
// decode, Provision, Validate. Empty raw leaves the defaults. Problems of the
// configuration are returned as a finding.List whose paths start with the field's name.
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

// LoadAs is Load for a module that must implement T, for example store.Store.
func LoadAs[T any](ctx context.Context, id string, raw json.RawMessage) (T, error) {
	var none T
	value, err := Load(ctx, id, raw)
	if err != nil {
		return none, err
	}
	typed, ok := value.(T)
	if !ok {
		want := reflect.TypeFor[T]()
		return none, errors.Join(fmt.Errorf("module %s is not a %s", id, want), Unload(value))
	}
	return typed, nil
}

// Unload cleans up a module that Load returned.
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

// asFindings keeps an error that carries findings and turns any other into one
// finding, joined with the cause for errors.Is.
func asFindings(err error) error {
	var list finding.List
	if errors.As(err, &list) {
		return err
	}
	return &causeError{finding.List{{Message: err.Error()}}, err}
}

// causeError is a list of findings that keeps the error behind it.
type causeError struct {
	list  finding.List
	cause error
}

func (e *causeError) Error() string   { return e.list.Error() }
func (e *causeError) Unwrap() []error { return []error{e.list, e.cause} }

// decode fills value from a JSON object field by field, so that all faulty
// fields are reported and not only the first.
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

func decodeField(name string, raw json.RawMessage, value any) (finding.Finding, bool) {
	one, err := json.Marshal(map[string]json.RawMessage{name: raw})
	if err != nil {
		return finding.Finding{Path: name, Message: err.Error()}, false
	}
	d := json.NewDecoder(bytes.NewReader(one))
	d.DisallowUnknownFields()
	err = d.Decode(value)
	if err == nil {
		return finding.Finding{}, true
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		path := wrongType.Field
		if path == "" {
			path = name
		}
		return finding.Finding{Path: path, Message: "found " + wrongType.Value, Expected: wrongType.Type.String()}, false
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

// fieldNames returns the JSON names of the fields of a struct type in order.
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
