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
	f := &s.pauser
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.resumed != nil {
		return
	}
	thawed := make(chan struct{})
	f.resumed = thawed
	if d > 0 {
		time.AfterFunc(d, func() { f.resume(thawed) })
	}
}

// Resume lets a frozen server go on where it stopped.
func (s *Server) Resume() {
	s.pauser.mu.Lock()
	thawed := s.pauser.resumed
	s.pauser.mu.Unlock()
	s.pauser.resume(thawed)
}

// resume ends the freeze that the channel belongs to, if it has not ended yet.
func (f *pauser) resume(thawed chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if thawed != nil && f.resumed == thawed {
		close(thawed)
		f.resumed = nil
	}
}

// waitWhilePaused returns once the server is not frozen.
func (f *pauser) waitWhilePaused() {
	for {
		f.mu.Lock()
		thawed := f.resumed
		f.mu.Unlock()
		if thawed == nil {
			return
		}
		<-thawed
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
