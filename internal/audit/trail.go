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
	// MaxObjectBytes is the maximum of Config.ObjectBytes.
	MaxObjectBytes = 256 << 10
	// DefaultObjectBytes is the default of Config.ObjectBytes. Appending rewrites the
	// object, so an append writes about 32 KiB on average.
	DefaultObjectBytes = 64 << 10
	// DefaultMaxObjects is the default of Config.MaxObjects.
	DefaultMaxObjects = 64
	// DefaultMaxBuffered is the default of Config.MaxBuffered.
	DefaultMaxBuffered = 4096
	// writeInterval is the minimum time between two writes of an instance.
	writeInterval = time.Second
	// uploadBytesPerSecond limits the upload rate while entries are added continuously,
	// since each append rewrites the object. It may exceed the budget of an instance for
	// control traffic, 6 KB/s, because that holds for the long term.
	uploadBytesPerSecond = 8 << 10
	// maxBackoff limits the backoff between two attempts while the store fails, before
	// jitter.
	maxBackoff = 10 * time.Second
	// delayedThreshold is the minimum duration of a store failure that is reported by an
	// entry of EventDelayed.
	delayedThreshold = 5 * time.Second
	// stepTimeout is the time limit for the store calls of a step.
	stepTimeout = 3 * time.Second
	// stopTimeout limits the attempts to write the buffered entries when the instance
	// stops. The last attempt may end up to writeInterval + stepTimeout later.
	stopTimeout = 5 * time.Second
	// minObjectBytes is the minimum of Config.ObjectBytes. An object of this size holds
	// an entry of the maximum encoded size.
	minObjectBytes = 32 << 10
)

// Config configures a Trail. Store, TrailName, Instance and Incarnation are required.
type Config struct {
	// Store is the store that holds the trail.
	Store store.Store
	// TrailName is the name of the trail: the name of the cell, whose instances share it.
	TrailName string
	// Instance is the ID of this instance.
	Instance string
	// Incarnation distinguishes the restarts of the instance, so that entry IDs are
	// unique.
	Incarnation string
	// ObjectBytes is the maximum size of one object, from 32 KiB to MaxObjectBytes.
	// Default DefaultObjectBytes.
	ObjectBytes int
	// MaxObjects is the maximum number of objects of the trail; the oldest are removed.
	// Default DefaultMaxObjects. It is exceeded by one for a few seconds when an object
	// is created.
	MaxObjects int
	// MaxBuffered is the maximum number of entries that wait in memory; further entries
	// are dropped. Default DefaultMaxBuffered.
	MaxBuffered int
	// Clock is the time source. Default the real clock.
	Clock clockwork.Clock
	// Logger receives store failures and lost entries.
	Logger zerolog.Logger
	// Metrics receives the counters audit.written, audit.dropped and
	// audit.write_errors. Default a new registry.
	Metrics metrics.Registry
}

// Trail buffers entries and writes them in the background. Add is safe for concurrent
// use.
type Trail struct {
	cfg    Config
	buffer *buffer
	writer *writer
	wake   chan struct{}
	// The fields below are used only by the goroutine of Run.

	// lastStepStart is the start of the last step, whether or not it wrote anything.
	lastStepStart time.Time
	// failingSince is the time of the first failed step of the current series of
	// failures.
	failingSince time.Time
	// failures is the number of failed steps of that series, and lastErr the error of the
	// last one.
	failures int
	lastErr  error
}

// New returns a trail. It buffers entries from now on and writes them while Run runs. It
// returns an error if a required setting is missing or ObjectBytes is out of range.
func New(cfg Config) (*Trail, error) {
	if cfg.Store == nil || cfg.TrailName == "" || cfg.Instance == "" || cfg.Incarnation == "" {
		return nil, errors.New("audit: Store, TrailName, Instance and Incarnation must be set")
	}
	setDefault(&cfg.ObjectBytes, DefaultObjectBytes)
	setDefault(&cfg.MaxObjects, DefaultMaxObjects)
	setDefault(&cfg.MaxBuffered, DefaultMaxBuffered)
	if cfg.ObjectBytes < minObjectBytes || cfg.ObjectBytes > MaxObjectBytes {
		return nil, errors.New("audit: ObjectBytes is out of range, expected 32 KiB to 256 KiB")
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
			store: cfg.Store, trail: cfg.TrailName, buffer: b, now: cfg.Clock.Now,
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

// Add buffers an entry and returns without waiting for the store. When the buffer is
// full, it drops the entry, and an entry of EventGap reports the loss later.
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

// Run writes entries until the tomb is dying. It then tries for up to 5 s to write the
// buffered entries; the last attempt may end up to 4 s later. It may be called only once
// and always returns nil. Start it with tb.Go(func() error { return trail.Run(tb) }).
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

// flush writes the remaining entries for up to stopTimeout, and logs the number of
// entries that are then still unwritten and therefore lost.
func (t *Trail) flush() {
	deadline := t.cfg.Clock.Now().Add(stopTimeout)
	for t.countUnwritten() > 0 && t.cfg.Clock.Now().Before(deadline) {
		t.sleep(writeInterval-t.cfg.Clock.Since(t.lastStepStart), nil)
		t.step()
	}
	if n := t.countUnwritten(); n > 0 {
		t.cfg.Logger.Error().Int("entries", n).Err(t.lastErr).Msg("audit entries lost at stop")
	}
}

// countUnwritten returns the number of entries that are not known to be in the store.
func (t *Trail) countUnwritten() int {
	t.buffer.mu.Lock()
	defer t.buffer.mu.Unlock()
	return len(t.buffer.entries) + len(t.writer.batch)
}

// nextDelay returns the time from now until the next step; it is negative if the step is
// due. Steps start at least writeInterval apart, further apart after a large write, and with
// exponential backoff and jitter while the store fails.
func (t *Trail) nextDelay() time.Duration {
	delay := max(writeInterval, time.Duration(t.writer.uploadedBytes)*time.Second/uploadBytesPerSecond)
	if t.failures > 0 {
		delay = max(delay, min(writeInterval<<min(t.failures-1, 4), maxBackoff))
		delay += rand.N(delay / 2) //nolint:gosec // no secret
	}
	return delay - t.cfg.Clock.Since(t.lastStepStart)
}

// sleep waits for d or until stop is closed.
func (t *Trail) sleep(d time.Duration, stop <-chan struct{}) {
	if d <= 0 {
		return
	}
	select {
	case <-t.cfg.Clock.After(d):
	case <-stop:
	}
}

// step performs one step of the writer and records its success or failure.
func (t *Trail) step() {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	t.lastStepStart = t.cfg.Clock.Now()
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

// recordFailure counts a failed step. It logs only the first failure of a series.
func (t *Trail) recordFailure(err error) {
	t.count("write_errors", 1)
	if t.failures++; t.failures == 1 {
		t.failingSince = t.cfg.Clock.Now()
		t.cfg.Logger.Warn().Err(err).Msg("audit trail not written")
	}
	t.lastErr = err
}

// recordRecovery ends a series of failures after entries were written. If the series lasted
// at least delayedThreshold, an entry of EventDelayed reports it.
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
