// Package operator serves the operator API, the status page, the metrics and
// the health checks of an instance.
//
// The handler is stateless and safe for concurrent use. It reads and changes the
// table through Tables, and gets everything else from a Daemon.
package operator

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/uptrace/bunrouter"

	"github.com/boragegate/boragegate/internal/operator/api"
	"github.com/boragegate/boragegate/table/tablestore"
)

// Limits on requests.
const (
	// maxBodyBytes limits a request body. A table of the maximum size fits together with
	// the other fields of a request.
	maxBodyBytes = 2 << 20
	// maxListEntries limits the entries of a list in one response.
	maxListEntries = 1000
	// defaultListEntries is the limit for a list if the query sets none.
	defaultListEntries = 50
	// maxKeyBytes limits the key in a query.
	maxKeyBytes = 4096
	// defaultTimeout limits the handling of one request.
	defaultTimeout = 15 * time.Second
)

// Tables reads and changes the table; *tablestore.Tables implements it.
type Tables interface {
	Get(ctx context.Context) (*tablestore.Record, error)
	Version(ctx context.Context, version uint64) (*tablestore.Record, error)
	History(ctx context.Context, before uint64, limit int) ([]*tablestore.Record, error)
	Apply(ctx context.Context, req tablestore.Request) (*tablestore.Result, error)
	Rollback(ctx context.Context, to, base uint64, operator, comment string) (*tablestore.Result, error)
}

// Daemon gives the API access to the instance. Methods without a context must return
// quickly. Owners and Explain return an error that wraps store.ErrNotFound if the service
// is unknown or has no assignment yet.
type Daemon interface {
	// Status returns the state of the instance.
	Status() api.Status
	// Instances returns the members of the instance's cell, ordered by ID; nil if the
	// cell record is not known yet.
	Instances() []api.Instance
	// Services returns all services in the order of the table; nil if there is no table yet.
	Services() []api.Service
	// Owners returns the assignment of a service.
	Owners(service string) (api.Owners, error)
	// Explain returns how requests for a key are routed and why.
	Explain(service, key string) (api.Explanation, error)
	// Events returns up to limit recent events of this instance, newest first.
	Events(limit int) []api.Event
	// Audit returns up to limit entries of the audit trail with a sequence lower than
	// before, newest first; before 0 means no bound.
	Audit(ctx context.Context, before uint64, limit int) ([]api.AuditEntry, error)
	// Forget removes permanently failed instances from the cell record.
	Forget(ctx context.Context, instances []string) error
	// RecordAudit adds an entry to the audit trail. It does not block.
	RecordAudit(operator, event string, fields map[string]string)
}

// Options configures the handler of the operator API.
type Options struct {
	Tables Tables
	Daemon Daemon
	// Registry holds the metrics that are served together with the state of the instance.
	Registry metrics.Registry
	// Tokens maps the SHA-256 of a token to the name of its operator. If it is
	// empty, everyone may read and nobody may make changes.
	Tokens map[[sha256.Size]byte]string
	// Zones are the known zones; nil accepts every zone.
	Zones []string
	// Timeout limits the handling of one request. Default 15 s.
	Timeout time.Duration
}

type server struct{ Options }

// New returns the handler for the operator listener. Errors are sent as api.Problem.
func New(o Options) http.Handler {
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	s := &server{o}
	r := bunrouter.New(
		bunrouter.Use(s.limitRequest, sendProblems),
		bunrouter.WithNotFoundHandler(sendProblems(func(http.ResponseWriter, bunrouter.Request) error { return errNotFound })),
		bunrouter.WithMethodNotAllowedHandler(sendProblems(func(http.ResponseWriter, bunrouter.Request) error { return errMethodNotAllowed })),
	)
	r.GET(api.PathHealth, s.health)
	r.GET(api.PathReady, s.ready)
	r.GET(api.PathMetrics, s.metrics)
	s.registerReads(r.NewGroup("", bunrouter.Use(s.authenticateRead)))
	s.registerChanges(r.NewGroup("", bunrouter.Use(s.authenticateChange)))
	return r
}

func (s *server) registerReads(g *bunrouter.Group) {
	g.GET("/", s.page)
	g.GET(api.PathTable, s.currentTable)
	g.GET(api.PathInForce, s.activeVersions)
	g.GET(api.PathHistory, s.history)
	g.GET(api.PathVersions+":version", s.version)
	g.GET(api.PathStatus, s.status)
	g.GET(api.PathInstances, s.instances)
	g.GET(api.PathServices, s.services)
	g.GET(api.PathOwners, s.owners)
	g.GET(api.PathExplain, s.explain)
	g.GET(api.PathEvents, s.events)
	g.GET(api.PathAudit, s.audit)
}

func (s *server) registerChanges(g *bunrouter.Group) {
	g.PUT(api.PathTable, s.apply)
	g.POST(api.PathRollback, s.rollback)
	g.POST(api.PathForget, s.forget)
}

// limitRequest limits the body size and the handling time of a request.
func (s *server) limitRequest(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, req bunrouter.Request) error {
		ctx, cancel := context.WithTimeout(req.Context(), s.Timeout)
		defer cancel()
		req = req.WithContext(ctx)
		req.Body = http.MaxBytesReader(w, req.Body, maxBodyBytes)
		return next(w, req)
	}
}
