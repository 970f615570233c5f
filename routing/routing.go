// Package routing has the types that say which service a request belongs to and
// which backend servers a service has. Values are immutable once they are
// shared between goroutines.
package routing

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/boragegate/boragegate/finding"
)

// KeyCount is the number of shard keys of a partitioned service; keys run from 0 to Keys-1.
const KeyCount = 1 << 16

// Kind says how often a request may run and how large its answer is.
type Kind int

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests run at most once for each request ID.
	AtMostOnce
	// Bulk requests are idempotent and have large answers.
	Bulk
	// Upload requests have large bodies and run at most once, as AtMostOnce ones.
	Upload
)

// IsIdempotent reports whether requests of the kind may run more than once.
func (k Kind) IsIdempotent() bool { return k == Idempotent || k == Bulk }

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case AtMostOnce:
		return "at_most_once"
	case Bulk:
		return "bulk"
	case Upload:
		return "upload"
	default:
		return "idempotent"
	}
}

// Destination is a share of a route's requests that goes to one service.
type Destination struct {
	Service string
	// Weight is the share relative to the other parts; above 0.
	Weight float64
}

// Route selects requests by host and path prefix.
type Route struct {
	Name string
	// Host is in lower case without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full value.
	Objective time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of targets to which one request may be sent; at least 1.
	MaxAttempts int
	// Destinations has at least one element.
	Destinations []Destination
}

// Service is a group of interchangeable targets, or of targets that each hold some keys.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one target accepts from all callers.
	MaxConnections int
	// Partitioned says that each target serves only the keys that it was granted.
	Partitioned bool
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	// Version rises with every change, not always by one.
	Version  uint64
	Limits   Limits
	Services map[string]Service

	byHost     map[string][]*Route
	routeCount int
}

// NewConfig returns a configuration with an index of its routes. Routes that
// cannot be used are left out and reported together.
func NewConfig(version uint64, limits Limits, services []Service, routes []Route) (*Config, finding.List) {
	c := &Config{Version: version, Limits: limits, Services: map[string]Service{}, byHost: map[string][]*Route{}}
	var list finding.List
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		if err := c.checkRoute(r); err != nil {
			list = append(list, finding.Finding{Path: fmt.Sprintf("routes[%d]", i), Message: err.Error()})
			continue
		}
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
		c.routeCount++
	}
	for _, of := range c.byHost {
		slices.SortStableFunc(of, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c, list
}

func (c *Config) checkRoute(r *Route) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("route %q has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return fmt.Errorf("route %q has no timeout", r.Name)
	case len(r.Destinations) == 0:
		return fmt.Errorf("route %q has no service", r.Name)
	}
	for _, p := range r.Destinations {
		if _, ok := c.Services[p.Service]; !ok {
			return fmt.Errorf("route %q: unknown service %q", r.Name, p.Service)
		}
	}
	r.MaxAttempts = max(r.MaxAttempts, 1)
	return nil
}

// Match returns the route of the host with the longest prefix that begins the path, or nil.
func (c *Config) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RouteCount is the number of routes.
func (c *Config) RouteCount() int { return c.routeCount }

// PartitionedServices returns the names of the partitioned services in order.
func (c *Config) PartitionedServices() []string {
	var names []string
	for _, s := range c.Services {
		if s.Partitioned {
			names = append(names, s.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Target is one lifetime of a backend server as it registered itself.
type Target struct {
	// ID names the server. A server may start again under the ID that it had.
	ID string
	// Incarnation is the time of its start in Unix milliseconds; with ID it names one lifetime.
	Incarnation int64
	Service     string
	// Address is host:port.
	Address string
	Zone    string
	// Slots is the number of requests that it runs at a time.
	Slots int
	// Draining says that the server is leaving and must receive no new requests.
	Draining bool
	// WarmUp is how much longer the server is slow after its start, at the time of the entry.
	WarmUp time.Duration
	// SoftwareVersion is the release that the server runs.
	SoftwareVersion string
}

// Lifetime names one lifetime of a target.
type Lifetime struct {
	ID          string `json:"id" msgpack:"i"`
	Incarnation int64  `json:"incarnation" msgpack:"n"`
}

// Lifetime returns the identity of the target's lifetime.
func (t *Target) Lifetime() Lifetime { return Lifetime{t.ID, t.Incarnation} }
