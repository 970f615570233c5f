// Package standin implements a server of the platform's object API for tests and demos.
// It keeps objects in a memory.Store, whose faults can be set over HTTP. If the store
// simulates a lost reply, the server closes the connection without a response.
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
	// maxBodyBytes is the maximum size of a request body. It is well above the size of
	// the largest value in base64 with the other fields, so that a value slightly over
	// store.MaxValueBytes is rejected by the store with store.ErrTooLarge.
	maxBodyBytes = 4 * store.MaxValueBytes
	// DefaultKeepAliveInterval is the default of Server.KeepAliveInterval, a third of
	// the default idle timeout of watches in package httpstore.
	DefaultKeepAliveInterval = 5 * time.Second
	// FaultsPath is the path at which faults are set. It is not part of the object API.
	FaultsPath = "/standin/v1/faults"
)

var errBadRequest = errors.New("bad request")

// Server handles the requests of the object API and of FaultsPath.
type Server struct {
	http.Handler
	// Store holds the objects and simulates the faults.
	Store *memory.Store
	// KeepAliveInterval is the interval at which empty lines are sent on an open
	// watch. It must not change after the first request.
	KeepAliveInterval time.Duration
}

// New returns a server that keeps its objects in the given store.
func New(backing *memory.Store) *Server {
	s := &Server{Store: backing, KeepAliveInterval: DefaultKeepAliveInterval}
	r := bunrouter.New(bunrouter.Use(s.reportEra, handleErrors))
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

// handleErrors is a middleware that sends the error response for an error of the
// handler. For store.ErrOutcomeUnknown it closes the connection instead.
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

// reportEra is a middleware that adds the era of the store to responses, unless it is 0.
func (s *Server) reportEra(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		return next(&eraWriter{w, s.Store}, r)
	}
}

// eraWriter adds the era when the response begins. The state in the response was read before
// that, so it is not of a later era.
type eraWriter struct {
	http.ResponseWriter
	store *memory.Store
}

func (w *eraWriter) WriteHeader(status int) {
	if e := w.store.Era(); e > 0 {
		w.Header().Set(objectapi.EraHeader, strconv.FormatUint(uint64(e), 10))
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap is used by http.ResponseController.
func (w *eraWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func writeJSON(w http.ResponseWriter, status int, body any) error {
	w.Header().Set("Content-Type", objectapi.ContentType)
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(body)
}

// pathParameter returns an unescaped path parameter, or an error that wraps errBadRequest
// if it is empty or malformed.
func pathParameter(r bunrouter.Request, name string) (string, error) {
	value := r.Param(name)
	// RawPath is set only if it differs from the default encoding of the path; the
	// router then matches RawPath, and its parameters are escaped.
	if r.URL.RawPath != "" {
		var err error
		if value, err = url.PathUnescape(value); err != nil {
			return "", fmt.Errorf("%w: unescape path parameter: %w", errBadRequest, err)
		}
	}
	if value == "" {
		return "", fmt.Errorf("%w: empty path parameter", errBadRequest)
	}
	return value, nil
}

func decodeBody(w http.ResponseWriter, r bunrouter.Request, result any) error {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(result); err != nil {
		return fmt.Errorf("%w: decode request body: %w", errBadRequest, err)
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

// put creates an object if the request has the header "If-None-Match: *", and otherwise
// updates the object if it is at the version in If-Match.
func (s *Server) put(w http.ResponseWriter, r bunrouter.Request) error {
	kind, name, err := objectParameters(r)
	if err != nil {
		return err
	}
	var body objectapi.WriteBody
	if err := decodeBody(w, r, &body); err != nil {
		return err
	}
	obj := store.Object{Kind: kind, Name: name, Writer: body.Writer, Value: body.Value}
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
		return 0, fmt.Errorf("%w: If-Match must be the entity tag of a version", errBadRequest)
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

// watch sends events as JSON lines until the client disconnects or the watch ends.
func (s *Server) watch(w http.ResponseWriter, r bunrouter.Request) error {
	kind, err := pathParameter(r, "kind")
	if err != nil {
		return err
	}
	from, err := strconv.ParseUint(r.URL.Query().Get(objectapi.FromParameter), 10, 64)
	if err != nil {
		return fmt.Errorf("%w: query parameter from must be a version", errBadRequest)
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
	encoder, controller := json.NewEncoder(w), http.NewResponseController(w)
	keepAlive := time.NewTicker(s.KeepAliveInterval)
	defer keepAlive.Stop()
	for controller.Flush() == nil {
		select {
		case ev, ok := <-events:
			if !ok || encoder.Encode(ev) != nil {
				return
			}
		case <-keepAlive.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		}
	}
}
