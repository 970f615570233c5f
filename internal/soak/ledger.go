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

func newExecutionChecker(reportViolation func(promise, detail string)) *executionChecker {
	return &executionChecker{reportViolation: reportViolation, nonRepeatable: map[string]*requestRecord{}}
}

func (c *executionChecker) nextTarget() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targetCount++
	return c.targetCount
}

// recordSent notes a request that must not run twice.
func (c *executionChecker) recordSent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nonRepeatable[id] = &requestRecord{}
}

// recordRejection notes that the caller was told that the request did not run.
func (c *executionChecker) recordRejection(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nonRepeatable[id].rejected = true
}

// recordExecution is told by a target that a request begins to run.
func (c *executionChecker) recordExecution(s *system, by *standin.Target, id string, key int) {
	if key >= 0 {
		for _, t := range s.targets {
			if other := t.runningTarget(); other != nil && other != by && t.service == partitionedService && other.Holds(key) {
				c.reportViolation("one holder", fmt.Sprintf("key %d runs at %s while %s holds it", key, by.ID, other.ID))
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.nonRepeatable[id]; o != nil {
		if o.executions++; o.executions == 2 {
			c.reportViolation("at most once", "request "+id+" ran twice")
		}
	}
}

// checkRejected checks what can be said at the end only: a request may run after its refusal.
func (c *executionChecker) checkRejected() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, o := range c.nonRepeatable {
		if o.rejected && o.executions > 0 {
			c.reportViolation("true refusals", "request "+id+" ran and was answered as not run")
		}
	}
}
