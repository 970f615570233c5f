package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/boragegate/boragegate/table"
)

// edit is the change that the arguments of the edit command describe.
type edit struct {
	// id is "service/target" for a row, or the name of a service.
	id string
	// fields are the arguments FIELD=VALUE.
	fields      []string
	add, remove bool
}

func (a *app) editCommand() *cobra.Command {
	var f changeFlags
	var e edit
	cmd := &cobra.Command{
		Use:   "edit SERVICE/TARGET|SERVICE [FIELD=VALUE...]",
		Short: "Change one row or service of the table",
		Long: `Change fields of one row, named SERVICE/TARGET, or of one service in the current
table and make the result the new version. Values are JSON; text needs no quotes.
The fields are those of the table file, see docs/reference/table.md.`,
		Example: `  boragegate table edit route/r7 weight=0.5 --wait
  boragegate table edit route/r7 drain=true
  boragegate table edit route/r16 --add address=10.0.1.16:8080 zone=pest slots=6
  boragegate table edit route/r7 --remove
  boragegate table edit route prefer=stability`,
		ValidArgsFunction: a.completeEntry,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usagef("expected a row or service and its fields")
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			e.id, e.fields = args[0], args[1:]
			return a.edit(cmd.Context(), e, f)
		},
	}
	f.register(cmd)
	cmd.Flags().BoolVar(&e.add, "add", false, "add the row or service")
	cmd.Flags().BoolVar(&e.remove, "remove", false, "remove the row or service")
	cmd.MarkFlagsMutuallyExclusive("add", "remove")
	return cmd
}

func (a *app) edit(ctx context.Context, e edit, f changeFlags) error {
	values, err := e.parseValues()
	if err != nil {
		return err
	}
	if err := a.connect(); err != nil {
		return err
	}
	p := &proposal{}
	if p.current, err = a.currentTable(ctx); err != nil {
		return err
	}
	p.base = p.currentVersion()
	if p.proposed, err = e.apply(p.current, values); err != nil {
		return err
	}
	return a.apply(ctx, p, f, false)
}

// parseValues parses the arguments FIELD=VALUE. A value that is not valid JSON is taken
// as a string.
func (e edit) parseValues() (map[string]json.RawMessage, error) {
	if e.remove != (len(e.fields) == 0) {
		return nil, usagef("expected FIELD=VALUE, or --remove without fields")
	}
	values := map[string]json.RawMessage{}
	for _, f := range e.fields {
		name, value, ok := strings.Cut(f, "=")
		if !ok || name == "" {
			return nil, usagef("%q is not FIELD=VALUE", f)
		}
		raw := json.RawMessage(value)
		if !json.Valid(raw) {
			raw, _ = json.Marshal(value)
		}
		values[name] = raw
	}
	return values, nil
}

// rawTable is a table whose entries map field names to values, so that any field can
// be set; table.ParseWithOptions checks the result.
type rawTable struct {
	Version  uint64                       `json:"version,omitempty"`
	Services []map[string]json.RawMessage `json:"services"`
	Rows     []map[string]json.RawMessage `json:"rows"`
}

// apply returns the current table with the change applied, after validation.
func (e edit) apply(current *table.Table, values map[string]json.RawMessage) (*table.Table, error) {
	if current == nil {
		return nil, usagef("there is no table yet; use \"table apply\" to make one")
	}
	b, err := json.Marshal(current)
	if err != nil {
		return nil, fmt.Errorf("edit: encode current table: %w", err)
	}
	var d rawTable
	if err := json.Unmarshal(b, &d); err != nil {
		return nil, fmt.Errorf("edit: decode current table: %w", err)
	}
	service, target, isRow := strings.Cut(e.id, "/")
	if isRow {
		d.Rows, err = e.changeEntry(d.Rows, values, map[string]string{"service": service, "target": target})
	} else {
		d.Services, err = e.changeEntry(d.Services, values, map[string]string{"name": service})
	}
	if err != nil {
		return nil, err
	}
	if b, err = json.Marshal(d); err != nil {
		return nil, fmt.Errorf("edit: encode changed table: %w", err)
	}
	return table.ParseWithOptions("", b, table.Options{Previous: current})
}

// changeEntry adds, removes or changes the entry whose fields have the values of id.
func (e edit) changeEntry(list []map[string]json.RawMessage, values map[string]json.RawMessage, id map[string]string) ([]map[string]json.RawMessage, error) {
	index := -1
	for i, entry := range list {
		if hasFields(entry, id) {
			index = i
		}
	}
	switch {
	case e.add && index >= 0:
		return nil, usagef("the table already has %s", e.id)
	case !e.add && index < 0:
		return nil, usagef("the table has no %s; use --add to add it", e.id)
	case e.remove:
		return append(list[:index], list[index+1:]...), nil
	case e.add:
		entry := map[string]json.RawMessage{}
		for name, v := range id {
			entry[name], _ = json.Marshal(v)
		}
		list, index = append(list, entry), len(list)
	}
	for name, v := range values {
		list[index][name] = v
	}
	return list, nil
}

func hasFields(entry map[string]json.RawMessage, id map[string]string) bool {
	for name, want := range id {
		var got string
		if json.Unmarshal(entry[name], &got) != nil || got != want {
			return false
		}
	}
	return true
}
