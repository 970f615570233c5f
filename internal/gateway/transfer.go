package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/boragegate/boragegate/idempotency"
)

const (
	// recordsPath is the path on the forward listener from which the next
	// controller of partitions fetches their records. No service can be called "-".
	recordsPath = "/-/records"
	// maxRecordsBytes is the maximum size in bytes of a request or a reply for
	// records.
	maxRecordsBytes = 64 << 20
)

// recordsRequest is a request for the records of partitions at a target.
type recordsRequest struct {
	Target     string      `msgpack:"t"`
	Partitions []tenureRef `msgpack:"p"`
}

// tenureRef identifies a partition and the tenure whose records are requested.
type tenureRef struct {
	Partition int    `msgpack:"p"`
	Term      uint64 `msgpack:"n"`
	Epoch     uint64 `msgpack:"e"`
}

// recordsReply holds the records of the partitions that can be handed over now.
type recordsReply struct {
	Exports map[int]idempotency.Export `msgpack:"x"`
}

// recordSource is a target at its previous controller.
type recordSource struct {
	local   bool
	address string
	target  string
}

// importRecords takes over the records of partitions, with one request per
// source. Records that cannot be fetched are requested again at the next poll.
func (t *tenures) importRecords(ctx context.Context, states map[targetPartition]*tenureState) {
	bySource := make(map[recordSource][]targetPartition)
	for tp, s := range states {
		source := recordSource{s.previousOwner.target.Local, s.previousOwner.target.ForwardAddress, s.previousOwner.target.Row.ID()}
		bySource[source] = append(bySource[source], tp)
	}
	for source, partitions := range bySource {
		req := recordsRequest{Target: source.target}
		for _, tp := range partitions {
			previousTenure := states[tp].previousOwner.tenure
			req.Partitions = append(req.Partitions, tenureRef{tp.partition, previousTenure.Term, previousTenure.Epoch})
		}
		reply, err := t.fetchRecords(ctx, source, req)
		if err != nil {
			t.gateway.cfg.Logger.Debug().Str("event", "records.not-taken-over").Str("target", source.target).Err(err).Send()
			continue
		}
		for _, tp := range partitions {
			if export, ok := reply.Exports[tp.partition]; ok {
				s := states[tp]
				t.makeReady(tp, s, func(l *idempotency.Log) { l.Import(tp.partition, s.tenure, export) })
			}
		}
	}
}

func (t *tenures) fetchRecords(ctx context.Context, source recordSource, req recordsRequest) (recordsReply, error) {
	g := t.gateway
	if source.local {
		return g.exportRecords(req), nil
	}
	body, err := msgpack.Marshal(req)
	if err != nil {
		return recordsReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, g.cfg.TakeoverTimeout/2)
	defer cancel()
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, g.cfg.ForwardScheme+"://"+source.address+recordsPath, bytes.NewReader(body))
	if err != nil {
		return recordsReply{}, err
	}
	httpReq.GetBody = nil // an export removes the records, so the transport must not retry by itself
	resp, err := g.cfg.ForwardTransport.RoundTrip(httpReq)
	if err != nil {
		return recordsReply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var reply recordsReply
	return reply, msgpack.NewDecoder(io.LimitReader(resp.Body, maxRecordsBytes)).Decode(&reply)
}

// serveRecords exports records to the next controller of partitions.
func (g *Gateway) serveRecords(w http.ResponseWriter, r *http.Request) {
	var req recordsRequest
	if err := msgpack.NewDecoder(io.LimitReader(r.Body, maxRecordsBytes)).Decode(&req); err != nil {
		notRun(http.StatusBadRequest, "malformed", "not a request for records").write(w, "")
		return
	}
	body, err := msgpack.Marshal(g.exportRecords(req))
	if err != nil {
		unavailable("internal", err.Error()).write(w, "")
		return
	}
	w.Header().Set("Content-Type", "application/vnd.msgpack")
	_, _ = w.Write(body)
}

// exportRecords ends the tenures and returns the records of those with nothing in
// flight whose last request ended within the export window.
func (g *Gateway) exportRecords(req recordsRequest) recordsReply {
	reply := recordsReply{Exports: make(map[int]idempotency.Export)}
	v, ok := g.targets.m.Load(req.Target)
	if !ok {
		return reply
	}
	t := v.(*target)
	for _, p := range req.Partitions {
		tenure := idempotency.Tenure{Term: p.Term, Epoch: p.Epoch}
		sinceDrained, drained := t.inflight.handOver(p.Partition, tenure)
		if !drained || sinceDrained > g.cfg.exportWindow() {
			continue
		}
		if export, ok := t.idempotencyLog.Export(p.Partition, tenure); ok {
			reply.Exports[p.Partition] = export
		}
	}
	return reply
}
