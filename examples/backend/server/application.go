package server

import (
	"net/http"
	"strconv"
	"time"

	"github.com/boragegate/boragegate/lease"
)

// Headers of the backend contract, and the value of the outcome header for a
// request that had no effect.
const (
	headerKey            = "Boragegate-Key"
	headerPartition      = "Boragegate-Partition"
	headerEpoch          = "Boragegate-Epoch"
	headerOutcome        = "Boragegate-Outcome"
	headerIdempotencyKey = "Idempotency-Key"
	outcomeNotRun        = "not-run"
)

func stampOf(i lease.Instant) lease.Stamp { return lease.Stamp(i) } //nolint:gosec // instants are not negative

// applicationReply is the body of the replies of the sample application.
type applicationReply struct {
	Target string `json:"target"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key,omitempty"`
	Epoch  uint64 `json:"epoch,omitempty"`
	// Count is the number of changes to the key on this server.
	Count uint64 `json:"count"`
}

func (s *Server) handleApplication(w http.ResponseWriter, r *http.Request) {
	finish, status := s.admit(r)
	if status != 0 {
		refuse(w, status)
		return
	}
	defer finish()
	begin := time.Now()
	select {
	case <-time.After(s.cfg.WorkTime):
	case <-r.Context().Done():
		return
	}
	s.pauser.waitWhilePaused()
	// The time is read before the lease is checked, so that an effect is never
	// recorded as later than the lease that permitted it.
	end := time.Now()
	count, ok := s.commit(r)
	if !ok {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	s.observe(r, begin, end)
	writeJSON(w, http.StatusOK, applicationReply{
		Target: s.cfg.Target,
		Method: r.Method,
		Path:   r.URL.Path,
		Key:    r.Header.Get(headerKey),
		Epoch:  epochOf(r),
		Count:  count,
	})
}

// admit checks the grant for a request and waits for a slot. It returns a function
// that frees the slot, or the HTTP status with which the request is refused.
func (s *Server) admit(r *http.Request) (func(), int) {
	partition, needsGrant := s.requiredPartition(r)
	s.mu.Lock()
	if needsGrant && !s.grants.holds(s.now(), partition, epochOf(r)) {
		s.mu.Unlock()
		return nil, http.StatusMisdirectedRequest
	}
	if s.queued >= s.cfg.QueueLimit {
		s.mu.Unlock()
		return nil, http.StatusServiceUnavailable
	}
	if needsGrant {
		s.grants.beginRequest(partition)
	}
	s.queued++
	s.mu.Unlock()

	admitted := true
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		admitted = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued--
	if !admitted {
		if needsGrant {
			s.grants.endRequest(partition)
		}
		return nil, http.StatusServiceUnavailable
	}
	s.running++
	return func() { s.finish(partition, needsGrant) }, 0
}

// finish frees the slot of a request. If the request needed a grant, it is no longer
// counted as in flight for its partition.
func (s *Server) finish(partition int, needsGrant bool) {
	<-s.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if needsGrant {
		s.grants.endRequest(partition)
	}
}

// commit checks the lease again and applies the effect of the request. A request
// that began before its partition was removed still takes effect, because the
// release waits for it. commit returns the count of the key, and whether the request is
// permitted.
func (s *Server) commit(r *http.Request) (uint64, bool) {
	partition, needsGrant := s.requiredPartition(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if needsGrant && (!s.grants.holder.Valid(s.now()) || s.grants.highestEpochs[partition] != epochOf(r)) {
		return 0, false
	}
	key := r.Header.Get(headerKey)
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		s.keys[key]++
	}
	return s.keys[key], true
}

func (s *Server) observe(r *http.Request, begin, end time.Time) {
	if s.cfg.Observe == nil {
		return
	}
	partition, _ := partitionOf(r)
	s.cfg.Observe(Effect{
		Service:        s.cfg.Service,
		Target:         s.cfg.Target,
		Key:            r.Header.Get(headerKey),
		Partition:      partition,
		Epoch:          epochOf(r),
		Method:         r.Method,
		IdempotencyKey: r.Header.Get(headerIdempotencyKey),
		Begin:          begin,
		End:            end,
	})
}

// refuse sends a reply which says that the request was not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(headerOutcome, outcomeNotRun)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(status)
}

// requiredPartition returns the partition that must be granted to the server so that
// it may run the request, and whether the request needs a grant.
func (s *Server) requiredPartition(r *http.Request) (int, bool) {
	partition, hasPartition := partitionOf(r)
	return partition, hasPartition && !s.cfg.IgnoreGrants
}

func partitionOf(r *http.Request) (int, bool) {
	p, err := strconv.Atoi(r.Header.Get(headerPartition))
	return p, err == nil
}

func epochOf(r *http.Request) uint64 {
	e, _ := strconv.ParseUint(r.Header.Get(headerEpoch), 10, 64)
	return e
}
