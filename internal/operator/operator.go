// Package operator serves the operator API, the status page, the metrics and
// the health checks of an instance.
//
// It keeps no state of its own and is safe for concurrent use. The table comes
// from a Tables, everything else from a Daemon.
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

// Limits of requests.
const (
	// maxBodyBytes bounds a request: a table of the largest size and what goes with it.
	maxBodyBytes = 2 << 20
	// maxListEntries bounds the entries of one answer.
	maxListEntries = 1000
	// defaultListEntries is the number of entries without a limit in the query.
	defaultListEntries = 50
	// maxKeyBytes bounds a key in a query.
	maxKeyBytes = 4096
	// defaultTimeout bounds the work for one request.
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

// Daemon is what the API needs of the instance. Methods return quickly unless
// they take a context, and return store.ErrNotFound for an unknown service.
type Daemon interface {
	// Status returns the state of the instance.
	Status() api.Status
	// Instances returns what the instance knows of all instances, itself included, ordered by ID.
	Instances() []api.Instance
	// Services returns all services in table order.
	Services() []api.Service
	// Owners returns the assignment of a service.
	Owners(service string) (api.Owners, error)
	// Explain says where a key goes.
	Explain(service, key string) (api.Explanation, error)
	// Events returns up to limit recent events of this instance, newest first.
	Events(limit int) []api.Event
	// Audit returns up to limit entries below the sequence before (0: the newest), newest first.
	Audit(ctx context.Context, before uint64, limit int) ([]api.AuditEntry, error)
	// Forget removes lost instances from the cell record.
	Forget(ctx context.Context, instances []string) error
	// RecordAudit adds an entry to the audit trail. It does not block.
	RecordAudit(operator, event string, fields map[string]string)
}

// Options set up the API.
type Options struct {
	Tables Tables
	Daemon Daemon
	// Registry has the metrics to render.
	Registry metrics.Registry
	// Tokens are the names of operators by the SHA-256 of their token. Without
	// any, everybody may read and nobody may change.
	Tokens map[[sha256.Size]byte]string
	// Zones are the known zones; nil accepts every zone.
	Zones []string
	// Timeout bounds the work for one request. Default 15 s.
	Timeout time.Duration
}

type server struct{ Options }

// New returns the handler for the operator listener.
func New(o Options) http.Handler {
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	s := &server{o}
	r := bunrouter.New(
		bunrouter.Use(s.limitRequest, sendProblems),
		bunrouter.WithNotFoundHandler(sendProblems(func(http.ResponseWriter, bunrouter.Request) error { return errNotFound })),
		bunrouter.WithMethodNotAllowedHandler(sendProblems(func(http.ResponseWriter, bunrouter.Request) error { return errNotAllowed })),
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

// limitRequest bounds the body and the time of a request.
func (s *server) limitRequest(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, req bunrouter.Request) error {
		ctx, cancel := context.WithTimeout(req.Context(), s.Timeout)
		defer cancel()
		req = req.WithContext(ctx)
		req.Body = http.MaxBytesReader(w, req.Body, maxBodyBytes)
		return next(w, req)
	}
}
