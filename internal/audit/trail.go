package audit

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"github.com/boragegate/boragegate/store"
)

const (
	// MaxObjectBytes is the largest size of one object.
	MaxObjectBytes = 256 << 10
	// DefaultObjectBytes keeps an append, which rewrites the object, near 32 KiB on average.
	DefaultObjectBytes = 64 << 10
	// DefaultMaxObjects is the number of objects that a trail keeps.
	DefaultMaxObjects = 64
	// DefaultMaxBuffered is the number of entries that wait in memory at most.
	DefaultMaxBuffered = 4096
	// writeInterval is the shortest time between two writes of an instance.
	writeInterval = time.Second
	// uploadBytesPerSecond bounds the bytes per second while entries keep coming: an append
	// rewrites the object, and an instance has 6 KB/s for control in the long run.
	uploadBytesPerSecond = 8 << 10
	// maxBackoff is the longest time between two attempts while the store fails.
	maxBackoff = 10 * time.Second
	// delayedThreshold is the length of a failure that is entered into the trail.
	delayedThreshold = 5 * time.Second
	// stepTimeout bounds the store calls of a step.
	stepTimeout = 3 * time.Second
	// stopTimeout bounds writing what is buffered when the instance stops.
	stopTimeout = 5 * time.Second
	// minObjectBytes holds at least one entry of the largest size, escaped.
	minObjectBytes = 32 << 10
)

// Config configures a Trail.
type Config struct {
	Store store.Store
	// Trail is the name that the instances of one trail share: the cell.
	Trail string
	// Instance is the ID of this instance.
	Instance string
	// Incarnation makes entry IDs unique across restarts.
	Incarnation string
	// ObjectBytes bounds one object. Default DefaultObjectBytes, at most MaxObjectBytes.
	ObjectBytes int
	// MaxObjects bounds the objects of the trail. Default DefaultMaxObjects. The bound
	// is exceeded by one for a few seconds when an object is started.
	MaxObjects int
	// MaxBuffered bounds the entries in memory. Default DefaultMaxBuffered.
	MaxBuffered int
	Clock       clockwork.Clock
	Logger      zerolog.Logger
	// Metrics receives the counters "audit.…". Default a registry of its own.
	Metrics metrics.Registry
}

// Trail writes entries in the background. Add is safe for concurrent use.
type Trail struct {
	cfg    Config
	buffer *buffer
	writer *writer
	wake   chan struct{}
	// The fields below belong to the goroutine.
	lastWrite time.Time
	// failingSince is the time of the first failed step since the last good one.
	failingSince time.Time
	failures     int
	lastErr      error
}

// New returns a trail that writes once Run is called.
func New(cfg Config) (*Trail, error) {
	if cfg.Store == nil || cfg.Trail == "" || cfg.Instance == "" || cfg.Incarnation == "" {
		return nil, errors.New("audit: Store, Trail, Instance and Incarnation must be set")
	}
	setDefault(&cfg.ObjectBytes, DefaultObjectBytes)
	setDefault(&cfg.MaxObjects, DefaultMaxObjects)
	setDefault(&cfg.MaxBuffered, DefaultMaxBuffered)
	if cfg.ObjectBytes < minObjectBytes || cfg.ObjectBytes > MaxObjectBytes {
		return nil, errors.New("audit: ObjectBytes out of range")
	}
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	b := &buffer{limit: cfg.MaxBuffered, assignID: newIDAssigner(cfg.Instance, cfg.Incarnation)}
	return &Trail{
		cfg:    cfg,
		buffer: b,
		wake:   make(chan struct{}, 1),
		writer: &writer{
			store: cfg.Store, trail: cfg.Trail, buffer: b, now: cfg.Clock.Now,
			maxBytes:   cfg.ObjectBytes,
			maxObjects: uint64(cfg.MaxObjects), //nolint:gosec // positive
		},
	}, nil
}

func setDefault(n *int, value int) {
	if *n <= 0 {
		*n = value
	}
}

