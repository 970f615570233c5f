// Package standin is a small server that stands in for the platform's object
// API in tests and demos. It keeps objects in a memory.Store, whose fault
// switches it shows over HTTP; a lost reply closes the connection.
package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/store/memory"
	"github.com/boragegate/boragegate/store/objectapi"
)

const (
	// maxBodyBytes holds the largest value in base64 with its envelope, and more,
	// so that the store and not the reader refuses larger values.
	maxBodyBytes = 4 * store.MaxValueBytes
	// DefaultKeepAliveInterval is the interval of empty lines in a watch without events.
	DefaultKeepAliveInterval = 5 * time.Second
	// FaultsPath sets the faults; it is not part of the object API.
	FaultsPath = "/standin/v1/faults"
)

var errBadRequest = errors.New("bad request")

// Server is the handler of the API.
type Server struct {
	http.Handler
	// Store has the objects and the fault switches.
	Store *memory.Store
	// KeepAliveInterval is the interval of empty lines in an idle watch. It is set before the first request.
	KeepAliveInterval time.Duration
}

// New returns a server on the store.
func New(store *memory.Store) *Server {
	s := &Server{Store: store, KeepAliveInterval: DefaultKeepAliveInterval}
	r := bunrouter.New(bunrouter.Use(handleErrors))
	r.GET(objectapi.ObjectsPath+":kind", s.list)
	r.GET(objectapi.ObjectsPath+":kind/:name", s.get)
	r.PUT(objectapi.ObjectsPath+":kind/:name", s.put)
	r.DELETE(objectapi.ObjectsPath+":kind/:name", s.delete)
	r.GET(objectapi.WatchPath+":kind", s.watch)
	r.GET(objectapi.InstancesPath, s.listInstances)
	r.PUT(objectapi.InstancesPath+"/:id", s.register)
	r.DELETE(objectapi.InstancesPath+"/:id", s.deregister)
	r.PUT(FaultsPath, s.setFaults)
	s.Handler = r
	return s
}

// handleErrors turns an error of a handler into an answer, or into a closed
// connection when the reply is to be lost.
func handleErrors(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		err := next(w, r)
		if err == nil {
			return nil
		}
		if errors.Is(err, store.ErrOutcomeUnknown) {
			panic(http.ErrAbortHandler)
		}
		status, code := http.StatusInternalServerError, "internal"
		if errors.Is(err, errBadRequest) {
			status, code = http.StatusBadRequest, "bad-request"
		}
		for _, c := range objectapi.ErrorCodes {
			if errors.Is(err, c.Err) {
				status, code = c.Status, c.Code
			}
		}
		return writeJSON(w, status, objectapi.ErrorBody{Error: code, Message: err.Error()})
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) error {
	w.Header().Set("Content-Type", objectapi.ContentType)
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(body)
}

func pathParameter(r bunrouter.Request, name string) (string, error) {
	value := r.Param(name)
	// The router matches the escaped path only where it differs from the default encoding.
	if r.URL.RawPath != "" {
		var err error
		if value, err = url.PathUnescape(value); err != nil {
			return "", fmt.Errorf("%w: path: %w", errBadRequest, err)
		}
	}
	if value == "" {
		return "", fmt.Errorf("%w: empty name", errBadRequest)
	}
	return value, nil
}

func decodeBody(w http.ResponseWriter, r bunrouter.Request, into any) error {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into); err != nil {
		return fmt.Errorf("%w: body: %w", errBadRequest, err)
	}
	return nil
}

func (s *Server) list(w http.ResponseWriter, r bunrouter.Request) error {
	kind, err := pathParameter(r, "kind")
	if err != nil {
		return err
	}
	objects, version, err := s.Store.List(r.Context(), kind)
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, objectapi.ListBody{Version: version, Objects: objects})
}

func objectParameters(r bunrouter.Request) (kind, name string, err error) {
	kind, err = pathParameter(r, "kind")
	if err != nil {
		return "", "", err
	}
	name, err = pathParameter(r, "name")
	return kind, name, err
}

func (s *Server) get(w http.ResponseWriter, r bunrouter.Request) error {
	kind, name, err := objectParameters(r)
	if err != nil {
		return err
	}
	obj, err := s.Store.Get(r.Context(), kind, name)
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, obj)
}

// put creates with If-None-Match: * and updates with If-Match.
func (s *Server) put(w http.ResponseWriter, r bunrouter.Request) error {
	kind, name, err := objectParameters(r)
	if err != nil {
		return err
	}
	var content objectapi.WriteBody
	if err := decodeBody(w, r, &content); err != nil {
		return err
	}
	obj := store.Object{Kind: kind, Name: name, Writer: content.Writer, Value: content.Value}
	write := s.Store.Create
	if r.Header.Get("If-None-Match") != "*" {
		write = s.Store.Update
		if obj.Version, err = ifMatchVersion(r); err != nil {
			return err
		}
	}
	obj, err = write(r.Context(), obj)
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, obj)
}

func ifMatchVersion(r bunrouter.Request) (store.Version, error) {
	version, ok := objectapi.ParseETag(r.Header.Get("If-Match"))
	if !ok {
		return 0, fmt.Errorf("%w: If-Match must name a version", errBadRequest)
	}
	return version, nil
}

func (s *Server) delete(w http.ResponseWriter, r bunrouter.Request) error {
	kind, name, err := objectParameters(r)
	if err != nil {
		return err
	}
	version, err := ifMatchVersion(r)
	if err != nil {
		return err
	}
	if err := s.Store.Delete(r.Context(), kind, name, version); err != nil {
		return err
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}

// watch streams events as JSON lines until the client leaves or the watch ends.
func (s *Server) watch(w http.ResponseWriter, r bunrouter.Request) error {
	kind, err := pathParameter(r, "kind")
	if err != nil {
		return err
	}
	from, err := strconv.ParseUint(r.URL.Query().Get(objectapi.FromParameter), 10, 64)
	if err != nil {
		return fmt.Errorf("%w: from must be a version", errBadRequest)
	}
	events, err := s.Store.Watch(r.Context(), kind, store.Version(from))
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", objectapi.WatchContentType)
	w.WriteHeader(http.StatusOK)
	s.streamEvents(w, events)
	return nil
}

func (s *Server) streamEvents(w http.ResponseWriter, events <-chan store.Event) {
	out, control := json.NewEncoder(w), http.NewResponseController(w)
	keepAlive := time.NewTicker(s.KeepAliveInterval)
	defer keepAlive.Stop()
	for control.Flush() == nil {
		select {
		case ev, open := <-events:
			if !open || out.Encode(ev) != nil {
				return
			}
		case <-keepAlive.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		}
	}
}
