// Package rangelease gives contiguous ranges of shard keys to targets by leases,
// so that no two targets hold a key at the same time.
//
// One instance, the granter, decides at a time. What has to outlast it is one
// Record in the store. A granter changes the record with conditional updates
// only, and stores a change before it acts on it. Targets refuse grants with a
// lower fencing token than they have seen, and forget a grant when its hold time
// is over. From these three facts follows what a granter may do:
//
//   - It may grant a span to the holder in the record at once, under its own term:
//     the holder is the same, and grants of earlier terms are refused from then on.
//   - It may grant a span to another holder only after the one before has confirmed
//     the release, is known to have ended, or every grant that anybody may have
//     sent to it has run out.
//   - An earlier granter that is cut off from the store renews unchanged holders
//     for Options.TermConfirmationTimeout at most. A successor adds this time where it cannot reach a
//     holder itself.
//
// A Granter is a deterministic step machine: it has no clock, no goroutines and
// no I/O, and is used by one goroutine. It returns actions and takes their results.
package rangelease

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/boragegate/boragegate/routing"
)

// termShift is the position of the term in a fencing token. Below it, a granter
// counts its own orders: 16 million a term.
const termShift = 24

// maxTerm keeps fencing tokens exact in JSON numbers.
const maxTerm = 1<<(53-termShift) - 1

// Entry is one span with its holder.
type Entry struct {
	routing.Span
	Holder routing.Lifetime `json:"holder"`
	// Previous may still hold the span: it has not been seen to release it. It is
	// nil if only the holder can hold it.
	Previous *routing.Lifetime `json:"previous,omitempty"`
	// Reason says why the holder got the span, and Term in which term: first, load,
	// draining, gone, ended or unreachable, as in the log of moves.
	Reason string `json:"reason,omitempty"`
	Term   uint64 `json:"term,omitempty"`
}

// EntryFor returns the entry with the key, or nil.
func (r *Record) EntryFor(service string, key int) *Entry {
	entries := r.Services[service]
	i, ok := slices.BinarySearchFunc(entries, key, func(e Entry, key int) int { return e.Compare(key) })
	if !ok {
		return nil
	}
	return &entries[i]
}

// Leader is the instance that grants.
type Leader struct {
	ID string `json:"id" msgpack:"i"`
	// Incarnation names one run of the instance's process.
	Incarnation int64 `json:"incarnation" msgpack:"n"`
	// Address is the host:port at which other instances reach it.
	Address string `json:"address" msgpack:"a"`
	// Strength compares instances as leaders; a higher one is preferred.
	Strength float64 `json:"strength,omitempty" msgpack:"s,omitempty"`
}

// Record is what the store keeps about ownership.
type Record struct {
	// Term rises with every change of the leader.
	Term   uint64 `json:"term"`
	Leader Leader `json:"leader"`
	// Candidates are the leader and the instances that may take over from it, in their
	// order, and Instances is the number of all, when the record was written.
	Candidates []Leader `json:"candidates,omitempty"`
	Instances  int      `json:"instances,omitempty"`
	// Services has the spans of each partitioned service, ordered, without gaps or overlaps.
	Services map[string][]Entry `json:"services"`
}

// Encode returns the record's form in the store: JSON, compressed. With 1,900 spans
// the JSON has 280 KB, which would be written several times a second.
func (r *Record) Encode() ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("ownership record: %w", err)
	}
	if err := errors.Join(json.NewEncoder(w).Encode(r), w.Close()); err != nil {
		return nil, fmt.Errorf("ownership record: %w", err)
	}
	return b.Bytes(), nil
}

// maxRecordBytes bounds a record that is decompressed: 64 times the largest value.
const maxRecordBytes = 64 << 20

// DecodeRecord reads a record, compressed or not, and checks it.
func DecodeRecord(b []byte) (*Record, error) {
	if bytes.HasPrefix(b, []byte{0x1f, 0x8b}) {
		z, err := gzip.NewReader(bytes.NewReader(b))
		if err != nil {
			return nil, fmt.Errorf("ownership record: %w", err)
		}
		if b, err = io.ReadAll(io.LimitReader(z, maxRecordBytes)); err != nil {
			return nil, fmt.Errorf("ownership record: %w", err)
		}
	}
	r := &Record{}
	if err := json.Unmarshal(b, r); err != nil {
		return nil, fmt.Errorf("ownership record: %w", err)
	}
	if r.Term == 0 || r.Term > maxTerm {
		return nil, fmt.Errorf("ownership record: term %d", r.Term)
	}
	for name, entries := range r.Services {
		err := routing.CheckCoverage(func(yield func(routing.Span) bool) {
			for _, e := range entries {
				if !yield(e.Span) {
					return
				}
			}
		})
		if err != nil {
			return nil, fmt.Errorf("ownership record: service %q: %w", name, err)
		}
	}
	return r, nil
}
