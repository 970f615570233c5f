package edge

import (
	"bytes"
	"compress/flate"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"maps"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/internal/framing"
	"github.com/boragegate/boragegate/ownership/rangelease"
	"github.com/boragegate/boragegate/routing"
	"github.com/boragegate/boragegate/store"
)

// Types of frames between instances. Numbers are part of the protocol.
const (
	// kindFollowRequest is the first frame of a follower.
	kindFollowRequest byte = 1
	// kindStateUpdate goes from the leader to its followers.
	kindStateUpdate byte = 2
	// kindLoadReport goes from a follower to the leader.
	kindLoadReport byte = 3
	// kindNotLeader is the answer to a hello by an instance that does not lead.
	kindNotLeader byte = 4
	// kindLeaderInfo goes from a leader to the one before it, and to followers that have
	// lost their link.
	kindLeaderInfo byte = 5
	// kindLeaderQuery is the question who leads. The answer is kindLeaderInfo or kindNotLeader.
	kindLeaderQuery byte = 6
	// kindCompressedStateUpdate is kindStateUpdate, compressed.
	kindCompressedStateUpdate byte = 7
)

// compressionMinBytes is the size from which news are compressed: those that a follower gets
// first have some 200 KB with 1,080 targets.
const compressionMinBytes = 16 << 10

// followRequest names a follower.
type followRequest struct {
	Instance string `msgpack:"i"`
	// Address is the host:port at which the follower reads frames.
	Address string `msgpack:"a,omitempty"`
	// Strength is that of rangelease.Leader.
	Strength float64 `msgpack:"s,omitempty"`
	// Incarnation names the run of its process.
	Incarnation int64 `msgpack:"n,omitempty"`
	// ConfigVersion is the store's version of the configuration that it has.
	ConfigVersion store.Version `msgpack:"c,omitempty"`
}

// notLeader is the answer of an instance that does not lead, or does not know who does.
type notLeader struct {
	// Incarnation names the run of its process.
	Incarnation int64 `msgpack:"n,omitempty"`
}

// leaderQuery is the question who leads.
type leaderQuery struct {
	// Term is the newest that the instance knows.
	Term uint64 `msgpack:"t"`
}

// leaderInfo tells an instance who leads, which the store may not be able to tell it.
type leaderInfo struct {
	Term   uint64            `msgpack:"t"`
	Leader rangelease.Leader `msgpack:"l"`
	// Age is the time since the sender last heard the leader; 0 if it leads itself.
	Age time.Duration `msgpack:"a,omitempty"`
}

// stateUpdate is what the leader tells its followers. Parts that have not changed are
// left out; a news without parts is a heartbeat.
type stateUpdate struct {
	Term uint64 `msgpack:"t"`
	// StoreAge is the time since the store last answered the leader.
	StoreAge time.Duration `msgpack:"a"`
	// StoreUnreachable says that the store does not answer the leader.
	StoreUnreachable bool `msgpack:"l,omitempty"`
	// OutstandingLeases is what the leader leaves behind if it ends within outstandingHorizon.
	OutstandingLeases rangelease.OutstandingLeases `msgpack:"f"`
	// Instances is the number of instances that the leader knows, itself included.
	Instances int `msgpack:"m"`
	// Leader is told to a new follower.
	Leader *rangelease.Leader `msgpack:"e,omitempty"`
	// Candidates are the instances that may take over, in their order; nil if they have
	// not changed.
	Candidates []rangelease.Leader `msgpack:"k,omitempty"`
	Config     *configUpdate       `msgpack:"c,omitempty"`
	Targets    *targetUpdate       `msgpack:"g,omitempty"`
	// Leaving has the targets that have said that they leave, whatever the list says.
	Leaving []routing.Lifetime `msgpack:"v,omitempty"`
	// Owners has what changed of the owners, by service.
	Owners map[string]*ownersUpdate `msgpack:"o,omitempty"`
	// OfferedLoad has all targets with more requests than they can serve, each time that
	// loads were compared and there are any or were any before.
	OfferedLoad *offeredLoadUpdate `msgpack:"p,omitempty"`
	// Successor names the instance that takes over because the leader stops.
	Successor string `msgpack:"s,omitempty"`
}

// offeredLoadUpdate has all targets under pressure.
type offeredLoadUpdate struct {
	Targets []dispatch.OfferedLoad `msgpack:"t"`
}

