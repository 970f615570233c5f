package edge

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/boragegate/boragegate/internal/deployment"
	"github.com/boragegate/boragegate/ownership/rangelease"
	"github.com/boragegate/boragegate/routing"
)

// ReadOwnership reads the ownership record from the platform's store, for operators. It is
// read-only and contacts no instance. It returns an error if the store cannot be read or
// has no valid record.
func ReadOwnership(ctx context.Context, p deployment.Platform) (*rangelease.Record, error) {
	s, err := p.OpenStore()
	if err != nil {
		return nil, err
	}
	o, err := s.Get(ctx, ownershipRecordKind, ownershipRecordName)
	if err != nil {
		return nil, fmt.Errorf("read ownership record: %w", err)
	}
	return rangelease.DecodeRecord(o.Value)
}

// WriteStatus prints the leader and, for each service, the number of spans, of holders,
// and of keys that their previous holder has not released yet.
func WriteStatus(w io.Writer, r *rangelease.Record) error {
	if _, err := fmt.Fprintf(w, "leader=%s address=%s term=%d\n", r.Leader.ID, r.Leader.Address, r.Term); err != nil {
		return err
	}
	names := make([]string, 0, len(r.Services))
	for name := range r.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		holders, keysMoving := map[routing.Lifetime]bool{}, 0
		for _, e := range r.Services[name] {
			holders[e.Holder] = true
			if e.Previous != nil {
				keysMoving += e.Len()
			}
		}
		if _, err := fmt.Fprintf(w, "service=%s spans=%d holders=%d keys_moving=%d\n", name, len(r.Services[name]), len(holders), keysMoving); err != nil {
			return err
		}
	}
	return nil
}

// WriteOwner prints the holder of a key, the reason and term of its assignment, and the
// previous holder if that one may still hold it. It returns an error if the record has no
// entry for the key.
func WriteOwner(w io.Writer, r *rangelease.Record, service string, key int) error {
	e := r.EntryFor(service, key)
	if e == nil {
		return fmt.Errorf("key %d of service %q has no entry in the record of term %d", key, service, r.Term)
	}
	previous := "none"
	if e.Previous != nil {
		previous = e.Previous.ID
	}
	_, err := fmt.Fprintf(w, "service=%s key=%d from_key=%d to_key=%d holder=%s incarnation=%d reason=%s term=%d still_held_by=%s\n",
		service, key, e.From, e.To, e.Holder.ID, e.Holder.Incarnation, e.Reason, e.Term, previous)
	return err
}
