// Package store defines the interface of the platform's object store. The store
// holds all persistent state, and instances agree only through its conditional
// writes. Plug-ins implement Store and register themselves with package
// boragegate under an ID of the form "store.<name>".
package store

import (
	"context"
	"errors"
	"time"
)

// Errors that a Store returns, wrapped. Test for them with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrExists means that Create found an object of the same kind and name. Nothing was written.
	ErrExists = errors.New("object already exists")
	// ErrConflict means that the object is not at the version that the caller gave. Nothing was written.
	ErrConflict = errors.New("object version conflict")
	// ErrTooOld means that a watch cannot start at the version because the store
	// does not have the changes that follow it.
	ErrTooOld = errors.New("watch version too old")
	// ErrTooLarge means that the value exceeds MaxValueBytes. Nothing was written.
	ErrTooLarge = errors.New("object too large")
	// ErrUnavailable means that the store did not accept the call, or that no usable reply
	// to a read arrived. Nothing was written.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown means that no usable reply to a write arrived, so the
	// write may or may not have taken effect. The caller reads the object again and
	// recognises its own write by Object.Writer.
	ErrOutcomeUnknown = errors.New("outcome of store call unknown")
)

// MaxValueBytes is the maximum size of Object.Value, in bytes.
const MaxValueBytes = 1 << 20

// Version is the version that the store assigned to an object. It increases with
// every write to the store, so the versions of different objects are ordered by
// the time of their writes.
type Version uint64

// Object is a versioned value in the store.
type Object struct {
	// Kind is the collection that the object belongs to, for example "table" or "cell".
	Kind string `json:"kind"`
	// Name identifies the object within its kind.
	Name string `json:"name"`
	// Version is assigned by the store. Update and Delete are conditional on it.
	Version Version `json:"version"`
	// Writer identifies one write attempt. A caller sets a unique value for each
	// write, by which it recognises the write after ErrOutcomeUnknown.
	Writer string `json:"writer,omitempty"`
	// Value is the content, at most MaxValueBytes long.
	Value []byte `json:"value"`
}

// EventType is the kind of change that was made to an object.
type EventType string

// Event types.
const (
	// EventPut means that the object was created or updated.
	EventPut EventType = "put"
	// EventDeleted means that the object was deleted.
	EventDeleted EventType = "deleted"
)

// Event is a change of an object, as reported by a watch.
type Event struct {
	Type EventType `json:"type"`
	// Object is the object after the change. After a deletion it has the kind, the name
	// and the store version of the deletion; the writer and the value are unspecified.
	Object Object `json:"object"`
}

// InstanceState is the state of an instance in the platform's list of instances.
type InstanceState string

// Instance states.
const (
	// InstanceLive is the state of an instance that runs.
	InstanceLive InstanceState = "live"
	// InstanceLeaving is the state of an instance that is being shut down.
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's list of instances. The list lags behind
// the actual state.
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
// Every error wraps one of the errors of this package or the error of the context.
type Store interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind, ordered by name, and the store version
	// from which a watch reports all later changes.
	List(ctx context.Context, kind string) ([]Object, Version, error)
	// Create stores a new object and returns it with its version, or ErrExists.
	Create(ctx context.Context, obj Object) (Object, error)
	// Update replaces the object if it is still at obj.Version, and returns it with
	// its new version. Otherwise it returns ErrConflict or ErrNotFound.
	Update(ctx context.Context, obj Object) (Object, error)
	// Delete removes the object if it is still at the given version. Otherwise it
	// returns ErrConflict or ErrNotFound.
	Delete(ctx context.Context, kind, name string, version Version) error
	// Watch reports the changes to objects of a kind after the version from, in
	// order. The channel is closed when ctx ends or the watch can no longer report
	// every change, for example because the connection broke or the store was
	// restored; the caller then calls
	// List and watches from the version that it returns. The error is ErrTooOld if the
	// store does not have all changes after from.
	Watch(ctx context.Context, kind string, from Version) (<-chan Event, error)
	// Instances returns the platform's list of instances, which lags behind the
	// actual state.
	Instances(ctx context.Context) ([]Instance, error)
}

// Registrar is implemented by stores through which an instance registers itself
// in the platform's list of instances. A store does not implement it if the
// platform maintains the list itself.
type Registrar interface {
	// Register adds the entry of the instance, or replaces it.
	Register(ctx context.Context, in Instance) error
	// Deregister removes the entry of the instance.
	Deregister(ctx context.Context, id string) error
}

// Poller is implemented by stores that report changes by long polling.
type Poller interface {
	// Poll returns the changes to objects of a kind after the version from, and the
	// version from which the next poll continues. It returns as soon as there is a
	// change, or without changes after the wait. The error is ErrTooOld if the store
	// does not have all changes after from.
	Poll(ctx context.Context, kind string, from Version, wait time.Duration) ([]Event, Version, error)
}
