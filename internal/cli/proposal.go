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

// proposal is a change that an operator wants to make.
type proposal struct {
	// current is the table in the store; nil if there is none.
	current *table.Table
	// base is the version that the change is based on.
	base uint64
	// proposed is the operator's table.
	proposed *table.Table
}

func (p *proposal) changes() table.Changes { return table.Diff(p.current, p.proposed) }

func (p *proposal) currentVersion() uint64 {
	if p.current == nil {
		return 0
	}
	return p.current.Version
}

// currentTable reads the table in the store; it returns nil if there is none.
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
// against it. The base is the given version, else the one in the file, else the
// current one.
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

// tableFromCSV puts rows into the current table.
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

// readFile reads a file, or standard input if its name is "-".
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
	// One byte more than the limit, so that the check of the size reports it.
	data, err := io.ReadAll(io.LimitReader(in, jsonc.MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", file, err)
	}
	return data, nil
}
