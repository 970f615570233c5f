package idempotency

// Attempt is the record of a request that this instance may run.
type Attempt struct {
	log    *Log
	record *record
}

// MaxResponseBytes is the size in bytes of the largest answer body that is kept.
func (a *Attempt) MaxResponseBytes() int { return a.log.cfg.MaxResponseBytes }

// MarkRunning notes that the request is about to be sent. It returns false if the
// record was dropped, because the tenure has ended; then the request must not run.
func (a *Attempt) MarkRunning() bool {
	a.log.mu.Lock()
	defer a.log.mu.Unlock()
	if a.record.recordElement == nil {
		return false
	}
	a.record.state = stateRunning
	return true
}

// Abort removes the record of a request that did not run.
func (a *Attempt) Abort() {
	a.log.mu.Lock()
	defer a.log.mu.Unlock()
	a.log.dropRecord(a.record)
}

// MarkCompleted notes that the request was run. The answer is nil if it is not kept.
func (a *Attempt) MarkCompleted(resp *Response) {
	l := a.log
	l.mu.Lock()
	defer l.mu.Unlock()
	r := a.record
	r.state = stateCompleted
	if r.recordElement == nil || resp == nil || len(resp.Body) > l.cfg.MaxResponseBytes {
		return
	}
	l.storeResponse(r, resp)
}

// MarkOutcomeUnknown notes that the request may have run.
func (a *Attempt) MarkOutcomeUnknown() {
	a.log.mu.Lock()
	defer a.log.mu.Unlock()
	a.record.state = stateOutcomeUnknown
}
