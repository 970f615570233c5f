package idempotency

import (
	"container/list"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// requestState is the progress of a request.
type requestState uint8

const (
	statePending requestState = iota // not yet sent to the server
	stateRunning
	stateCompleted
	stateOutcomeUnknown
)

// record is the state of the request with one key.
type record struct {
	key             string
	issued          time.Time
	fingerprint     uint64
	state           requestState
	response        *Response
	partition       *partition
	recordElement   *list.Element // element of Log.recordList, nil if the record was dropped
	responseElement *list.Element // element of Log.responseList, nil if no response is stored
}

// Tenure identifies an uninterrupted time in which one instance is responsible for a
// partition.
type Tenure struct {
	Term  uint64
	Epoch uint64
}

// partition holds the records of one partition.
type partition struct {
	tenure          Tenure
	tenureStart     time.Time // requests with keys issued before tenureStart plus Config.Skew may have been run before the tenure
	evictionHorizon time.Time // keys issued up to this time may have had a record that was evicted; zero if none was
	records         map[string]*record
}

// Log holds the records of idempotency keys of the partitions of one target. It is
// safe for concurrent use.
type Log struct {
	cfg   Config
	clock clockwork.Clock

	mu            sync.Mutex
	partitions    map[int]*partition
	recordList    list.List // of *record, in order of addition
	responseList  list.List // of *record with a stored response, oldest response first
	responseBytes int
}

// NewLog returns an empty Log. Zero fields of cfg are set to their defaults.
func NewLog(cfg Config, clock clockwork.Clock) *Log {
	return &Log{cfg: cfg.withDefaults(), clock: clock, partitions: make(map[int]*partition)}
}

// StartTenure starts a tenure of a partition. The caller must know that no other instance has
// run requests for the partition after start. The records of an earlier tenure are dropped.
func (l *Log) StartTenure(p int, t Tenure, start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startTenure(p, t, start)
}

func (l *Log) startTenure(p int, t Tenure, start time.Time) *partition {
	l.dropPartition(p)
	part := &partition{tenure: t, tenureStart: start, records: make(map[string]*record)}
	l.partitions[p] = part
	return part
}

func (l *Log) dropPartition(p int) {
	part := l.partitions[p]
	if part == nil {
		return
	}
	for _, r := range part.records {
		l.dropRecord(r)
	}
	delete(l.partitions, p)
}

// Len returns the number of records.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recordList.Len()
}

// Begin records a request before it is run. It returns an Attempt if the request may
// be run, the stored response if it was run before, or one of the errors of this
// package. The fingerprint must differ between different requests with the same key. If
// t is not the current tenure of the partition in this log, Begin starts it with the
// current time and drops the records of the earlier tenure.
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
		resp, err := r.retryResult(fingerprint)
		return nil, resp, err
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

// retryResult returns the result of Begin for a request whose key has a record.
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

// checkIssueTime checks the time of issue of a key without a record. It returns nil,
// ErrIssuedInFuture, or ErrTooOld if the key may have been used before.
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

// storeResponse adds the response to a record, and drops the oldest responses while
// their total size exceeds Config.MaxTotalResponseBytes.
func (l *Log) storeResponse(r *record, resp *Response) {
	if resp == nil {
		return
	}
	r.response, r.responseElement = resp, l.responseList.PushBack(r)
	l.responseBytes += resp.size()
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

// dropExpired drops the oldest records, up to the first whose request is in progress or
// whose key is younger than Config.Retention. The keys of the dropped records are still
// rejected, because of their age.
func (l *Log) dropExpired(now time.Time) {
	for element := l.recordList.Front(); element != nil; element = l.recordList.Front() {
		r := element.Value.(*record)
		if r.state <= stateRunning || r.issued.After(now.Add(-l.cfg.Retention)) {
			return
		}
		l.dropRecord(r)
	}
}

// makeRoom evicts the oldest record if the log is full. It advances the eviction
// horizon of the record's partition, so that the key is still rejected. It returns
// false if the request of the oldest record is in progress.
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
