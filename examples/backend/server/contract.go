package server

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/boragegate/boragegate/ownership"
)

const (
	// maxReplyDelay is the maximum time for which the reply to a renewal is delayed.
	maxReplyDelay = 5 * time.Second
	// maxContractBody is the maximum size of the body of a contract request in
	// bytes. The grants of 65,536 partitions fit.
	maxContractBody = 8 << 20
	// maxPartition is the exclusive upper limit of partition numbers. Without it, the server
	// could loop for a long time over a malformed range.
	maxPartition = 1 << 16
)

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func (s *Server) handleLease(w http.ResponseWriter, r *http.Request) {
	req, ok := s.decodeAndLock(w, r)
	if !ok {
		return
	}
	s.grants.renew(s.now(), req, s.bootID)
	s.grants.applyChanges(req)
	s.mu.Unlock()

	if len(req.Grants) == 0 && len(req.Removals) == 0 && !req.Replace {
		delayReply(r, milliseconds(req.WaitMS))
	}
	s.mu.Lock()
	if req.Term < s.grants.term {
		s.refuseStaleTerm(w)
		return
	}
	reply := s.reply(false)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, reply)
}

func (s *Server) handleRelease(w http.ResponseWriter, r *http.Request) {
	req, ok := s.decodeAndLock(w, r)
	if !ok {
		return
	}
	s.grants.applyChanges(ownership.ServerRequest{SetVersion: req.SetVersion, Removals: req.Removals})
	for s.grants.hasInFlight(req.Removals) {
		requestEnded := s.grants.requestEnded
		s.mu.Unlock()
		select {
		case <-requestEnded:
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
	reply := s.reply(true)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, reply)
}

func (s *Server) handleDrain(w http.ResponseWriter, r *http.Request) {
	_, ok := s.decodeAndLock(w, r)
	if !ok {
		return
	}
	s.grants.draining = true
	reply := s.reply(false)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, reply)
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]string{"state": s.grants.state(), "boot": s.bootID})
}

// loadReply is the body of the reply of the load endpoint. AgeMS is always 0, because the
// values are current.
type loadReply struct {
	InFlight    int     `json:"in_flight"`
	Queued      int     `json:"queued"`
	Utilization float64 `json:"utilization"`
	AgeMS       int64   `json:"age_ms"`
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, loadReply{
		InFlight:    s.running,
		Queued:      s.queued,
		Utilization: float64(s.running) / float64(s.cfg.Slots),
	})
}

// reply returns the current state of the server for a reply of the contract. The
// caller must hold the mutex.
func (s *Server) reply(released bool) ownership.ServerReply {
	return ownership.ServerReply{
		BootID:     s.bootID,
		Stamp:      stampOf(s.now()),
		Term:       s.grants.term,
		SetVersion: s.grants.setVersion,
		MaxEpoch:   s.grants.maxEpoch,
		InFlight:   s.running,
		State:      s.grants.state(),
		Released:   released,
	}
}

// refuseStaleTerm unlocks the mutex and sends a reply which says that the term of the
// request is lower than the highest term seen. The caller must hold the mutex.
func (s *Server) refuseStaleTerm(w http.ResponseWriter) {
	term := s.grants.term
	s.mu.Unlock()
	writeJSON(w, http.StatusConflict, map[string]any{"error": "stale-term", "term": term})
}

// delayReply waits for the duration, but not longer than maxReplyDelay, or until
// the request is cancelled.
func delayReply(r *http.Request, d time.Duration) {
	t := time.NewTimer(min(d, maxReplyDelay))
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

// decodeAndLock decodes a request and locks the mutex if the term is not stale.
// Otherwise it sends an error reply, returns false and leaves the mutex
// unlocked.
func (s *Server) decodeAndLock(w http.ResponseWriter, r *http.Request) (ownership.ServerRequest, bool) {
	req, ok := decode(w, r)
	if !ok {
		return req, false
	}
	s.mu.Lock()
	if !s.grants.acceptTerm(req.Term) {
		s.refuseStaleTerm(w)
		return req, false
	}
	return req, true
}

func decode(w http.ResponseWriter, r *http.Request) (ownership.ServerRequest, bool) {
	var req ownership.ServerRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxContractBody)).Decode(&req)
	if err != nil || !validRanges(req.Grants) || !validRanges(req.Removals) {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return req, false
	}
	return req, true
}

func validRanges(ranges []ownership.PartitionRange) bool {
	for _, rg := range ranges {
		if rg.From < 0 || rg.To < rg.From || rg.To >= maxPartition {
			return false
		}
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header()["Date"] = nil // saves bytes: most of the control traffic is renewals
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