// configUpdate has the operator's configuration as it lies in the store, compressed:
// with 1,300 routes it has some 300 KB, which 67 followers get at the same time.
type configUpdate struct {
	Version store.Version `msgpack:"v"`
	Name    string        `msgpack:"n"`
	Value   []byte        `msgpack:"b"`
}

func encodeConfig(o store.Object) (*configUpdate, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(o.Value); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	return &configUpdate{Version: o.Version, Name: o.Name, Value: b.Bytes()}, nil
}

// decode returns the object as it lies in the store.
func (n *configUpdate) decode(kind string) (store.Object, error) {
	r, err := gzip.NewReader(bytes.NewReader(n.Value))
	if err != nil {
		return store.Object{}, fmt.Errorf("decompress configuration: %w", err)
	}
	value, err := io.ReadAll(io.LimitReader(r, store.MaxValueBytes+1))
	if err != nil {
		return store.Object{}, fmt.Errorf("decompress configuration: %w", err)
	}
	return store.Object{Kind: kind, Name: n.Name, Version: n.Version, Value: value}, nil
}

// targetUpdate has changes of the list of targets, or the whole list.
type targetUpdate struct {
	// Version is the store's version of the list after the changes.
	Version store.Version             `msgpack:"v"`
	Full    bool                      `msgpack:"w,omitempty"`
	Put     map[string]routing.Target `msgpack:"p,omitempty"`
	Deleted []string                  `msgpack:"d,omitempty"`
}

// merge returns the changes followed by later ones. Either may be nil.
func (n *targetUpdate) merge(later *targetUpdate) *targetUpdate {
	if n == nil || later.Full {
		return later
	}
	out := &targetUpdate{Version: later.Version, Full: n.Full, Put: maps.Clone(n.Put)}
	for _, name := range n.Deleted {
		if _, ok := later.Put[name]; !ok {
			out.Deleted = append(out.Deleted, name)
		}
	}
	maps.Copy(out.Put, later.Put)
	for _, name := range later.Deleted {
		delete(out.Put, name)
		out.Deleted = append(out.Deleted, name)
	}
	return out
}

// loadReport is what a follower measured since its last report.
type loadReport struct {
	// Keys counts requests by service and key.
	Keys    map[string]map[int]int   `msgpack:"k,omitempty"`
	Samples []dispatch.ServiceSample `msgpack:"s,omitempty"`
	// Leaving has the targets that have lately said to the follower that they leave.
	Leaving []routing.Lifetime `msgpack:"l,omitempty"`
}

func encodeFrame(kind byte, v any) ([]byte, error) {
	body, err := msgpack.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return framing.Append(nil, framing.Frame{Kind: kind, Body: body})
}

// encodeStateUpdate encodes news for any number of followers.
func encodeStateUpdate(n *stateUpdate) ([]byte, error) {
	body, err := msgpack.Marshal(n)
	if err != nil {
		return nil, fmt.Errorf("encode news: %w", err)
	}
	if len(body) < compressionMinBytes {
		return framing.Append(nil, framing.Frame{Kind: kindStateUpdate, Body: body})
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress news: %w", err)
	}
	if _, err := w.Write(body); err != nil {
		return nil, fmt.Errorf("compress news: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress news: %w", err)
	}
	return framing.Append(nil, framing.Frame{Kind: kindCompressedStateUpdate, Body: b.Bytes()})
}

// maxStateUpdateBytes bounds news that are decompressed.
const maxStateUpdateBytes = 16 << 20

// compressedUpdate decodes compressed news.
type compressedUpdate struct{ update *stateUpdate }

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (p *compressedUpdate) UnmarshalBinary(b []byte) error {
	r := flate.NewReader(bytes.NewReader(b))
	return errors.Join(msgpack.NewDecoder(io.LimitReader(r, maxStateUpdateBytes)).Decode(p.update), r.Close())
}

// readFrame reads a frame and decodes it into the value for its type.
func readFrame(r io.Reader, into map[byte]any) (byte, error) {
	f, err := framing.Read(r, framing.MaxBytes)
	if err != nil {
		return 0, err
	}
	v, ok := into[f.Kind]
	if !ok {
		return f.Kind, fmt.Errorf("unexpected frame of type %d", f.Kind)
	}
	if v == nil {
		return f.Kind, nil
	}
	if p, ok := v.(*compressedUpdate); ok {
		return f.Kind, p.UnmarshalBinary(f.Body)
	}
	return f.Kind, msgpack.Unmarshal(f.Body, v)
}
