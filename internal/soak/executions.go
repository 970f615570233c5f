package soak

import (
	"fmt"
	"sync"

	"github.com/boragegate/boragegate/platform/standin"
)

// executionChecker compares the requests that targets executed with the responses that
// callers got.
type executionChecker struct {
	reportViolation func(promise, detail string)

	mu            sync.Mutex
	targetCount   int
	nonRepeatable map[string]*requestRecord // requests that must not be executed twice, by ID
}

// requestRecord counts the executions of one request.
type requestRecord struct {
	executions int
	// rejected is true if a response said that the request was not executed.
	rejected bool
}

func newExecutionChecker(reportViolation func(promise, detail string)) *executionChecker {
	return &executionChecker{reportViolation: reportViolation, nonRepeatable: map[string]*requestRecord{}}
}

// nextTarget returns a number for the ID of a new target. Numbers start at 1.
func (c *executionChecker) nextTarget() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targetCount++
	return c.targetCount
}

// recordSent registers a request that must not be executed twice. It must be called before
// the request is sent.
func (c *executionChecker) recordSent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nonRepeatable[id] = &requestRecord{}
}

// recordRejection records that the response to a registered request said that the request
// was not executed.
func (c *executionChecker) recordRejection(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nonRepeatable[id].rejected = true
}

// recordExecution checks a request that a target starts to execute. It reports a violation
// if another target holds the key, or if the request must not be executed twice and was
// executed before. The key is negative if the request has none.
func (c *executionChecker) recordExecution(s *system, executing *standin.Target, id string, key int) {
	if key >= 0 {
		for _, t := range s.targets {
			if other := t.runningTarget(); other != nil && other != executing && t.service == partitionedService && other.Holds(key) {
				c.reportViolation("one holder", fmt.Sprintf("key %d runs at %s while %s holds it", key, executing.ID, other.ID))
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if record := c.nonRepeatable[id]; record != nil {
		if record.executions++; record.executions == 2 {
			c.reportViolation("at most once", "request "+id+" ran twice")
		}
	}
}

// checkRejected reports requests that were executed although they were rejected. It runs at
// the end, because a request may be executed after its rejection.
func (c *executionChecker) checkRejected() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, record := range c.nonRepeatable {
		if record.rejected && record.executions > 0 {
			c.reportViolation("true refusals", "request "+id+" was executed although its response said that it was not")
		}
	}
}
