package server

import (
	"net/http"
	"sync"
	"time"
)

// pauser stops the server at its next steps while its clock goes on, as a
// paused process or machine does.
type pauser struct {
	mu      sync.Mutex
	resumed chan struct{} // closed by Thaw; nil while the server is not frozen
}

// Pause stops all processing for the duration, or until Thaw if it is 0.
// Connections stay open and accept bytes. Requests that had begun stop before
// they take effect, replies before they are written.
func (s *Server) Pause(d time.Duration) {
	p := &s.pauser
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		return
	}
	resumed := make(chan struct{})
	p.resumed = resumed
	if d > 0 {
		time.AfterFunc(d, func() { p.resume(resumed) })
	}
}

// Resume lets a frozen server go on where it stopped.
func (s *Server) Resume() {
	s.pauser.mu.Lock()
	resumed := s.pauser.resumed
	s.pauser.mu.Unlock()
	s.pauser.resume(resumed)
}

// resume ends the freeze that the channel belongs to, if it has not ended yet.
func (p *pauser) resume(resumed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if resumed != nil && p.resumed == resumed {
		close(resumed)
		p.resumed = nil
	}
}

// waitWhilePaused returns once the server is not frozen.
func (p *pauser) waitWhilePaused() {
	for {
		p.mu.Lock()
		resumed := p.resumed
		p.mu.Unlock()
		if resumed == nil {
			return
		}
		<-resumed
	}
}

// pausable stops requests before they are handled and replies before they are
// written while the server is frozen.
func (s *Server) pausable(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.pauser.waitWhilePaused()
		h.ServeHTTP(&pausingWriter{w, &s.pauser}, r)
		s.pauser.waitWhilePaused()
	})
}

// pausingWriter writes nothing while the server is frozen.
type pausingWriter struct {
	http.ResponseWriter
	pauser *pauser
}

// WriteHeader implements http.ResponseWriter.
func (w *pausingWriter) WriteHeader(status int) {
	w.pauser.waitWhilePaused()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *pausingWriter) Write(p []byte) (int, error) {
	w.pauser.waitWhilePaused()
	return w.ResponseWriter.Write(p)
}
