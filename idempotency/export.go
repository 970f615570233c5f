package idempotency

import "time"

// Export holds the records of a partition, for transfer to its next controller.
type Export struct {
	// TenureStartMS is the start of the tenure. EvictionHorizonMS is the latest time of
	// issue of the keys whose records were evicted, or 0 if there are none. Both are Unix
	// times in milliseconds.
	TenureStartMS     int64          `msgpack:"s"`
	EvictionHorizonMS int64          `msgpack:"h"`
	Records           []ExportRecord `msgpack:"r"`
}

// ExportRecord is the exported record of one key.
type ExportRecord struct {
	Key         string `msgpack:"k"`
	Fingerprint uint64 `msgpack:"f"`
	// OutcomeUnknown means that the request may have run but is not known to have completed.
	OutcomeUnknown bool `msgpack:"u,omitempty"`
	// Response is the stored response, or nil if there is none.
	Response *Response `msgpack:"a,omitempty"`
}

// Export removes the records of a partition and returns them for its next controller.
// The caller must first make sure that no request is in flight and that no further
// request is admitted under the tenure. Export returns false if the tenure is not the
// current one of the partition in this log.
func (l *Log) Export(p int, t Tenure) (Export, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	part := l.partitions[p]
	if part == nil || part.tenure != t {
		return Export{}, false
	}
	export := Export{TenureStartMS: part.tenureStart.UnixMilli(), EvictionHorizonMS: unixMilli(part.evictionHorizon)}
	for _, r := range part.records {
		if r.state == statePending {
			continue // not sent; MarkRunning returns false, and the caller aborts it
		}
		export.Records = append(export.Records, ExportRecord{
			Key: r.key, Fingerprint: r.fingerprint, OutcomeUnknown: r.state != stateCompleted, Response: r.response,
		})
	}
	l.dropPartition(p)
	return export, true
}

// unixMilli returns t in Unix milliseconds, or 0 if t is zero.
func unixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// Import starts a tenure that continues the preceding one: it takes over both the records
// and the start of that tenure.
func (l *Log) Import(p int, t Tenure, export Export) {
	l.mu.Lock()
	defer l.mu.Unlock()
	part := l.startTenure(p, t, time.UnixMilli(export.TenureStartMS))
	if export.EvictionHorizonMS != 0 {
		part.evictionHorizon = time.UnixMilli(export.EvictionHorizonMS)
	}
	for _, r := range export.Records {
		l.importRecord(part, r)
	}
}

// importRecord adds an exported record. If there is no room for it, the eviction horizon is
// advanced, so that the key is rejected nevertheless.
func (l *Log) importRecord(part *partition, exported ExportRecord) {
	issued, err := IssueTime(exported.Key)
	if err != nil {
		return
	}
	if !l.makeRoom() {
		if issued.After(part.evictionHorizon) {
			part.evictionHorizon = issued
		}
		return
	}
	r := &record{key: exported.Key, issued: issued, fingerprint: exported.Fingerprint, state: stateCompleted, response: exported.Response, partition: part}
	if exported.OutcomeUnknown {
		r.state = stateOutcomeUnknown
	}
	l.addRecord(r)
}
