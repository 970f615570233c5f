// Package store defines the object store of the platform as boragegate uses
// it. The store is the only place where anything is agreed or kept. Plug-ins
// implement Store and register themselves with the kernel under "store.<name>".
package store

import (
	"context"
	"errors"
	"time"
)

// Errors that a Store returns. Test for them with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrExists means that Create found an object of that kind and name.
	ErrExists = errors.New("object already exists")
	// ErrConflict means that the object has another version than the caller named. Nothing was written.
	ErrConflict = errors.New("object version conflict")
	// ErrTooOld means that a watch cannot start at the version because the store no longer keeps its history.
	ErrTooOld = errors.New("watch version too old")
	// ErrTooLarge means that the value exceeds MaxValueBytes. Nothing was written.
	ErrTooLarge = errors.New("object too large")
	// ErrUnavailable means that the store did not take the call. Nothing was written.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown means that the reply was lost; the write may or may not
	// have taken effect. The caller reads the object again and recognises its own
	// write by Object.Writer.
	ErrOutcomeUnknown = errors.New("outcome of store call unknown")
)

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// Version is the store's version of an object. It rises with every write to the
// store, so versions of different objects can be compared by age.
type Version uint64

// Object is one value in the store.
type Object struct {
	// Kind groups objects, for example "table" or "cell".
	Kind string `json:"kind"`
	// Name identifies the object within its kind.
	Name string `json:"name"`
	// Version is set by the store. Update and Delete are conditional on it.
	Version Version `json:"version"`
	// Writer identifies one write attempt. A caller sets a fresh value for each
	// write so that it can recognise the write after ErrOutcomeUnknown.
	Writer string `json:"writer,omitempty"`
	// Value is the content, at most MaxValueBytes.
	Value []byte `json:"value"`
}

// EventType tells what happened to an object.
type EventType string

// Event types.
const (
	EventPut     EventType = "put"
	EventDeleted EventType = "deleted"
)

// Event is one change that a watch reports.
type Event struct {
	Type   EventType `json:"type"`
	Object Object    `json:"object"`
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// Instance states.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's list of instances, which lags.
type Instance struct {
	ID    string        `json:"id"`
	Zone  string        `json:"zone"`
	State InstanceState `json:"state"`
	// PeerAddress is the host:port of the instance's peer listener.
	PeerAddress string `json:"peer_address"`
	// ForwardAddress is the host:port of the instance's forward listener.
	ForwardAddress string `json:"forward_address"`
}

// Store is the platform's object API. All methods are safe for concurrent use.
// Every error wraps one of the errors of this package or the context's error.
type Store interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind, ordered by name, and the store version
	// from which a watch continues without a gap.
	List(ctx context.Context, kind string) ([]Object, Version, error)
	// Create stores a new object and returns it with its version, or ErrExists.
	Create(ctx context.Context, obj Object) (Object, error)
	// Update replaces the object if its version is still obj.Version, else ErrConflict or ErrNotFound.
	Update(ctx context.Context, obj Object) (Object, error)
	// Delete removes the object if its version is still version, else ErrConflict or ErrNotFound.
	Delete(ctx context.Context, kind, name string, version Version) error
	// Watch reports changes to objects of a kind after the version. The channel
	// closes when ctx ends or the connection is lost; the caller then lists again.
	Watch(ctx context.Context, kind string, from Version) (<-chan Event, error)
	// Instances returns the platform's lagging list of instances.
	Instances(ctx context.Context) ([]Instance, error)
}

// Registrar is implemented by stores through which an instance can enter itself
// into the platform's list. Where the platform keeps the list by itself, the
// store does not implement it.
type Registrar interface {
	// Register adds or replaces the entry of the instance.
	Register(ctx context.Context, in Instance) error
	// Deregister removes the entry.
	Deregister(ctx context.Context, id string) error
}

// Poller is implemented by stores whose watch is a call that waits.
type Poller interface {
	// Poll returns the changes to objects of a kind after the version, as soon as
	// there is one, or none when the wait is over, and the version from which to
	// continue. The error is ErrTooOld if the history is gone.
	Poll(ctx context.Context, kind string, from Version, wait time.Duration) ([]Event, Version, error)
}
