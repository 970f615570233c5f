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
	"github.com/boragegate/boragegate/evacuation"
	"github.com/boragegate/boragegate/internal/framing"
	"github.com/boragegate/boragegate/ownership/rangelease"
	"github.com/boragegate/boragegate/ratelimit"
	"github.com/boragegate/boragegate/routing"
	"github.com/boragegate/boragegate/store"
)

// Types of frames between instances. The numbers are part of the protocol.
const (
	// kindFollowRequest is the first frame from a follower.
	kindFollowRequest byte = 1
	// kindStateUpdate is a state update from the leader to its followers.
	kindStateUpdate byte = 2
	// kindLoadReport is a load report from a follower to the leader.
	kindLoadReport byte = 3
	// kindNotLeader answers a follow request or a leader query if the instance isn't the
	// leader and has no leader to name.
	kindNotLeader byte = 4
	// kindLeaderInfo names the leader. A new leader sends it to its predecessor, a leader to
	// followers that have lost their connection, and a replaced leader to its followers. It
	// also answers leader queries, and follow requests to an instance that isn't the leader.
	kindLeaderInfo byte = 5
	// kindLeaderQuery is a leader query. The answer is kindLeaderInfo or kindNotLeader.
	kindLeaderQuery byte = 6
	// kindCompressedStateUpdate is kindStateUpdate with a compressed body.
	kindCompressedStateUpdate byte = 7
)

// compressionMinBytes is the size from which a state update is compressed. The first one
// to a follower has about 200 KB with 1,080 targets.
const compressionMinBytes = 16 << 10

// followRequest introduces a follower to the leader.
type followRequest struct {
	Instance string `msgpack:"i"`
	// Address is the host:port at which the follower accepts connections from other
	// instances.
	Address string `msgpack:"a,omitempty"`
	// Strength is the capacity to lead, as in rangelease.InstanceInfo.
	Strength float64 `msgpack:"s,omitempty"`
	// Incarnation identifies the instance's process.
	Incarnation int64 `msgpack:"n,omitempty"`
	// ConfigVersion is the store version of the configuration that the follower has.
	ConfigVersion store.Version `msgpack:"c,omitempty"`
	// ConfigEra is the era of ConfigVersion.
	ConfigEra store.Era `msgpack:"e,omitempty"`
	// LastLeases is what the follower has last heard about the leases of a leader. Its term tells which.
	LastLeases *leaseReport `msgpack:"l,omitempty"`
}

// notLeader is the answer of an instance that isn't the leader and has no leader to name.
type notLeader struct {
	// Incarnation identifies the instance's process.
	Incarnation int64 `msgpack:"n,omitempty"`
}

// leaderQuery is a query for the leader.
type leaderQuery struct {
	// Term is the newest term that the querying instance knows.
	Term uint64 `msgpack:"t"`
}

// leaderInfo names the leader to an instance that may be unable to learn it from the store.
type leaderInfo struct {
	Term   uint64                  `msgpack:"t"`
	Leader rangelease.InstanceInfo `msgpack:"l"`
	// Age is the time since the sender last received a state update from the leader: 0 if
	// the sender is or was the leader, negative if it has received none.
	Age time.Duration `msgpack:"a,omitempty"`
}

