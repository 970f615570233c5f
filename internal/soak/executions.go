package soak

import (
	"fmt"
	"sync"

	"github.com/boragegate/boragegate/platform/standin"
)

// executionChecker compares the requests that targets executed with the responses that callers got.
type executionChecker struct {
	reportViolation func(promise, detail string)

	mu            sync.Mutex
	targetCount   int
	nonRepeatable map[string]*requestRecord // requests that must not be executed twice, by ID
}

// requestRecord counts the executions of one request.
type requestRecord struct {
	executions int
	// rejected reports whether the response said that the request was not executed.
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

// recordSent registers a request that must not be executed twice; call it before sending.
func (c *executionChecker) recordSent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nonRepeatable[id] = &requestRecord{}
}

// recordRejection records that the response said that the request was not executed.
func (c *executionChecker) recordRejection(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nonRepeatable[id].rejected = true
}

// recordExecution checks a request that target by starts to execute: no other target may hold its key.
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

// checkRejected runs at the end, because a rejected request may be executed after its rejection.
func (c *executionChecker) checkRejected() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, o := range c.nonRepeatable {
		if o.rejected && o.executions > 0 {
			c.reportViolation("true refusals", "request "+id+" ran and was answered as not run")
		}
	}
}
