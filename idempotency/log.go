package idempotency

import (
	"container/list"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// requestState is how far a request has come.
type requestState uint8

const (
	statePending requestState = iota // not yet sent to the server
	stateRunning
	stateCompleted
	stateOutcomeUnknown
)

// record is what is known of one key.
type record struct {
	key             string
	issued          time.Time
	fingerprint     uint64
	state           requestState
	response        *Response
	partition       *partition
	recordElement   *list.Element
	responseElement *list.Element // place among the records whose answer is kept
}

// Tenure identifies an uninterrupted time in which one instance answers for a partition.
type Tenure struct {
	Term  uint64
	Epoch uint64
}

// partition holds the records of one partition.
type partition struct {
	tenure          Tenure
	tenureStart     time.Time // keys issued before start plus skew may have run before
	evictionHorizon time.Time // keys issued up to the horizon may have had a record
	records         map[string]*record
}

// Log holds the records of the partitions of one target. It is safe for
// concurrent use.
type Log struct {
	cfg   Config
	clock clockwork.Clock

	mu            sync.Mutex
	partitions    map[int]*partition
	recordList    list.List // of *record, oldest first
	responseList  list.List // of *record with an answer, oldest first
	responseBytes int
}

// NewLog returns an empty log.
func NewLog(cfg Config, clock clockwork.Clock) *Log {
	return &Log{cfg: cfg.withDefaults(), clock: clock, partitions: make(map[int]*partition)}
}

// StartTenure begins a tenure at the time since which no other instance can have run
// requests for the partition. The records of an earlier tenure are dropped.
func (l *Log) StartTenure(p int, t Tenure, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startTenure(p, t, at)
}

func (l *Log) startTenure(p int, t Tenure, at time.Time) *partition {
	l.dropPartition(p)
	fresh := &partition{tenure: t, tenureStart: at, records: make(map[string]*record)}
	l.partitions[p] = fresh
	return fresh
}

func (l *Log) dropPartition(p int) {
	old := l.partitions[p]
	if old == nil {
		return
	}
	for _, r := range old.records {
		l.dropRecord(r)
	}
	delete(l.partitions, p)
}

// Len is the number of records.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recordList.Len()
}

// Begin notes a request before it is run. It returns an Attempt if the request
// may run, the answer if it was run before, or an error that wraps one of the
// errors of this package.
func (l *Log) Begin(p int, t Tenure, key string, fingerprint uint64) (*Attempt, *Response, error) {
	issued, err := IssueTime(key)
	if err != nil {
		return nil, nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.dropExpired(now)
	part := l.partitions[p]
	if part == nil || part.tenure != t {
		part = l.startTenure(p, t, now)
	}
	if r := part.records[key]; r != nil {
		answer, err := r.retryResult(fingerprint)
		return nil, answer, err
	}
	if err := l.checkIssueTime(now, part, issued); err != nil {
		return nil, nil, err
	}
	if !l.makeRoom() {
		return nil, nil, ErrTooManyRecords
	}
	r := &record{key: key, issued: issued, fingerprint: fingerprint, partition: part}
	l.addRecord(r)
	return &Attempt{log: l, record: r}, nil, nil
}

// retryResult says what to answer to a request whose key has a record.
func (r *record) retryResult(fingerprint uint64) (*Response, error) {
	switch {
	case r.fingerprint != fingerprint:
		return nil, ErrConflict
	case r.state == statePending || r.state == stateRunning:
		return nil, ErrInProgress
	case r.state == stateOutcomeUnknown:
		return nil, ErrOutcomeUnknown
	case r.response == nil:
		return nil, ErrAlreadyRun
	}
	return r.response, nil
}

// checkIssueTime decides on a key without a record by its time of issue.
func (l *Log) checkIssueTime(now time.Time, part *partition, issued time.Time) error {
	switch {
	case issued.After(now.Add(l.cfg.Skew)):
		return ErrIssuedInFuture
	case issued.Before(part.tenureStart.Add(l.cfg.Skew)),
		!issued.After(part.evictionHorizon),
		!issued.After(now.Add(-l.cfg.Retention)):
		return ErrTooOld
	}
	return nil
}

func (l *Log) addRecord(r *record) {
	r.partition.records[r.key] = r
	r.recordElement = l.recordList.PushBack(r)
	l.storeResponse(r, r.response)
}

// storeResponse adds the answer to a record, and drops the oldest answers beyond the limit.
func (l *Log) storeResponse(r *record, a *Response) {
	if a == nil {
		return
	}
	r.response, r.responseElement = a, l.responseList.PushBack(r)
	l.responseBytes += a.size()
	for l.responseBytes > l.cfg.MaxTotalResponseBytes {
		l.dropResponse(l.responseList.Front().Value.(*record))
	}
}

func (l *Log) dropResponse(r *record) {
	if r.responseElement == nil {
		return
	}
	l.responseBytes -= r.response.size()
	l.responseList.Remove(r.responseElement)
	r.response, r.responseElement = nil, nil
}

func (l *Log) dropRecord(r *record) {
	if r.recordElement == nil {
		return
	}
	delete(r.partition.records, r.key)
	l.recordList.Remove(r.recordElement)
	r.recordElement = nil
	l.dropResponse(r)
}

// dropExpired drops ended records whose keys are refused by their age alone.
func (l *Log) dropExpired(now time.Time) {
	for e := l.recordList.Front(); e != nil; e = l.recordList.Front() {
		r := e.Value.(*record)
		if r.state <= stateRunning || r.issued.After(now.Add(-l.cfg.Retention)) {
			return
		}
		l.dropRecord(r)
	}
}

// makeRoom drops the oldest record if the log is full, and moves the horizon of
// its partition, so that its key is still refused.
func (l *Log) makeRoom() bool {
	if l.recordList.Len() < l.cfg.MaxRecords {
		return true
	}
	r := l.recordList.Front().Value.(*record)
	if r.state <= stateRunning {
		return false
	}
	if r.issued.After(r.partition.evictionHorizon) {
		r.partition.evictionHorizon = r.issued
	}
	l.dropRecord(r)
	return true
}
