package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/boragegate/boragegate/internal/jsonc"
	"github.com/boragegate/boragegate/internal/operator/api"
	"github.com/boragegate/boragegate/table"
)

// proposal is a change that has not been applied yet.
type proposal struct {
	// current is the table in the store; nil if there is none.
	current *table.Table
	// base is the version that the change is based on.
	base uint64
	// proposed is the table after the change.
	proposed *table.Table
}

func (p *proposal) changes() table.Changes { return table.Diff(p.current, p.proposed) }

func (p *proposal) currentVersion() uint64 {
	if p.current == nil {
		return 0
	}
	return p.current.Version
}

// currentTable reads the current table; it returns nil if there is none.
func (a *app) currentTable(ctx context.Context) (*table.Table, error) {
	ctx, cancel := a.withCallTimeout(ctx)
	defer cancel()
	t, err := a.client.Table(ctx, 0)
	var problem *api.Problem
	if errors.As(err, &problem) && problem.Code == api.CodeNotFound {
		return nil, nil //nolint:nilnil // no table is not an error
	}
	if err != nil {
		return nil, err
	}
	return decodeTable(t.Table)
}

// proposalFromFile reads a file and the current table, and checks the file
// against the table. The base is the given version if it is not 0, else the
// version in the file, else the current version.
func (a *app) proposalFromFile(ctx context.Context, file string, base uint64) (*proposal, error) {
	data, err := a.readFile(file)
	if err != nil {
		return nil, err
	}
	if err := a.connect(); err != nil {
		return nil, err
	}
	p := &proposal{}
	if p.current, err = a.currentTable(ctx); err != nil {
		return nil, err
	}
	if strings.HasSuffix(file, ".csv") {
		p.proposed, err = tableFromCSV(file, data, p.current)
	} else {
		p.proposed, err = table.ParseWithOptions(file, data, table.Options{Previous: p.current})
	}
	if err != nil {
		return nil, err
	}
	switch {
	case base > 0:
		p.base = base
	case p.proposed.Version > 0:
		p.base = p.proposed.Version
	default:
		p.base = p.currentVersion()
	}
	return p, nil
}

// tableFromCSV returns the current table with its rows replaced by those of a CSV
// file.
func tableFromCSV(file string, data []byte, current *table.Table) (*table.Table, error) {
	if current == nil {
		return nil, errors.New("rows in CSV need services, but there is no table yet: apply a table in JSON first")
	}
	rows, err := table.ParseCSV(file, data)
	if err != nil {
		return nil, err
	}
	t := *current
	t.Rows = rows
	list := table.Check(&t, table.Options{Previous: current})
	for i := range list {
		list[i].File = file
	}
	return &t, list.Err()
}

func (a *app) checkOffline(file string) error {
	if err := a.loadSettings(); err != nil {
		return err
	}
	data, err := a.readFile(file)
	if err != nil {
		return err
	}
	if strings.HasSuffix(file, ".csv") {
		_, err = table.ParseCSV(file, data)
		return err
	}
	_, err = table.Parse(file, data)
	return err
}

// readFile reads a file, or standard input if its name is "-". It reads no more
// than one byte above the size limit of a table.
func (a *app) readFile(file string) ([]byte, error) {
	in := a.env.In
	if file != "-" {
		f, err := os.Open(file) //nolint:gosec // the operator names the file
		if err != nil {
			return nil, fmt.Errorf("read table: %w", err)
		}
		defer f.Close() //nolint:errcheck // only read
		in = f
	}
	// The extra byte lets the size check detect a file above the limit.
	data, err := io.ReadAll(io.LimitReader(in, jsonc.MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", file, err)
	}
	return data, nil
}
