package idempotency

// Attempt is the record of a request that this instance may run.
type Attempt struct {
	log    *Log
	record *record
}

// MaxAnswer is the size in bytes of the largest answer body that is kept.
func (e *Attempt) MaxAnswer() int { return e.log.cfg.MaxAnswer }

// Run notes that the request is about to be sent. It returns false if the
// record was dropped, because the tenure has ended; then the request must not run.
func (e *Attempt) Run() bool {
	e.log.mu.Lock()
	defer e.log.mu.Unlock()
	if e.record.place == nil {
		return false
	}
	e.record.state = stateRunning
	return true
}

// Abort removes the record of a request that did not run.
func (e *Attempt) Abort() {
	e.log.mu.Lock()
	defer e.log.mu.Unlock()
	e.log.drop(e.record)
}

// Done notes that the request was run. The answer is nil if it is not kept.
func (e *Attempt) Done(a *Answer) {
	l := e.log
	l.mu.Lock()
	defer l.mu.Unlock()
	r := e.record
	r.state = stateDone
	if r.place == nil || a == nil || len(a.Body) > l.cfg.MaxAnswer {
		return
	}
	l.keep(r, a)
}

// Unknown notes that the request may have run.
func (e *Attempt) Unknown() {
	e.log.mu.Lock()
	defer e.log.mu.Unlock()
	e.record.state = stateUnknown
}
