package soak

import (
	"fmt"
	"sync"

	"github.com/boragegate/boragegate/platform/standin"
)

// executionChecker compares what targets ran with what callers were told.
type executionChecker struct {
	reportViolation func(promise, detail string)

	mu            sync.Mutex
	targetCount   int
	nonRepeatable map[string]*requestRecord // requests that must not run twice, by ID
}

// requestRecord is what is known of one request.
type requestRecord struct {
	executions int
	// rejected says that the caller was told that the request did not run.
	rejected bool
}

func newExecutionChecker(violated func(promise, detail string)) *executionChecker {
	return &executionChecker{reportViolation: violated, nonRepeatable: map[string]*requestRecord{}}
}

func (l *executionChecker) nextTarget() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targetCount++
	return l.targetCount
}

// recordSent notes a request that must not run twice.
func (l *executionChecker) recordSent(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nonRepeatable[id] = &requestRecord{}
}

// recordRejection notes that the caller was told that the request did not run.
func (l *executionChecker) recordRejection(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nonRepeatable[id].rejected = true
}

// recordExecution is told by a target that a request begins to run.
func (l *executionChecker) recordExecution(s *system, by *standin.Target, id string, key int) {
	if key >= 0 {
		for _, t := range s.targets {
			if other := t.runningTarget(); other != nil && other != by && t.service == partitionedService && other.Holds(key) {
				l.reportViolation("one holder", fmt.Sprintf("key %d runs at %s while %s holds it", key, by.ID, other.ID))
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.nonRepeatable[id]; o != nil {
		if o.executions++; o.executions == 2 {
			l.reportViolation("at most once", "request "+id+" ran twice")
		}
	}
}

// checkRejected checks what can be said at the end only: a request may run after its refusal.
func (l *executionChecker) checkRejected() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, o := range l.nonRepeatable {
		if o.rejected && o.executions > 0 {
			l.reportViolation("true refusals", "request "+id+" ran and was answered as not run")
		}
	}
}