// Add buffers an entry and returns at once. When the buffer is full the entry is
// dropped and a gap entry says so later.
func (t *Trail) Add(e Entry) {
	if e.Time.IsZero() {
		e.Time = t.cfg.Clock.Now()
	}
	e.enforceLimits()
	if !t.buffer.add(e) {
		t.count("dropped", 1)
		return
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Run writes entries until the tomb dies, and then what is buffered for at most
// stopTimeout. Start it with tb.Go(func() error { return trail.Run(tb) }).
func (t *Trail) Run(tb *tomb.Tomb) error {
	for tb.Alive() {
		if t.writer.hasWork() {
			t.sleep(t.nextDelay(), tb.Dying())
			if tb.Alive() {
				t.step()
			}
			continue
		}
		select {
		case <-t.wake:
		case <-tb.Dying():
		}
	}
	t.flush()
	return nil
}

// flush writes what is left. Entries that cannot be written are logged as lost.
func (t *Trail) flush() {
	end := t.cfg.Clock.Now().Add(stopTimeout)
	for t.countUnwritten() > 0 && t.cfg.Clock.Now().Before(end) {
		t.sleep(writeInterval-t.cfg.Clock.Since(t.lastWrite), nil)
		t.step()
	}
	if n := t.countUnwritten(); n > 0 {
		t.cfg.Logger.Error().Int("entries", n).Err(t.lastErr).Msg("audit entries lost at stop")
	}
}

// countUnwritten is the number of entries that are not known to be in the store.
func (t *Trail) countUnwritten() int {
	t.buffer.mu.Lock()
	defer t.buffer.mu.Unlock()
	return len(t.buffer.entries) + len(t.writer.batch)
}

// nextDelay is the time to the next step: the write interval, longer after a large
// write, or a jittered backoff while the store fails.
func (t *Trail) nextDelay() time.Duration {
	wait := max(writeInterval, time.Duration(t.writer.uploadedBytes)*time.Second/uploadBytesPerSecond)
	if t.failures > 0 {
		wait = max(wait, min(writeInterval<<min(t.failures-1, 4), maxBackoff))
		wait += rand.N(wait / 2) //nolint:gosec // no secret
	}
	return wait - t.cfg.Clock.Since(t.lastWrite)
}

func (t *Trail) sleep(d time.Duration, stop <-chan struct{}) {
	if d <= 0 {
		return
	}
	select {
	case <-t.cfg.Clock.After(d):
	case <-stop:
	}
}

// step makes one step of the writer and keeps account of failures.
func (t *Trail) step() {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	t.lastWrite = t.cfg.Clock.Now()
	written, err := t.writer.step(ctx)
	t.count("written", written)
	if err != nil {
		t.recordFailure(err)
		return
	}
	if written > 0 {
		t.recordRecovery()
	}
}

func (t *Trail) recordFailure(err error) {
	t.count("write_errors", 1)
	if t.failures++; t.failures == 1 {
		t.failingSince = t.cfg.Clock.Now()
		t.cfg.Logger.Warn().Err(err).Msg("audit trail not written")
	}
	t.lastErr = err
}

// recordRecovery ends a period of failures. A long one is entered into the trail.
func (t *Trail) recordRecovery() {
	if t.failures == 0 {
		return
	}
	now := t.cfg.Clock.Now()
	if now.Sub(t.failingSince) >= delayedThreshold {
		t.Add(Entry{Event: EventDelayed, Outcome: "written late", Cause: t.lastErr.Error(), Fields: map[string]string{
			"from":     t.failingSince.Format(time.RFC3339Nano),
			"to":       now.Format(time.RFC3339Nano),
			"attempts": strconv.Itoa(t.failures),
		}})
	}
	t.failures, t.lastErr = 0, nil
}

func (t *Trail) count(name string, n int) {
	metrics.GetOrRegisterCounter("audit."+name, t.cfg.Metrics).Inc(int64(n))
}
