package server

import (
	"net/http"
	"sync"
	"time"
)

// freezer stops the server at its next steps while its clock goes on, as a
// paused process or machine does.
type freezer struct {
	mu     sync.Mutex
	thawed chan struct{} // closed by Thaw; nil while the server is not frozen
}

// Freeze stops all processing for the duration, or until Thaw if it is 0.
// Connections stay open and accept bytes. Requests that had begun stop before
// they take effect, replies before they are written.
func (s *Server) Freeze(d time.Duration) {
	f := &s.freezer
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.thawed != nil {
		return
	}
	thawed := make(chan struct{})
	f.thawed = thawed
	if d > 0 {
		time.AfterFunc(d, func() { f.thaw(thawed) })
	}
}

// Thaw lets a frozen server go on where it stopped.
func (s *Server) Thaw() {
	s.freezer.mu.Lock()
	thawed := s.freezer.thawed
	s.freezer.mu.Unlock()
	s.freezer.thaw(thawed)
}

// thaw ends the freeze that the channel belongs to, if it has not ended yet.
func (f *freezer) thaw(thawed chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if thawed != nil && f.thawed == thawed {
		close(thawed)
		f.thawed = nil
	}
}

// wait returns once the server is not frozen.
func (f *freezer) wait() {
	for {
		f.mu.Lock()
		thawed := f.thawed
		f.mu.Unlock()
		if thawed == nil {
			return
		}
		<-thawed
	}
}

// pausing stops requests before they are handled and replies before they are
// written while the server is frozen.
func (s *Server) pausing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.freezer.wait()
		h.ServeHTTP(&pausingWriter{w, &s.freezer}, r)
		s.freezer.wait()
	})
}

// pausingWriter writes nothing while the server is frozen.
type pausingWriter struct {
	http.ResponseWriter
	f *freezer
}

// WriteHeader implements http.ResponseWriter.
func (w *pausingWriter) WriteHeader(status int) {
	w.f.wait()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *pausingWriter) Write(p []byte) (int, error) {
	w.f.wait()
	return w.ResponseWriter.Write(p)
}
