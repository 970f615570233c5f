package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const keyCount = 1 << 16

// hold is the hold of a target on a span of keys, by its last grant.
type hold struct {
	fence uint64
	until time.Time
}

// target stands in for a target of a service: it serves requests, and grants and releases of keys.
type target struct {
	id, service, address, zone string
	born                       int64
	sharded                    bool
	work                       time.Duration
	d                          *deployment

	mu       sync.Mutex
	holds    [keyCount]hold
	running  map[int]int // by key
	sequence int
	state    string
	beatStop chan struct{}

	server *http.Server
	up     atomic.Bool
	ran    atomic.Int64
}

func (t *target) start() error {
	l, err := net.Listen("tcp", t.address)
	if err != nil {
		return err
	}
	t.running, t.state, t.born = map[int]int{}, "ready", time.Now().UnixMilli()
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: 30 * time.Second, IdleTimeout: 10 * time.Second}
	t.up.Store(true)
	go func() { _ = t.server.Serve(l) }()
	t.beatStop = make(chan struct{})
	go t.beat(t.beatStop)
	return nil
}

// beat writes the target's entry at each heartbeat.
func (t *target) beat(stop chan struct{}) {
	for {
		t.register()
		select {
		case <-stop:
			return
		case <-time.After(870 * time.Millisecond):
		}
	}
}

// register writes the target's entry, unless the store is down.
func (t *target) register() {
	t.mu.Lock()
	t.sequence++
	spec := t.entry()
	t.mu.Unlock()
	t.d.store.mu.Lock()
	down := t.d.store.down
	t.d.store.mu.Unlock()
	if !down {
		t.d.store.put("servers", t.id, spec)
	}
}

func (t *target) entry() map[string]any {
	return map[string]any{
		"address": t.address, "born": t.born,
		"info":   map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "capacity": 4},
		"status": map[string]any{"state": t.state, "sequence": t.sequence, "warmup_left": "0ms"},
	}
}

// holdsKey reports whether the target holds the key now. mu is held.
func (t *target) holdsKey(key int, now time.Time) bool { return now.Before(t.holds[key].until) }

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Boragegate-Request-Id")
	w.Header().Set("X-Boragegate-Request-Id", id)
	if want := r.Header.Get("X-Boragegate-Expect-Instance"); want != "" && want != t.id {
		w.Header().Set("X-Boragegate-Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/grant":
		t.grant(w, r)
	case "/api/release":
		t.release(w, r)
	default:
		t.request(w, r, id)
	}
}

type order struct {
	From, To int
	Fence    uint64
	Hold     string `json:"hold_time"`
}

func (t *target) grant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.From < 0 || o.To >= keyCount || o.From > o.To {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d, err := time.ParseDuration(o.Hold)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := o.From; k <= o.To; k++ {
		if t.holds[k].fence > o.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	first := t.holds[o.From].until.Before(arrived)
	for k := o.From; k <= o.To; k++ {
		t.holds[k] = hold{o.Fence, arrived.Add(d)}
	}
	if first {
		t.d.record("target %s is granted keys %d to %d with fence %d for %s", t.id, o.From, o.To, o.Fence, d)
	}
}

func (t *target) release(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.From < 0 || o.To >= keyCount || o.From > o.To {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := o.From; k <= o.To; k++ {
		t.holds[k] = hold{max(t.holds[k].fence, o.Fence), time.Time{}}
	}
	t.d.record("target %s releases keys %d to %d with fence %d", t.id, o.From, o.To, o.Fence)
	for {
		busy := false
		for k, n := range t.running {
			busy = busy || n > 0 && k >= o.From && k <= o.To
		}
		if !busy {
			break
		}
		t.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		t.mu.Lock()
	}
	w.Header().Set("X-Boragegate-Handover", fmt.Sprintf("%s-%d", t.id, o.From))
}

func (t *target) request(w http.ResponseWriter, r *http.Request, id string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := -1
	if t.sharded {
		if key, err = strconv.Atoi(r.Header.Get("X-Boragegate-Shard-Key")); err != nil || key < 0 || key >= keyCount {
			w.Header().Set("X-Boragegate-Not-Executed", "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	t.mu.Lock()
	if key >= 0 && !t.holdsKey(key, time.Now()) {
		t.mu.Unlock()
		w.Header().Set("X-Boragegate-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.running[key]++
	load := 0
	for _, n := range t.running {
		load += n
	}
	t.mu.Unlock()
	t.ran.Add(1)
	t.d.ranRequest(t, id, key, len(body))
	select {
	case <-time.After(t.work):
	case <-r.Context().Done():
	}
	t.mu.Lock()
	t.running[key]--
	if t.running[key] == 0 {
		delete(t.running, key)
	}
	t.mu.Unlock()
	answer := "answer to " + id
	if r.URL.Path == "/stock/big" {
		answer += strings.Repeat("b", 15000)
	}
	w.Header().Set("X-Boragegate-Response-Stamp", stamp(id, answer))
	w.Header().Set("X-Boragegate-Server-Load", fmt.Sprintf("%d,%d,4", min(load, 4), max(load-4, 0)))
	_, _ = io.WriteString(w, answer)
}
