package idempotency

// Attempt is the record of a request that this instance may run.
type Attempt struct {
	log    *Log
	record *record
}

// MaxResponseBytes is the size in bytes of the largest answer body that is kept.
func (e *Attempt) MaxResponseBytes() int { return e.log.cfg.MaxResponseBytes }

// MarkRunning notes that the request is about to be sent. It returns false if the
// record was dropped, because the tenure has ended; then the request must not run.
func (e *Attempt) MarkRunning() bool {
	e.log.mu.Lock()
	defer e.log.mu.Unlock()
	if e.record.recordElement == nil {
		return false
	}
	e.record.state = stateRunning
	return true
}

// Abort removes the record of a request that did not run.
func (e *Attempt) Abort() {
	e.log.mu.Lock()
	defer e.log.mu.Unlock()
	e.log.dropRecord(e.record)
}

// MarkCompleted notes that the request was run. The answer is nil if it is not kept.
func (e *Attempt) MarkCompleted(a *Response) {
	l := e.log
	l.mu.Lock()
	defer l.mu.Unlock()
	r := e.record
	r.state = stateCompleted
	if r.recordElement == nil || a == nil || len(a.Body) > l.cfg.MaxResponseBytes {
		return
	}
	l.storeResponse(r, a)
}

// MarkOutcomeUnknown notes that the request may have run.
func (e *Attempt) MarkOutcomeUnknown() {
	e.log.mu.Lock()
	defer e.log.mu.Unlock()
	e.record.state = stateOutcomeUnknown
}