// stateUpdate is what the leader sends to its followers. Parts that haven't changed are
// left out; a state update without parts is a heartbeat.
type stateUpdate struct {
	Term uint64 `msgpack:"t"`
	// StoreAge is the age of the store's last confirmation of the leader's term.
	StoreAge time.Duration `msgpack:"a"`
	// ConfigAge is the time since the leader last knew its configuration, which all its
	// followers with its state have, to be the newest. Leaders of earlier versions leave it out.
	ConfigAge time.Duration `msgpack:"d,omitempty"`
	// SentAt is the time of the leader at which the update was made, as a time since its boot.
	// Followers compare it with that of the first update on the same connection.
	SentAt time.Duration `msgpack:"z,omitempty"`
	// Era is the latest era of the store that the leader knows; nil from leaders of earlier versions.
	Era *store.Era `msgpack:"y,omitempty"`
	// StoreUnreachable is set if the leader cannot reach the store.
	StoreUnreachable bool `msgpack:"l,omitempty"`
	// KeepMissing is the time for which the leader still keeps targets that the store lacks
	// after an outage. An instance that takes over keeps them for the rest of it.
	KeepMissing time.Duration `msgpack:"h,omitempty"`
	// OutstandingLeases are the leader's leases that remain valid if it exits within
	// outstandingLeasesHorizon.
	OutstandingLeases rangelease.OutstandingLeases `msgpack:"f"`
	// Instances is the number of instances that the leader knows, including itself.
	Instances int `msgpack:"m"`
	// Leader is sent to new followers only.
	Leader *rangelease.InstanceInfo `msgpack:"e,omitempty"`
	// Candidates are the instances that may take over, in order of precedence; nil if they
	// haven't changed.
	Candidates []rangelease.InstanceInfo `msgpack:"k,omitempty"`
	Config     *configUpdate             `msgpack:"c,omitempty"`
	Targets    *targetUpdate             `msgpack:"g,omitempty"`
	// Leaving has the targets that have announced that they are leaving, even if the list
	// of targets doesn't show it.
	Leaving []routing.Lifetime `msgpack:"v,omitempty"`
	// Owners has the changed holders of keys, by service.
	Owners map[string]*ownersUpdate `msgpack:"o,omitempty"`
	// OfferedLoad has all overloaded targets. It is sent after each comparison of loads
	// while any target is overloaded, once more when none is, and to new followers.
	OfferedLoad *offeredLoadUpdate `msgpack:"p,omitempty"`
	// RateLimits has what the leader knows about the rate limits of some targets; new followers get all that are in
	// force.
	RateLimits []ratelimit.Notice `msgpack:"r,omitempty"`
	// WarmUps is sent to new followers only.
	WarmUps *warmUpUpdate `msgpack:"w,omitempty"`
	// Permits has the permits that the leader grants to this follower.
	Permits []ratelimit.Grant `msgpack:"u,omitempty"`
	// GrantsPermits is set by leaders that grant permits for targets with a rate limit. Instances of earlier versions
	// do not.
	GrantsPermits bool `msgpack:"b,omitempty"`
	// Evacuations has the states of all zones after a change. New followers get it too, unless the
	// leader has not read the evacuations yet.
	Evacuations *evacuationUpdate `msgpack:"x,omitempty"`
	// Resigned is set in the last update of a leader whose process ends. It grants no more leases.
	Resigned bool `msgpack:"q,omitempty"`
	// Successor is the ID of the instance that is to take over from this leader. The leader
	// leads until the successor has done so.
	Successor string `msgpack:"s,omitempty"`
}

// evacuationUpdate has the states of all zones that are evacuated or return.
type evacuationUpdate struct {
	// Version is the store version of the evacuations.
	Version store.Version     `msgpack:"v"`
	Zones   []evacuation.Zone `msgpack:"z,omitempty"`
}

// offeredLoadUpdate has the offered loads of all overloaded targets.
type offeredLoadUpdate struct {
	Targets []dispatch.OfferedLoad `msgpack:"t"`
}

// warmUpUpdate has all targets that are limited for their warm-up.
type warmUpUpdate struct {
	Targets []dispatch.WarmUp `msgpack:"t"`
}

// configUpdate has the operator's configuration as stored, compressed because one with
// 1,300 routes has about 300 KB and 67 followers get it at the same time.
type configUpdate struct {
	Version store.Version `msgpack:"v"`
	Era     store.Era     `msgpack:"e,omitempty"` // of Version
	Name    string        `msgpack:"n"`
	Value   []byte        `msgpack:"b"`
}

func encodeConfig(o store.Object, era store.Era) (*configUpdate, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(o.Value); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	return &configUpdate{Version: o.Version, Era: era, Name: o.Name, Value: b.Bytes()}, nil
}

// decode returns the object as it is in the store.
func (u *configUpdate) decode(kind string) (store.Object, error) {
	r, err := gzip.NewReader(bytes.NewReader(u.Value))
	if err != nil {
		return store.Object{}, fmt.Errorf("decompress configuration: %w", err)
	}
	value, err := io.ReadAll(io.LimitReader(r, store.MaxValueBytes+1))
	if err != nil {
		return store.Object{}, fmt.Errorf("decompress configuration: %w", err)
	}
	return store.Object{Kind: kind, Name: u.Name, Version: u.Version, Value: value}, nil
}

