package store

import (
	"strconv"
	"sync"
)

// Era is the number of times that the store was restored from an older copy. A restored store
// has lost the writes that it acknowledged after the copy was made, and assigns their versions
// again, so versions of different eras are not comparable. A store that does not report its era
// has era 0.
type Era uint64

// EraReporter is implemented by stores that report their era.
type EraReporter interface {
	// ObserveEra sets the function that is called when a response has a later era than all
	// before. It is called before the first call with such a response returns, and at once if
	// the era is not 0. It must not call the store.
	ObserveEra(f func(Era))
	// Era returns the latest era that was reported.
	Era() Era
}

// EraTracker implements EraReporter for a store that learns its era from responses. The zero
// value is ready for use. It is safe for concurrent use.
type EraTracker struct {
	mu      sync.Mutex
	latest  Era
	observe func(Era)
}

// ObserveEra implements EraReporter.
func (t *EraTracker) ObserveEra(f func(Era)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.observe = f; t.latest > 0 {
		f(t.latest)
	}
}

// ReportEra takes the era in a response, before the call returns. While another goroutine reports
// the same era, it waits until the observer has returned.
func (t *EraTracker) ReportEra(e Era) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e <= t.latest {
		return // also a delayed response of an earlier era
	}
	if t.latest = e; t.observe != nil {
		t.observe(e)
	}
}

// ReportEraHeader is like ReportEra for the value of a header, and ignores one that is empty or
// not a whole number.
func (t *EraTracker) ReportEraHeader(value string) {
	if e, err := strconv.ParseUint(value, 10, 64); err == nil {
		t.ReportEra(Era(e))
	}
}

// Era implements EraReporter.
func (t *EraTracker) Era() Era {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest
}
