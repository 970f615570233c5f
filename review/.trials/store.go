package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata, object and event are the JSON forms of the platform's store.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedAt  int64    `json:"created_at"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deletion_pending"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
	kind     string
	revision uint64
}

const pageSize = 500

// store stands in for the platform's metadata store. It keeps all history.
type store struct {
	mu       sync.Mutex
	objects  map[string]map[string]object
	revision uint64
	events   []event
	changed  chan struct{}
	era      uint64
	down     bool
}

func newStore() *store {
	return &store{objects: map[string]map[string]object{}, revision: 1, changed: make(chan struct{})}
}

// listen serves the store at an address.
func (s *store) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(s.serve)}
	go func() { _ = server.Serve(l) }()
	return nil
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, b)
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, exists := s.objects[kind][name]
	if exists && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	if !exists {
		o.Metadata = metadata{Name: name, CreatedAt: time.Now().UnixMilli(), Finalizers: []string{}}
	}
	o.Spec, o.Metadata.Revision = spec, s.revision
	s.objects[kind][name] = o
	s.events = append(s.events, event{Object: o, kind: kind, revision: s.revision})
	s.notify()
	return o
}

func (s *store) removeLocked(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.events = append(s.events, event{Object: o, Deleted: true, kind: kind, revision: s.revision})
	s.notify()
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// snapshot is a copy of the store from which it can be restored.
type snapshot struct {
	objects  map[string]map[string]object
	revision uint64
	events   []event
	taken    time.Time
}

func copyObjects(objects map[string]map[string]object) map[string]map[string]object {
	out := map[string]map[string]object{}
	for kind, byName := range objects {
		out[kind] = maps.Clone(byName)
	}
	return out
}

func (s *store) snapshot() *snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &snapshot{copyObjects(s.objects), s.revision, slices.Clone(s.events), time.Now()}
}

// hasForeignKinds reports whether the copy has objects that neither the operator nor the targets write.
func (c *snapshot) hasForeignKinds() bool {
	for kind, objects := range c.objects {
		if kind != "servers" && kind != "config" && len(objects) > 0 {
			return true
		}
	}
	return false
}

// restore replaces the content by the copy and begins the next era.
func (s *store) restore(c *snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.revision, s.events = copyObjects(c.objects), c.revision, slices.Clone(c.events)
	s.era++
	s.notify()
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(4 * time.Millisecond)
	path, ok := strings.CutPrefix(r.URL.EscapedPath(), "/api/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	escapedKind, escapedName, _ := strings.Cut(path, "/")
	kind, _ := url.PathUnescape(escapedKind)
	name, _ := url.PathUnescape(escapedName)
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.Header().Set("Content-Type", "application/json")
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name == "" && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, query.Get("after"), kind)
	case r.Method == http.MethodGet:
		o, ok := s.objects[kind][name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.write(w, r, kind, name, body)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) list(w http.ResponseWriter, after, kind string) {
	items := []object{}
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if name > after || after == "" {
			items = append(items, s.objects[kind][name])
		}
	}
	more := len(items) > pageSize
	reply(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageSize)], "has_more": more, "store_revision": s.revision})
}

// watch serves a long poll. It gives up the lock while it waits.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for done := false; ; {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		if s.down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if from > s.revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > from {
				events = append(events, e)
			}
		}
		if done || len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": s.revision})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			done = true
		case <-r.Context().Done():
			done = true
		}
		s.mu.Lock()
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, body []byte) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.Unmarshal(body, &in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	expected := in.Metadata.Revision
	if v := r.URL.Query().Get("revision"); v != "" {
		expected, _ = strconv.ParseUint(v, 10, 64)
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	current, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && expected > 0 && expected != current.Metadata.Revision:
		reply(w, http.StatusConflict, current)
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.removeLocked(kind, name)
		reply(w, http.StatusOK, current)
	default:
		reply(w, http.StatusOK, s.putLocked(kind, name, in.Spec))
	}
}
