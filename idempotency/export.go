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
	Key            string    `msgpack:"k"`
	Fingerprint    uint64    `msgpack:"f"`
	OutcomeUnknown bool      `msgpack:"u,omitempty"`
	Response       *Response `msgpack:"a,omitempty"`
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
	x := Export{Start: part.tenureStart.UnixMilli(), Horizon: unixMilli(part.evictionHorizon)}
	for _, r := range part.records {
		if r.state == statePending {
			continue // will be aborted
		}
		x.Records = append(x.Records, ExportRecord{
			Key: r.key, Fingerprint: r.fingerprint, OutcomeUnknown: r.state != stateCompleted, Response: r.response,
		})
	}
	l.dropPartition(p)
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
	part := l.startTenure(p, t, time.UnixMilli(x.Start))
	if x.Horizon != 0 {
		part.evictionHorizon = time.UnixMilli(x.Horizon)
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
		if issued.After(part.evictionHorizon) {
			part.evictionHorizon = issued
		}
		return
	}
	r := &record{key: x.Key, issued: issued, fingerprint: x.Fingerprint, state: stateCompleted, response: x.Response, partition: part}
	if x.OutcomeUnknown {
		r.state = stateOutcomeUnknown
	}
	l.addRecord(r)
}
