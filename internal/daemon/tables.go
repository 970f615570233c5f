package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/boragegate/boragegate/ownership"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table/tablestore"
)

// publishTimeout is the time limit for a new table version to become active on a majority of
// the members of the cell.
const publishTimeout = 5 * time.Second

// ErrNotInContact is returned for a table change at an instance that does not reach a
// majority of its cell and therefore accepts no changes. It wraps store.ErrUnavailable.
var ErrNotInContact = fmt.Errorf("this instance does not reach a majority of its cell: %w", store.ErrUnavailable)

// announcer implements tablestore.Announcer. A change is accepted only by an instance that
// is in contact with a majority of its cell, and is published to the cell before the
// operator gets the response.
type announcer struct{ instance *Instance }

func (a announcer) Announce(context.Context, uint64) error {
	if !a.instance.runner.InContact() {
		return ErrNotInContact
	}
	return nil
}

func (a announcer) OnAccepted(r *tablestore.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	majority := 1
	if c := a.instance.runner.View().Cell; c != nil {
		majority = c.Majority()
	}
	if err := a.instance.tableSyncer.Publish(ctx, r.Value, majority); err != nil {
		a.instance.logger.Warn().Str("event", "table.publish_incomplete").Uint64("table_version", r.Version).Err(err).Send()
	}
}

func (announcer) OnAbandoned(uint64) {}

// Forget implements operator.Daemon. It removes the given instances, which must be lost
// permanently, from the cell record, and makes this instance the planner in a new term.
func (i *Instance) Forget(ctx context.Context, instances []string) error {
	kind, name := "cell", i.opts.Cell
	obj, err := i.store.Get(ctx, kind, name)
	if err != nil {
		return err
	}
	var cell ownership.Cell
	if err := json.Unmarshal(obj.Value, &cell); err != nil {
		return eris.Wrap(err, "decode cell record")
	}
	if _, ok := cell.Member(i.opts.ID); !ok || slices.Contains(instances, i.opts.ID) {
		return eris.New("forget instances: the instance that handles the request must be a member of the cell and cannot remove itself")
	}
	cell.Members = slices.DeleteFunc(cell.Members, func(m ownership.Member) bool { return slices.Contains(instances, m.ID) })
	cell.Planner, cell.PlannerTerm = i.opts.ID, cell.PlannerTerm+1
	cell.Version = cell.PlannerTerm << 32
	if obj.Value, err = json.Marshal(cell); err != nil {
		return eris.Wrap(err, "encode cell record")
	}
	obj.Writer = uuid.NewString()
	if _, err = i.store.Update(ctx, obj); err != nil {
		return err
	}
	i.runner.Post(ownership.MessageReceived{From: i.opts.ID, Message: ownership.CellUpdate{Cell: &cell}})
	return nil
}

var _ tablestore.Announcer = announcer{}
