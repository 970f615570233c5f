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

// publishTimeout bounds the wait for a majority to have a new version in force.
const publishTimeout = 5 * time.Second

// ErrNotInContact means that the instance does not reach a majority of its cell
// and therefore accepts no change.
var ErrNotInContact = fmt.Errorf("this instance does not reach a majority of its cell: %w", store.ErrUnavailable)

// announcer implements tablestore.Announcer: a change is accepted only by an
// instance in contact, and spread before the operator is told.
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
	if err := a.instance.follower.Publish(ctx, r.Value, majority); err != nil {
		a.instance.logger.Warn().Str("event", "table.publish_incomplete").Uint64("table_version", r.Version).Err(err).Send()
	}
}

func (announcer) OnAbandoned(uint64) {}

// Forget implements operator.Daemon: it removes instances that are lost for good
// from the cell record, and makes this instance the planner in a new term.
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
		return eris.New("the instance that answers must stay a member")
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
