package server

import (
	"net/http"
	"sync"
	"time"
)

// pauser stops the processing of requests while the clock of the server continues to run,
// as in a process or virtual machine that is paused.
type pauser struct {
	mu      sync.Mutex
	resumed chan struct{} // closed by Resume; nil while the server is not paused
}

// Pause stops all processing for the duration, or until Resume if the duration is
// 0. Connections stay open and accept bytes. Requests in flight stop before they
// take effect, replies before they are written. If the server is already paused,
// Pause does nothing.
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

// Resume continues a paused server where it stopped.
func (s *Server) Resume() {
	s.pauser.mu.Lock()
	resumed := s.pauser.resumed
	s.pauser.mu.Unlock()
	s.pauser.resume(resumed)
}

// resume ends the pause that the channel belongs to, if it has not ended yet.
func (p *pauser) resume(resumed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if resumed != nil && p.resumed == resumed {
		close(resumed)
		p.resumed = nil
	}
}

// waitWhilePaused blocks until the server is not paused.
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

// pausable returns a handler that stops requests before they are handled and
// replies before they are written while the server is paused.
func (s *Server) pausable(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.pauser.waitWhilePaused()
		h.ServeHTTP(&pausingWriter{w, &s.pauser}, r)
		s.pauser.waitWhilePaused()
	})
}

// pausingWriter delays writes until the server is not paused.
type pausingWriter struct {
	http.ResponseWriter
	pauser *pauser
}

// WriteHeader implements http.ResponseWriter. It blocks while the server is paused.
func (w *pausingWriter) WriteHeader(status int) {
	w.pauser.waitWhilePaused()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter. It blocks while the server is paused.
func (w *pausingWriter) Write(p []byte) (int, error) {
	w.pauser.waitWhilePaused()
	return w.ResponseWriter.Write(p)
}
