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
	// recordsPath is the path of the forward listener from which the next
	// controller of partitions fetches their records. No service can be called "-".
	recordsPath = "/-/records"
	// maxRecords is the maximum size in bytes of a message with records.
	maxRecords = 64 << 20
)

// recordsRequest requests the records of partitions at a target.
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
	wanted := make(map[recordSource][]targetPartition)
	for at, s := range states {
		from := recordSource{s.previousOwner.target.Local, s.previousOwner.target.ForwardAddress, s.previousOwner.target.Row.ID()}
		wanted[from] = append(wanted[from], at)
	}
	for from, places := range wanted {
		req := recordsRequest{Target: from.target}
		for _, at := range places {
			previousTenure := states[at].previousOwner.tenure
			req.Partitions = append(req.Partitions, tenureRef{at.partition, previousTenure.Term, previousTenure.Epoch})
		}
		reply, err := t.fetchRecords(ctx, from, req)
		if err != nil {
			t.gateway.cfg.Logger.Debug().Str("event", "records.not-taken-over").Str("target", from.target).Err(err).Send()
			continue
		}
		for _, at := range places {
			if x, ok := reply.Exports[at.partition]; ok {
				s := states[at]
				t.openLog(at, s, func(l *idempotency.Log) { l.Import(at.partition, s.tenure, x) })
			}
		}
	}
}

func (t *tenures) fetchRecords(ctx context.Context, from recordSource, req recordsRequest) (recordsReply, error) {
	g := t.gateway
	if from.local {
		return g.exportRecords(req), nil
	}
	body, err := msgpack.Marshal(req)
	if err != nil {
		return recordsReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, g.cfg.TakeoverTimeout/2)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, g.cfg.ForwardScheme+"://"+from.address+recordsPath, bytes.NewReader(body))
	if err != nil {
		return recordsReply{}, err
	}
	hr.GetBody = nil // records are exported once, so the transport must not retry by itself
	resp, err := g.cfg.ForwardTransport.RoundTrip(hr)
	if err != nil {
		return recordsReply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var reply recordsReply
	return reply, msgpack.NewDecoder(io.LimitReader(resp.Body, maxRecords)).Decode(&reply)
}

// serveRecords exports records to the next controller of partitions.
func (g *Gateway) serveRecords(w http.ResponseWriter, r *http.Request) {
	var req recordsRequest
	if err := msgpack.NewDecoder(io.LimitReader(r.Body, maxRecords)).Decode(&req); err != nil {
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

// exportRecords ends the tenures and returns the records of those that have had nothing
// in flight for a time within the export window.
func (g *Gateway) exportRecords(req recordsRequest) recordsReply {
	reply := recordsReply{Exports: make(map[int]idempotency.Export)}
	v, ok := g.targets.m.Load(req.Target)
	if !ok {
		return reply
	}
	t := v.(*target)
	for _, p := range req.Partitions {
		tenure := idempotency.Tenure{Term: p.Term, Epoch: p.Epoch}
		idle, drained := t.inflight.handOver(p.Partition, tenure)
		if !drained || idle > g.cfg.exportWindow() {
			continue
		}
		if x, ok := t.log.Export(p.Partition, tenure); ok {
			reply.Exports[p.Partition] = x
		}
	}
	return reply
}
