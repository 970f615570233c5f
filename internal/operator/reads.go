package operator

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/uptrace/bunrouter"

	"github.com/boragegate/boragegate/internal/metrics"
	"github.com/boragegate/boragegate/internal/operator/api"
	"github.com/boragegate/boragegate/store"
)

func (s *server) status(w http.ResponseWriter, _ bunrouter.Request) error {
	return sendJSON(w, s.Daemon.Status())
}

func (s *server) instances(w http.ResponseWriter, _ bunrouter.Request) error {
	return sendJSON(w, orEmpty(s.Daemon.Instances()))
}

// services sends all services, or only the one that the query names.
func (s *server) services(w http.ResponseWriter, req bunrouter.Request) error {
	name := req.URL.Query().Get("service")
	all := orEmpty(s.Daemon.Services())
	if name == "" {
		return sendJSON(w, all)
	}
	for _, v := range all {
		if v.Name == name {
			return sendJSON(w, []api.Service{v})
		}
	}
	return serviceError(name, store.ErrNotFound)
}

// serviceError turns store.ErrNotFound into a not-found problem that names the
// service. It returns other errors unchanged.
func serviceError(name string, err error) error {
	if errors.Is(err, store.ErrNotFound) {
		return newProblem(http.StatusNotFound, api.CodeNotFound, "the table in force has no service "+strconv.Quote(name))
	}
	return err
}

func (s *server) owners(w http.ResponseWriter, req bunrouter.Request) error {
	service := req.URL.Query().Get("service")
	if service == "" {
		return badRequest("the query needs a service")
	}
	o, err := s.Daemon.Owners(service)
	if err != nil {
		return serviceError(service, err)
	}
	return sendJSON(w, o)
}

func (s *server) explain(w http.ResponseWriter, req bunrouter.Request) error {
	q := req.URL.Query()
	service, key := q.Get("service"), q.Get("key")
	if service == "" || key == "" || len(key) > maxKeyBytes {
		return badRequest("the query needs a service and a key of at most " + strconv.Itoa(maxKeyBytes) + " bytes")
	}
	e, err := s.Daemon.Explain(service, key)
	if err != nil {
		return serviceError(service, err)
	}
	return sendJSON(w, e)
}

func (s *server) events(w http.ResponseWriter, req bunrouter.Request) error {
	_, limit, err := listParams(req)
	if err != nil {
		return err
	}
	return sendJSON(w, orEmpty(s.Daemon.Events(limit)))
}

func (s *server) audit(w http.ResponseWriter, req bunrouter.Request) error {
	before, limit, err := listParams(req)
	if err != nil {
		return err
	}
	list, err := s.Daemon.Audit(req.Context(), before, limit)
	if err != nil {
		return err
	}
	return sendJSON(w, orEmpty(list))
}

// forget records the removal of instances in the audit trail before it takes effect,
// since it overrides the majority rule.
func (s *server) forget(w http.ResponseWriter, req bunrouter.Request) error {
	var in api.ForgetRequest
	if err := decodeBody(req, &in); err != nil {
		return err
	}
	if len(in.Instances) == 0 {
		return badRequest("name the instances to forget")
	}
	op := operatorOf(req.Context())
	s.Daemon.RecordAudit(op, "instances.forget", map[string]string{"instances": strings.Join(in.Instances, ",")})
	if err := s.Daemon.Forget(req.Context(), in.Instances); err != nil {
		return err
	}
	return sendJSON(w, in)
}

// health is the liveness probe: it succeeds whenever the process can respond,
// whether or not the instance is ready.
func (s *server) health(w http.ResponseWriter, _ bunrouter.Request) error {
	return sendText(w, http.StatusOK, "ok")
}

// ready is the readiness probe: it succeeds if the instance accepts requests.
func (s *server) ready(w http.ResponseWriter, _ bunrouter.Request) error {
	if st := s.Daemon.Status(); !st.Ready {
		return sendText(w, http.StatusServiceUnavailable, "not ready: "+st.Reason)
	}
	return sendText(w, http.StatusOK, "ready")
}

func (s *server) metrics(w http.ResponseWriter, _ bunrouter.Request) error {
	w.Header().Set("Content-Type", metrics.ContentType)
	return metrics.Write(w, s.Registry, stateMetrics(s.Daemon))
}

func sendText(w http.ResponseWriter, status int, text string) error {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
	return nil
}

// listParams reads the query parameters "before" and "limit" of a list.
func listParams(req bunrouter.Request) (before uint64, limit int, err error) {
	if before, err = uintParam(req, "before", 0); err != nil {
		return 0, 0, err
	}
	n, err := uintParam(req, "limit", defaultListEntries)
	if err != nil {
		return 0, 0, err
	}
	if n == 0 || n > maxListEntries {
		return 0, 0, badRequest("limit is not a number from 1 to " + strconv.Itoa(maxListEntries))
	}
	return before, int(n), nil
}

func uintParam(req bunrouter.Request, name string, fallback uint64) (uint64, error) {
	text := req.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badRequest(name + " is not a number")
	}
	return n, nil
}

// orEmpty replaces a nil list, so that it is encoded as "[]" instead of "null".
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
