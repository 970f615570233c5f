package idempotency

import (
	"container/list"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// state is how far a request has come.
type state uint8

const (
	statePending state = iota // not yet sent to the server
	stateRunning
	stateDone
	stateUnknown
)

// record is what is known of one key.
type record struct {
	key         string
	issued      time.Time
	fingerprint uint64
	state       state
	answer      *Answer
	partition   *partition
	place       *list.Element
	kept        *list.Element // place among the records whose answer is kept
}

// Tenure identifies an uninterrupted time in which one instance answers for a partition.
type Tenure struct {
	Term  uint64
	Epoch uint64
}

// partition holds the records of one partition.
type partition struct {
	tenure  Tenure
	start   time.Time // keys issued before start plus skew may have run before
	horizon time.Time // keys issued up to the horizon may have had a record
	records map[string]*record
}

// Log holds the records of the partitions of one target. It is safe for
// concurrent use.
type Log struct {
	cfg   Config
	clock clockwork.Clock

	mu         sync.Mutex
	partitions map[int]*partition
	order      list.List // of *record, oldest first
	answers    list.List // of *record with an answer, oldest first
	bytes      int
}

// NewLog returns an empty log.
func NewLog(cfg Config, clock clockwork.Clock) *Log {
	return &Log{cfg: cfg.withDefaults(), clock: clock, partitions: make(map[int]*partition)}
}

// Start begins a tenure at the time since which no other instance can have run
// requests for the partition. The records of an earlier tenure are dropped.
func (l *Log) Start(p int, t Tenure, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start(p, t, at)
}

func (l *Log) start(p int, t Tenure, at time.Time) *partition {
	l.forget(p)
	fresh := &partition{tenure: t, start: at, records: make(map[string]*record)}
	l.partitions[p] = fresh
	return fresh
}

func (l *Log) forget(p int) {
	old := l.partitions[p]
	if old == nil {
		return
	}
	for _, r := range old.records {
		l.drop(r)
	}
	delete(l.partitions, p)
}

// Len is the number of records.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.order.Len()
}

// Begin notes a request before it is run. It returns an Attempt if the request
// may run, the answer if it was run before, or an error that wraps one of the
// errors of this package.
func (l *Log) Begin(p int, t Tenure, key string, fingerprint uint64) (*Attempt, *Answer, error) {
	issued, err := IssueTime(key)
	if err != nil {
		return nil, nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.expire(now)
	part := l.partitions[p]
	if part == nil || part.tenure != t {
		part = l.start(p, t, now)
	}
	if r := part.records[key]; r != nil {
		answer, err := r.repeated(fingerprint)
		return nil, answer, err
	}
	if err := l.judge(now, part, issued); err != nil {
		return nil, nil, err
	}
	if !l.makeRoom() {
		return nil, nil, ErrFull
	}
	r := &record{key: key, issued: issued, fingerprint: fingerprint, partition: part}
	l.add(r)
	return &Attempt{log: l, record: r}, nil, nil
}

// repeated says what to answer to a request whose key has a record.
func (r *record) repeated(fingerprint uint64) (*Answer, error) {
	switch {
	case r.fingerprint != fingerprint:
		return nil, ErrConflict
	case r.state == statePending || r.state == stateRunning:
		return nil, ErrInProgress
	case r.state == stateUnknown:
		return nil, ErrUnknown
	case r.answer == nil:
		return nil, ErrAlreadyRun
	}
	return r.answer, nil
}

// judge decides on a key without a record by its time of issue.
func (l *Log) judge(now time.Time, part *partition, issued time.Time) error {
	switch {
	case issued.After(now.Add(l.cfg.Skew)):
		return ErrAhead
	case issued.Before(part.start.Add(l.cfg.Skew)),
		!issued.After(part.horizon),
		!issued.After(now.Add(-l.cfg.Retention)):
		return ErrTooOld
	}
	return nil
}

func (l *Log) add(r *record) {
	r.partition.records[r.key] = r
	r.place = l.order.PushBack(r)
	l.keep(r, r.answer)
}

// keep adds the answer to a record, and drops the oldest answers beyond the limit.
func (l *Log) keep(r *record, a *Answer) {
	if a == nil {
		return
	}
	r.answer, r.kept = a, l.answers.PushBack(r)
	l.bytes += a.size()
	for l.bytes > l.cfg.MaxBytes {
		l.dropAnswer(l.answers.Front().Value.(*record))
	}
}

func (l *Log) dropAnswer(r *record) {
	if r.kept == nil {
		return
	}
	l.bytes -= r.answer.size()
	l.answers.Remove(r.kept)
	r.answer, r.kept = nil, nil
}

func (l *Log) drop(r *record) {
	if r.place == nil {
		return
	}
	delete(r.partition.records, r.key)
	l.order.Remove(r.place)
	r.place = nil
	l.dropAnswer(r)
}

// expire drops ended records whose keys are refused by their age alone.
func (l *Log) expire(now time.Time) {
	for e := l.order.Front(); e != nil; e = l.order.Front() {
		r := e.Value.(*record)
		if r.state <= stateRunning || r.issued.After(now.Add(-l.cfg.Retention)) {
			return
		}
		l.drop(r)
	}
}

// makeRoom drops the oldest record if the log is full, and moves the horizon of
// its partition, so that its key is still refused.
func (l *Log) makeRoom() bool {
	if l.order.Len() < l.cfg.MaxRecords {
		return true
	}
	r := l.order.Front().Value.(*record)
	if r.state <= stateRunning {
		return false
	}
	if r.issued.After(r.partition.horizon) {
		r.partition.horizon = r.issued
	}
	l.drop(r)
	return true
}
