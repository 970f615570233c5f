// Package routing defines routes, services and their backend servers, and selects the route of
// a request. Values must not be changed once they are shared between goroutines.
package routing

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/boragegate/boragegate/finding"
)

// KeyCount is the number of shard keys of a partitioned service. Keys range from 0 to
// KeyCount-1.
const KeyCount = 1 << 16

// Kind is the execution guarantee and size class of the requests of a route.
type Kind int

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests run at most once for each request ID.
	AtMostOnce
	// Bulk requests are idempotent and have large responses.
	Bulk
	// Upload requests have large bodies and run at most once for each request ID.
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

// Destination is a service that receives a fraction of the requests of a route.
type Destination struct {
	Service string
	// Weight is relative to the other services of the route; above 0.
	Weight float64
}

// Route applies to the requests of a host whose path begins with a prefix. It names the services
// that serve them and their limits.
type Route struct {
	Name string
	// Host is in lower case and without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits for the response; above 0.
	Timeout time.Duration
	// Objective is the latency objective: a response within it is on time. 0 means none.
	Objective time.Duration
	// Priority is the priority of the route in the operator's configuration; 0 is the highest.
	// It has no effect on the choice of the route or the target.
	Priority int
	// MaxAttempts is the maximum number of targets that a request is sent to; at least 1.
	MaxAttempts int
	// Destinations has at least one element.
	Destinations []Destination
}

// Service is a group of targets. Either they are interchangeable, or each serves the keys that
// it owns.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one target accepts from all instances
	// together.
	MaxConnections int
	// Partitioned means that each target serves only the keys that were granted to it.
	Partitioned bool
	// WarmUpRate is the number of requests per second that a target which warms up takes from all
	// instances together; 0 means no limit.
	WarmUpRate float64
}

// Limits are the limits for requests and connections of callers. A value of 0 means the default.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of the header and the body of a request.
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	// Version increases with every change, not necessarily by one.
	Version  uint64
	Limits   Limits
	Services map[string]Service

	byHost     map[string][]*Route
	objectives map[string]time.Duration // by service
	routeCount int
}

// NewConfig returns a configuration with an index of its routes. Invalid routes are left out,
// and a finding is returned for each. The configuration refers to the elements of routes and may
// change them, so the caller must not use the slice any more.
func NewConfig(version uint64, limits Limits, services []Service, routes []Route) (*Config, finding.List) {
	c := &Config{Version: version, Limits: limits, Services: map[string]Service{}, byHost: map[string][]*Route{}, objectives: map[string]time.Duration{}}
	var findings finding.List
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		if err := c.checkRoute(r); err != nil {
			findings = append(findings, finding.Finding{Path: fmt.Sprintf("routes[%d]", i), Message: err.Error()})
			continue
		}
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
		c.routeCount++
		for _, d := range r.Destinations {
			if shortest := c.objectives[d.Service]; r.Objective > 0 && (shortest == 0 || r.Objective < shortest) {
				c.objectives[d.Service] = r.Objective
			}
		}
	}
	for _, hostRoutes := range c.byHost {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c, findings
}

// checkRoute returns an error if a route is invalid. It raises the MaxAttempts of a valid route
// to at least 1.
func (c *Config) checkRoute(r *Route) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("route %q: no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return fmt.Errorf("route %q: timeout must be positive", r.Name)
	case len(r.Destinations) == 0:
		return fmt.Errorf("route %q: no service", r.Name)
	}
	for _, d := range r.Destinations {
		if _, ok := c.Services[d.Service]; !ok {
			return fmt.Errorf("route %q: unknown service %q", r.Name, d.Service)
		}
	}
	r.MaxAttempts = max(r.MaxAttempts, 1)
	return nil
}

// Match returns the route of the host with the longest prefix that matches the path, or nil if
// none matches. The case of the host and a port in it are ignored.
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

// RouteCount returns the number of valid routes.
func (c *Config) RouteCount() int { return c.routeCount }

// ObjectiveOf returns the shortest latency objective of the routes to a service; 0 if none has one.
func (c *Config) ObjectiveOf(service string) time.Duration { return c.objectives[service] }

// PartitionedServices returns the sorted names of the partitioned services.
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

// Target is one lifetime of a backend server, as the server registered itself.
type Target struct {
	// ID identifies the server. A restarted server may use the same ID.
	ID string
	// Incarnation is the start time of the server in Unix milliseconds. Together with ID it
	// identifies one lifetime.
	Incarnation int64
	Service     string
	// Address is host:port.
	Address string
	Zone    string
	// Slots is the maximum number of requests that the server runs at a time.
	Slots int
	// Draining means that the server is shutting down and must not receive new requests.
	Draining bool
	// WarmUp is the time for which the server is still slow after its start, counted from the
	// time at which it wrote its entry in the store.
	WarmUp time.Duration
	// SoftwareVersion is the release that the server runs.
	SoftwareVersion string
}

// Lifetime identifies one lifetime of a target, from a start of its server to the next. It is an
// identity, not a duration.
type Lifetime struct {
	ID          string `json:"id" msgpack:"i"`
	Incarnation int64  `json:"incarnation" msgpack:"n"`
}

// Lifetime returns the identity of the lifetime of the target.
func (t *Target) Lifetime() Lifetime { return Lifetime{t.ID, t.Incarnation} }
