package audit

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/boragegate/boragegate/store"
)

// Kind is the kind of the trail's objects. Their names are "<trail>.<sequence>".
const Kind = "audit"

// sequenceDigits makes names sort by sequence.
const sequenceDigits = 12

func objectName(trail string, sequence uint64) string {
	return fmt.Sprintf("%s.%0*d", trail, sequenceDigits, sequence)
}

func parseObjectName(trail, name string) (sequence uint64, ok bool) {
	digits, ok := strings.CutPrefix(name, trail+".")
	if !ok || len(digits) != sequenceDigits {
		return 0, false
	}
	sequence, err := strconv.ParseUint(digits, 10, 64)
	return sequence, err == nil
}

// writer is the state of the trail's goroutine: the newest object as far as
// known, and the batch whose outcome is open. Each step makes at most one write.
type writer struct {
	store      store.Store
	trail      string
	maxBytes   int
	maxObjects uint64
	buffer     *buffer
	now        func() time.Time

	// located says that sequence, current and oldest are known.
	located  bool
	sequence uint64
	// current is the object to append to; its Version is 0 if it does not exist yet.
	current store.Object
	// oldest is the lowest sequence that may still exist.
	oldest uint64
	// batch is kept unchanged, on the same object at the same version, until its
	// outcome is certain. So a write that took effect without a reply cannot be
	// repeated: its repetition conflicts, and the object then shows the batch.
	batch []Entry
	// needsReread says that current must be read again before the next write.
	needsReread bool
	// uploadedBytes is the size of the last write.
	uploadedBytes int
}

func (w *writer) hasWork() bool {
	return len(w.batch) > 0 || !w.buffer.isEmpty() || w.needsPruning()
}

// needsPruning says that the bound on objects is exceeded.
func (w *writer) needsPruning() bool {
	return w.located && w.current.Version != 0 && w.oldest+w.maxObjects <= w.sequence
}

// step makes the next write, if one is needed. It returns the number of entries
// that are known to be written since the last step.
func (w *writer) step(ctx context.Context) (written int, err error) {
	w.uploadedBytes = 0
	if !w.located {
		if err := w.locate(ctx); err != nil {
			return 0, err
		}
	}
	if w.needsReread {
		n, err := w.resolveConflict(ctx)
		return n, err
	}
	if len(w.batch) == 0 && w.needsPruning() {
		return 0, w.prune(ctx)
	}
	if len(w.batch) == 0 {
		if err := w.nextBatch(ctx); err != nil || len(w.batch) == 0 {
			return 0, err
		}
	}
	return w.writeBatch(ctx)
}

// locate finds the newest and the oldest object of the trail.
func (w *writer) locate(ctx context.Context) error {
	objects, _, err := w.store.List(ctx, Kind)
	if err != nil {
		return err
	}
	w.sequence, w.oldest, w.current = 1, 1, store.Object{}
	found := false
	for _, o := range objects { // in order of name
		sequence, ok := parseObjectName(w.trail, o.Name)
		if !ok {
			continue
		}
		if !found {
			w.oldest, found = sequence, true
		}
		w.sequence, w.current = sequence, o
	}
	w.located = true
	return nil
}

// nextBatch takes the entries that fit into the current object, and goes on to
// the next object when none fits.
func (w *writer) nextBatch(ctx context.Context) error {
	for {
		w.batch = w.buffer.takeBatch(w.maxBytes - len(w.current.Value))
		if len(w.batch) > 0 || w.buffer.isEmpty() {
			return nil
		}
		next, err := w.store.Get(ctx, Kind, objectName(w.trail, w.sequence+1))
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		w.sequence++
		w.current = next
	}
}

// writeBatch appends the batch to the current object.
func (w *writer) writeBatch(ctx context.Context) (int, error) {
	obj := store.Object{
		Kind: Kind, Name: objectName(w.trail, w.sequence), Version: w.current.Version,
		Writer: uuid.NewString(), Value: bytes.Clone(w.current.Value),
	}
	for i := range w.batch {
		w.batch[i].Written = w.now()
		obj.Value = append(obj.Value, w.batch[i].marshalLine()...)
	}
	call := w.store.Update
	if obj.Version == 0 {
		call = w.store.Create
	}
	w.uploadedBytes = len(obj.Value)
	got, err := call(ctx, obj)
	switch {
	case err == nil:
		w.current = got
		return w.completeBatch(), nil
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrExists):
		w.needsReread = true
		return 0, nil
	case errors.Is(err, store.ErrNotFound):
		// Another instance removed the object because the trail went on.
		w.located = false
		w.requeueBatch()
		return 0, nil
	}
	return 0, err
}

// resolveConflict reads the current object after a conflict and tells whether the batch is in it.
func (w *writer) resolveConflict(ctx context.Context) (int, error) {
	got, err := w.store.Get(ctx, Kind, objectName(w.trail, w.sequence))
	if errors.Is(err, store.ErrNotFound) {
		return 0, w.handleMissing(ctx)
	}
	if err != nil {
		return 0, err
	}
	if got.Version <= w.current.Version {
		return 0, fmt.Errorf("read %s at version %d after a conflict at %d: %w", got.Name, got.Version, w.current.Version, store.ErrUnavailable)
	}
	w.current, w.needsReread = got, false
	// A batch is written as a whole, so its first entry stands for all. The ID in
	// quotes cannot occur in a text, where quotes are escaped.
	id, err := json.Marshal(w.batch[0].ID)
	if err != nil {
		return 0, err
	}
	if bytes.Contains(got.Value, id) {
		return w.completeBatch(), nil
	}
	w.requeueBatch()
	return 0, nil
}

// handleMissing handles a current object that a read does not show. Objects are
// started in order, so it was removed if a later one exists without it;
// otherwise the read was stale.
func (w *writer) handleMissing(ctx context.Context) error {
	objects, _, err := w.store.List(ctx, Kind)
	if err != nil {
		return err
	}
	later := false
	for _, o := range objects {
		if sequence, ok := parseObjectName(w.trail, o.Name); ok && sequence >= w.sequence {
			later = sequence > w.sequence
			break
		}
	}
	if !later {
		return fmt.Errorf("%s is missing after a conflict: %w", objectName(w.trail, w.sequence), store.ErrUnavailable)
	}
	w.needsReread, w.located = false, false
	w.requeueBatch()
	return nil
}

func (w *writer) completeBatch() int {
	n := len(w.batch)
	w.batch = nil
	return n
}

func (w *writer) requeueBatch() {
	w.buffer.requeue(w.batch)
	w.batch = nil
}

// prune removes the oldest object.
func (w *writer) prune(ctx context.Context) error {
	name := objectName(w.trail, w.oldest)
	obj, err := w.store.Get(ctx, Kind, name)
	if err == nil {
		err = w.store.Delete(ctx, Kind, name, obj.Version)
	}
	if err == nil || errors.Is(err, store.ErrNotFound) {
		w.oldest++
		return nil
	}
	return err
}
