package idempotency

import "time"

// Export is what is known of a partition, for its next controller.
type Export struct {
	// Start and Horizon are Unix times in milliseconds.
	Start   int64          `msgpack:"s"`
	Horizon int64          `msgpack:"h"`
	Records []ExportRecord `msgpack:"r"`
}

// ExportRecord is the record of one key.
type ExportRecord struct {
	Key         string  `msgpack:"k"`
	Fingerprint uint64  `msgpack:"f"`
	Unknown     bool    `msgpack:"u,omitempty"`
	Answer      *Answer `msgpack:"a,omitempty"`
}

// Export returns and drops the records of a partition for its next controller.
// The caller has made sure that nothing is in flight and that nothing is
// admitted any more under the tenure. It returns false if the log does not have
// the tenure.
func (l *Log) Export(p int, t Tenure) (Export, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	part := l.partitions[p]
	if part == nil || part.tenure != t {
		return Export{}, false
	}
	x := Export{Start: part.start.UnixMilli(), Horizon: unixMilli(part.horizon)}
	for _, r := range part.records {
		if r.state == statePending {
			continue // will be aborted
		}
		x.Records = append(x.Records, ExportRecord{
			Key: r.key, Fingerprint: r.fingerprint, Unknown: r.state != stateDone, Answer: r.answer,
		})
	}
	l.forget(p)
	return x, true
}

func unixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// Import starts a tenure with the records of an earlier one, and with its start.
func (l *Log) Import(p int, t Tenure, x Export) {
	l.mu.Lock()
	defer l.mu.Unlock()
	part := l.start(p, t, time.UnixMilli(x.Start))
	if x.Horizon != 0 {
		part.horizon = time.UnixMilli(x.Horizon)
	}
	for _, r := range x.Records {
		l.importRecord(part, r)
	}
}

func (l *Log) importRecord(part *partition, x ExportRecord) {
	issued, err := IssueTime(x.Key)
	if err != nil {
		return
	}
	if !l.makeRoom() {
		if issued.After(part.horizon) {
			part.horizon = issued
		}
		return
	}
	r := &record{key: x.Key, issued: issued, fingerprint: x.Fingerprint, state: stateDone, answer: x.Answer, partition: part}
	if x.Unknown {
		r.state = stateUnknown
	}
	l.add(r)
}
