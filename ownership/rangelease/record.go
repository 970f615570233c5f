// Package rangelease grants leases on contiguous ranges of shard keys to targets, so that
// no two targets hold a key at the same time.
//
// One instance at a time, the grantor, assigns the ranges. Everything that must survive it
// is in one Record in the store. A grantor changes the record with conditional updates
// only, and stores a change before it acts on it. A target refuses grants with a lower
// fencing token than it has seen, and drops a grant when its lease duration is over. These
// rules determine what a grantor may do:
//
//   - It may immediately grant a span to the holder in the record, under its own term:
//     the holder is the same, and it refuses grants of earlier terms from then on.
//   - It may grant a span to another holder only after the previous holder has
//     confirmed the release or is known to have ended, or after every grant that anybody
//     may have sent to it has expired.
//   - An earlier grantor that is cut off from the store renews the leases of unchanged
//     holders for at most Options.TermConfirmationTimeout. Unless its process is known to
//     have ended, its successor waits for this time and for the expiry of the last renewal
//     before it moves the spans of a holder that it cannot reach.
//
// What a grantor knows about targets:
//
//   - A target is listed while it is in the list of targets that the grantor is given.
//   - A lifetime has ended if a later lifetime is listed with its ID and its address, or if
//     another target answers at its address: its process no longer runs, so it holds no keys.
//     That another lifetime is listed at its address, or with its ID at another address, is no
//     proof, since the entry may have another writer: the target gets no more grants, and its
//     keys are moved, but it is asked to release them.
//   - A target is suspected after two consecutive calls without an answer. Unless the
//     grantor is isolated, it gets no grants until it answers a call, for example a probe.
//   - A suspected target is unreachable if it has also not answered for
//     Options.UnreachableAfter. Its keys are moved.
//   - The grantor is isolated if most targets are unreachable. Then it plans no moves.
//
// A Grantor is a deterministic state machine without a clock, goroutines or I/O, and is
// used by one goroutine. It returns actions, which the calling code (its user) carries out,
// and takes their results.
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

// termShift is the position of the term in a fencing token. The lower bits number the tokens of
// one term. The upper bits of the term are the era of the store, see FirstTerm.
const termShift = 24

const (
	// maxTokensPerTerm is the number of fencing tokens that fit below the term. A token beyond them
	// would be one of the next term, so the grantor begins that term before; see
	// Options.TokensPerTerm.
	maxTokensPerTerm = 1 << termShift
	// reservedTokens are kept for the releases of moves, at most one for each key.
	reservedTokens = routing.KeyCount
)

// maxTerm limits fencing tokens to integers that JSON numbers represent exactly.
const maxTerm = 1<<(53-termShift) - 1

// Entry assigns a span to a holder.
type Entry struct {
	routing.Span
	Holder routing.Lifetime `json:"holder"`
	// Previous is a lifetime that may still hold the span, because it has not been seen to
	// release it. It is nil if only Holder can hold the span.
	Previous *routing.Lifetime `json:"previous,omitempty"`
	// Reason is why the holder got the span, and Term the term in which it did. The reasons,
	// as in the log of moves, are "first" (the span had no holder), "load" (the load was
	// balanced), and what was known about the previous holder: "draining", "gone" (no longer
	// listed), "ended" (a later lifetime is listed with its ID or address) or "unreachable".
	Reason string `json:"reason,omitempty"`
	Term   uint64 `json:"term,omitempty"`
}

// EntryFor returns the entry that contains the key, or nil if there is none.
func (r *Record) EntryFor(service string, key int) *Entry {
	entries := r.Services[service]
	i, ok := slices.BinarySearchFunc(entries, key, func(e Entry, key int) int { return e.Compare(key) })
	if !ok {
		return nil
	}
	return &entries[i]
}

// InstanceInfo describes an instance to other instances, for example the leader, which
// grants the leases, or a candidate for that role.
type InstanceInfo struct {
	ID string `json:"id" msgpack:"i"`
	// Incarnation identifies one run of the instance's process.
	Incarnation int64 `json:"incarnation" msgpack:"n"`
	// Address is the host:port at which other instances reach it.
	Address string `json:"address" msgpack:"a"`
	// Strength ranks instances as leaders; a higher value is preferred. 1 stands
	// for an instance with one core and a network link that is fast enough for it.
	Strength float64 `json:"strength,omitempty" msgpack:"s,omitempty"`
}

// Record is the ownership record in the store.
type Record struct {
	// Term is greater for every new leader.
	Term   uint64       `json:"term"`
	Leader InstanceInfo `json:"leader"`
	// Candidates lists the leader and the instances that may take over from it, in the
	// order of their rank. InstanceCount is the number of all instances when the record was
	// written.
	Candidates    []InstanceInfo `json:"candidates,omitempty"`
	InstanceCount int            `json:"instances,omitempty"`
	// Profiles has what instances have measured of the requests for each service, for instances that start.
	Profiles map[string]routing.ServiceProfile `json:"profiles,omitempty"`
	// HoldersUnknown is set while any target may hold keys of a service that Services lacks: a
	// record that had it may have been lost (see MarkHoldersUnknown).
	HoldersUnknown bool `json:"holders_unknown,omitempty"`
	// Services holds the spans of each partitioned service in order, without gaps or
	// overlaps.
	Services map[string][]Entry `json:"services"`
}

// Encode returns the form of the record in the store, which is compressed JSON. With
// 1,900 spans, the uncompressed JSON has 280 KB, and it is written several times per
// second.
func (r *Record) Encode() ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("encode ownership record: %w", err)
	}
	if err := errors.Join(json.NewEncoder(w).Encode(r), w.Close()); err != nil {
		return nil, fmt.Errorf("encode ownership record: %w", err)
	}
	return b.Bytes(), nil
}

// maxRecordBytes bounds the size of a decompressed record, at 64 times the largest value that
// the store accepts.
const maxRecordBytes = 64 << 20

// DecodeRecord decodes a record, compressed or not. It returns an error if the encoding is
// invalid, the term is out of range, or the spans of a service have gaps or overlaps.
func DecodeRecord(b []byte) (*Record, error) {
	if bytes.HasPrefix(b, []byte{0x1f, 0x8b}) {
		decompressor, err := gzip.NewReader(bytes.NewReader(b))
		if err != nil {
			return nil, fmt.Errorf("decompress ownership record: %w", err)
		}
		if b, err = io.ReadAll(io.LimitReader(decompressor, maxRecordBytes)); err != nil {
			return nil, fmt.Errorf("decompress ownership record: %w", err)
		}
	}
	r := &Record{}
	if err := json.Unmarshal(b, r); err != nil {
		return nil, fmt.Errorf("decode ownership record: %w", err)
	}
	if r.Term == 0 || r.Term > maxTerm {
		return nil, fmt.Errorf("decode ownership record: term %d is out of range, expected 1 to 2^29-1", r.Term)
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
			return nil, fmt.Errorf("decode ownership record: spans of service %q: %w", name, err)
		}
	}
	return r, nil
}
