// Package table holds the operators' table: services, and one row per service
// and target with its weight and limits.
package table

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration written as text in JSON, for example "3s".
type Duration time.Duration

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a duration from text.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	*d = Duration(v)
	return nil
}

// Preference says which measure a service weighs most.
type Preference string

// Preferences.
const (
	// Availability reacts to imbalance sooner, at the price of more moves.
	Availability Preference = "availability"
	// Stability moves keys only when imbalance is large or lasting.
	Stability Preference = "stability"
)

// Table is one version of the operators' table.
type Table struct {
	// Version rises by one with every accepted change. 0 in a file means "not stored yet".
	Version uint64 `json:"version,omitempty"`
	// Services are the services, by unique name.
	Services []Service `json:"services"`
	// Rows are the targets, one row per service and target.
	Rows []Row `json:"rows"`
}

// Service describes one service.
type Service struct {
	// Name is the first path segment of requests to the service.
	Name string `json:"name"`
	// Divided says that each key is owned by exactly one target.
	Divided bool `json:"divided"`
	// Partitions is the number of partitions that keys hash to. It cannot change
	// while the service exists. Default 1024, range 1 to 65536.
	Partitions int `json:"partitions,omitempty"`
	// KeyPath is a path pattern with one {key} segment, for example
	// "/routes/{key}". The header Boragegate-Key overrides it.
	KeyPath string `json:"key_path,omitempty"`
	// ChecksGrants says that the servers check leases, terms and epochs.
	ChecksGrants bool `json:"checks_grants"`
	// NotRepeatable lists the methods that run at most once per Idempotency-Key, for example "POST".
	NotRepeatable []string `json:"not_repeatable,omitempty"`
	// BulkPaths lists path prefixes of large downloads, which have their own priority class.
	BulkPaths []string `json:"bulk_paths,omitempty"`
	// Prefer is the measure that the service weighs most. Default availability.
	Prefer Preference `json:"prefer,omitempty"`
	// MaxRequestTime bounds a request. Default 30s.
	MaxRequestTime Duration `json:"max_request_time,omitempty"`
	// DrainAfter is the time after which a leaving target gets no new work. Default 3s.
	DrainAfter Duration `json:"drain_after,omitempty"`
}

// Row is one target of one service.
type Row struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Target is the name of the target, unique within the service.
	Target string `json:"target"`
	// Address is the host:port of the backend server.
	Address string `json:"address"`
	// Zone is the availability zone of the backend server.
	Zone string `json:"zone"`
	// Weight is the target's share of keys and load, relative to the other rows
	// of the service. 0 assigns nothing to it.
	Weight float64 `json:"weight"`
	// Slots is the number of requests that run at the target at a time.
	Slots int `json:"slots"`
	// Connections is the largest number of connections to the target.
	Connections int `json:"connections"`
	// Queue is the largest number of requests that wait for a slot.
	Queue int `json:"queue"`
	// Rate is the largest number of requests per second; 0 means no limit.
	Rate float64 `json:"rate,omitempty"`
	// Drain says that the target is leaving.
	Drain bool `json:"drain,omitempty"`
}

// ID returns "service/target".
func (r Row) ID() string { return r.Service + "/" + r.Target }

// Leased reports whether targets of the service are held by leases: the service
// is divided by key or has requests that must not be repeated.
func (s Service) Leased() bool { return s.Divided || len(s.NotRepeatable) > 0 }

// Service returns the service with that name.
func (t *Table) Service(name string) (Service, bool) {
	for _, s := range t.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// RowsOf returns the rows of a service in table order.
func (t *Table) RowsOf(service string) []Row {
	var rows []Row
	for _, r := range t.Rows {
		if r.Service == service {
			rows = append(rows, r)
		}
	}
	return rows
}