// targetUpdate has changes of the list of targets, or the full list if Full is set. Targets
// are identified by the names of their entries in the store.
type targetUpdate struct {
	// Version is the store version of the list after the changes.
	Version store.Version             `msgpack:"v"`
	Era     store.Era                 `msgpack:"e,omitempty"` // of Version
	Full    bool                      `msgpack:"w,omitempty"`
	Put     map[string]routing.Target `msgpack:"p,omitempty"`
	Deleted []string                  `msgpack:"d,omitempty"`
	// Missing has entries that the store lacks but that the leader keeps after an outage of
	// the store, with the time for which it still does. They may be in Put too.
	Missing map[string]time.Duration `msgpack:"m,omitempty"`
}

// isEmpty reports whether the update changes no entry.
func (u *targetUpdate) isEmpty() bool {
	return !u.Full && len(u.Put)+len(u.Deleted)+len(u.Missing) == 0
}

// merge returns the changes of u followed by later ones. u may be nil.
func (u *targetUpdate) merge(later *targetUpdate) *targetUpdate {
	if u == nil || later.Full {
		return later
	}
	merged := &targetUpdate{Version: later.Version, Era: later.Era, Full: u.Full, Put: map[string]routing.Target{}, Missing: map[string]time.Duration{}}
	maps.Copy(merged.Put, u.Put)
	maps.Copy(merged.Missing, u.Missing)
	for _, name := range u.Deleted {
		if _, ok := later.Put[name]; !ok {
			merged.Deleted = append(merged.Deleted, name)
		}
	}
	for name, t := range later.Put {
		merged.Put[name] = t
		delete(merged.Missing, name)
	}
	for _, name := range later.Deleted {
		delete(merged.Put, name)
		delete(merged.Missing, name)
		merged.Deleted = append(merged.Deleted, name)
	}
	maps.Copy(merged.Missing, later.Missing)
	return merged
}

// loadReport is what a follower has measured since its last report.
type loadReport struct {
	// Keys counts requests by service and key.
	Keys    map[string]map[int]int   `msgpack:"k,omitempty"`
	Samples []dispatch.ServiceSample `msgpack:"s,omitempty"`
	// Leaving has the targets that have recently announced to the follower that they are
	// leaving.
	Leaving []routing.Lifetime `msgpack:"l,omitempty"`
	// RateLimits has what responses to the follower have recently said about rate limits, and PermitRequests the
	// permits that it needs. Both are sent at once, in a report without the other fields.
	RateLimits     []ratelimit.Notice  `msgpack:"r,omitempty"`
	PermitRequests []ratelimit.Request `msgpack:"q,omitempty"`
}

func encodeFrame(kind byte, v any) ([]byte, error) {
	body, err := msgpack.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return framing.Append(nil, framing.Frame{Type: kind, Body: body})
}

// encodeStateUpdate encodes a state update into a frame that can be sent to any number of
// followers.
func encodeStateUpdate(update *stateUpdate) ([]byte, error) {
	body, err := msgpack.Marshal(update)
	if err != nil {
		return nil, fmt.Errorf("encode state update: %w", err)
	}
	if len(body) < compressionMinBytes {
		return framing.Append(nil, framing.Frame{Type: kindStateUpdate, Body: body})
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress state update: %w", err)
	}
	if _, err := w.Write(body); err != nil {
		return nil, fmt.Errorf("compress state update: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress state update: %w", err)
	}
	return framing.Append(nil, framing.Frame{Type: kindCompressedStateUpdate, Body: b.Bytes()})
}

// maxStateUpdateBytes bounds the size of a state update after decompression.
const maxStateUpdateBytes = 16 << 20

// compressedUpdate decodes a compressed state update.
type compressedUpdate struct{ update *stateUpdate }

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (u *compressedUpdate) UnmarshalBinary(b []byte) error {
	r := flate.NewReader(bytes.NewReader(b))
	return errors.Join(msgpack.NewDecoder(io.LimitReader(r, maxStateUpdateBytes)).Decode(u.update), r.Close())
}

// readFrame reads a frame and decodes it into the value for its type. A nil value skips
// the body, and a type without a value is an error.
func readFrame(r io.Reader, into map[byte]any) (byte, error) {
	f, err := framing.Read(r, framing.MaxBytes)
	if err != nil {
		return 0, err
	}
	v, ok := into[f.Type]
	if !ok {
		return f.Type, fmt.Errorf("unexpected frame of type %d", f.Type)
	}
	if v == nil {
		return f.Type, nil
	}
	if compressed, ok := v.(*compressedUpdate); ok {
		return f.Type, compressed.UnmarshalBinary(f.Body)
	}
	return f.Type, msgpack.Unmarshal(f.Body, v)
}
