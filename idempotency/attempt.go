package idempotency

// Attempt is the right to run a request once. It updates the record of the request.
// Its methods are safe for concurrent use with those of the Log.
type Attempt struct {
	log    *Log
	record *record
}

// MaxResponseBytes returns the maximum size of a response body that is stored.
func (a *Attempt) MaxResponseBytes() int { return a.log.cfg.MaxResponseBytes }

// MarkRunning records that the request is about to be sent to the server. It returns
// false if the record was dropped because the tenure has ended; the request must then
// not be run.
func (a *Attempt) MarkRunning() bool {
	a.log.mu.Lock()
	defer a.log.mu.Unlock()
	if a.record.recordElement == nil {
		return false
	}
	a.record.state = stateRunning
	return true
}

// Abort removes the record of a request that was not run.
func (a *Attempt) Abort() {
	a.log.mu.Lock()
	defer a.log.mu.Unlock()
	a.log.dropRecord(a.record)
}

// MarkCompleted records that the request was run, and stores its response unless it is
// nil, its body is larger than MaxResponseBytes, or the record was dropped.
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

// MarkOutcomeUnknown records that the request may have run.
func (a *Attempt) MarkOutcomeUnknown() {
	a.log.mu.Lock()
	defer a.log.mu.Unlock()
	a.record.state = stateOutcomeUnknown
}
