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

// Kind is the kind of the trail's objects in the store. Their names are
// "<trail>.<sequence>", where the sequence counts the objects, not the entries.
const Kind = "audit"

// sequenceDigits is the fixed number of digits in object names, which makes the names
// sort by sequence.
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

// writer appends batches of entries to the trail's objects. It holds the newest known
// object and the batch that is not known to be written. Each step makes at most one write.
// It is used only by the goroutine of Trail.Run.
type writer struct {
	store      store.Store
	trail      string
	maxBytes   int
	maxObjects uint64
	buffer     *buffer
	now        func() time.Time

	// located is true if sequence, current and oldest are known.
	located  bool
	sequence uint64
	// current is the object to append to; its Version is 0 if it does not exist yet.
	current store.Object
	// oldest is the lowest sequence of an object that may still exist.
	oldest uint64
	// batch keeps the same entries, for the same object at the same version, until the
	// outcome of their write is known. A write that succeeded although its reply was lost
	// is therefore never applied twice: the retry conflicts, and the object then contains
	// the batch.
	batch []Entry
	// needsReread is true if current must be read again before the next write.
	needsReread bool
	// uploadedBytes is the size of the object that the last step sent to the store, or 0 if
	// it sent none.
	uploadedBytes int
}

// hasWork reports whether another step is needed.
func (w *writer) hasWork() bool {
	return len(w.batch) > 0 || !w.buffer.isEmpty() || w.needsPruning()
}

// needsPruning reports whether the trail has more than maxObjects objects.
func (w *writer) needsPruning() bool {
	return w.located && w.current.Version != 0 && w.oldest+w.maxObjects <= w.sequence
}

// step makes the next write, if one is needed. It returns the number of entries that this
// step found or put in the store.
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

// nextBatch takes the buffered entries that fit into the current object. If none fits, it
// advances to the next object.
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

// writeBatch appends the batch to the current object and returns the number of entries
// written. After a conflict the outcome is unknown until resolveConflict has read the
// object. After an error the batch is kept, and the next step writes it again.
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
		// Another instance removed the object because there are newer ones.
		w.located = false
		w.requeueBatch()
		return 0, nil
	}
	return 0, err
}

// resolveConflict reads the current object after a conflict and determines whether it
// contains the batch. If so, it returns the number of entries of the batch; if not, the
// batch is requeued. After an error the batch is kept, and the next step reads again.
func (w *writer) resolveConflict(ctx context.Context) (int, error) {
	got, err := w.store.Get(ctx, Kind, objectName(w.trail, w.sequence))
	if errors.Is(err, store.ErrNotFound) {
		return 0, w.handleMissing(ctx)
	}
	if err != nil {
		return 0, err
	}
	if got.Version <= w.current.Version {
		return 0, fmt.Errorf("read audit object %s after a conflict: got version %d, expected one later than %d: %w", got.Name, got.Version, w.current.Version, store.ErrUnavailable)
	}
	w.current, w.needsReread = got, false
	// A batch is written as a whole, so it is enough to look for its first entry. The
	// quoted ID cannot occur in a text field, where quotes are escaped.
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

// handleMissing handles a current object that a read did not find after a conflict.
// Objects are created in order, so if a later object exists but this one does not, it
// was removed, and the batch is requeued. Otherwise the read was stale and is retried.
func (w *writer) handleMissing(ctx context.Context) error {
	objects, _, err := w.store.List(ctx, Kind)
	if err != nil {
		return err
	}
	laterExists := false
	for _, o := range objects {
		if sequence, ok := parseObjectName(w.trail, o.Name); ok && sequence >= w.sequence {
			laterExists = sequence > w.sequence
			break
		}
	}
	if !laterExists {
		return fmt.Errorf("audit object %s is missing after a conflict, but no later object exists: %w", objectName(w.trail, w.sequence), store.ErrUnavailable)
	}
	w.needsReread, w.located = false, false
	w.requeueBatch()
	return nil
}

// completeBatch removes the batch, which is known to be written, and returns its length.
func (w *writer) completeBatch() int {
	n := len(w.batch)
	w.batch = nil
	return n
}

// requeueBatch returns the batch, which is known not to be written, to the buffer.
func (w *writer) requeueBatch() {
	w.buffer.requeue(w.batch)
	w.batch = nil
}

// prune removes the oldest object of the trail. It returns nil if another instance has
// already removed it.
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
