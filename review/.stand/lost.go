package main

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// slowTarget runs every request until its work is done or its time budget is over.
type slowTarget struct {
	w    *world
	id   string
	work time.Duration
	// loses reports whether the connection ends in place of the next answer; nil means never.
	loses func() bool

	mu  *sync.Mutex
	ran map[string]bool
}

func (t *slowTarget) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(idHeader)
	rw.Header().Set(idHeader, id)
	if expected := r.Header.Get(expectHeader); expected != "" && expected != t.id {
		rw.Header().Set(notRunHeader, "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	budget := time.Minute
	if ms, err := strconv.Atoi(r.Header.Get(budgetHeader)); err == nil {
		budget = time.Duration(ms) * time.Millisecond
	}
	t.mu.Lock()
	t.ran[id] = true
	t.mu.Unlock()
	t.w.logf("target %s runs %s, budget %s", t.id, id, budget)
	status := http.StatusOK
	if t.work > budget {
		status = http.StatusGatewayTimeout
	}
	select {
	case <-time.After(min(t.work, budget)):
	case <-r.Context().Done():
		t.w.logf("target %s: connection of %s closed", t.id, id)
		return
	}
	if t.loses != nil && t.loses() {
		t.w.logf("target %s loses its answer %d to %s", t.id, status, id)
		if conn, _, err := http.NewResponseController(rw).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	rw.Header().Set(stampHeader, "stamp-"+id)
	rw.Header().Set(loadHeader, "1,0,6")
	rw.WriteHeader(status)
	_, _ = rw.Write([]byte("done " + id))
	t.w.logf("target %s answers %d to %s", t.id, status, id)
}

const (
	lostTargets = 4
	// lostShare is the share of the targets that lose answers, and lostFraction the part of its answers that one loses.
	lostShare, lostFraction = 0.5, 0.4
	// Answers are lost for lostFor in each lostEvery.
	lostFor, lostEvery = 5500 * time.Millisecond, 9 * time.Second
	lostRequests       = 1600
	lostInterval       = 25 * time.Millisecond
)

// playLost sends requests that may run once and last longer than the timeout of their route. With trouble, some of the
// targets lose a part of their answers. It returns the number of requests that were answered as not run although they ran.
func playLost(w *world) (bad int, err error) {
	var mu sync.Mutex
	ran := map[string]bool{}
	w.putConfig(7, map[string]bool{"foglalas": false}, route{
		name: "booking-actions", prefix: "/lepu270/", kind: "unsafe", service: "foglalas",
		timeout: 1200 * time.Millisecond, objective: 400 * time.Millisecond, maxAttempts: 2,
	})
	started := time.Now()
	for i := range lostTargets {
		id := "i-7f3a91c" + strconv.Itoa(i)
		t := &slowTarget{w: w, id: id, work: 1440 * time.Millisecond, mu: &mu, ran: ran}
		if w.trouble && i < lostShare*lostTargets {
			t.loses = func() bool { return time.Since(started)%lostEvery < lostFor && rand.Float64() < lostFraction }
		}
		if err := w.startTarget(id, "foglalas", 24, t); err != nil {
			return 0, err
		}
	}
	if err := w.startInstances(2); err != nil {
		return 0, err
	}
	c := newClient(w)
	var wg sync.WaitGroup
	statuses := map[int]int{}
	for i := range lostRequests {
		m := &w.instances[i%2].machine
		wg.Go(func() {
			a := c.send(m.Address(m.CallerPort), http.MethodPost, "/lepu270/2f", 2500*time.Millisecond, []byte("booking"))
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
			if promisesNotRun(a.status) && ran[a.id] {
				bad++
				w.logf("BROKEN: %s has run and is answered %d", a.id, a.status)
			}
		})
		time.Sleep(lostInterval)
	}
	wg.Wait()
	w.logf("answers by status: %v; answered as not run although they ran: %d", statuses, bad)
	return bad, nil
}

// promisesNotRun reports whether a status promises that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
