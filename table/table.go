// Package table defines the operators' table: the services, and one row per
// service and target with its weight and limits. It parses, validates, encodes,
// compares and merges tables.
package table

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as a JSON string, for example "3s".
type Duration time.Duration

// MarshalJSON encodes the duration as a string, for example "3s".
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a duration from a string in the format of time.ParseDuration.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("decode duration: %w", err)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*d = Duration(v)
	return nil
}

// Preference selects the goal that rebalancing favours for a service.
type Preference string

// Preferences.
const (
	// Availability corrects imbalance sooner, at the cost of more moves.
	Availability Preference = "availability"
	// Stability moves keys only if the imbalance is large or persistent.
	Stability Preference = "stability"
)

// Table is one version of the operators' table.
type Table struct {
	// Version increases by one with every accepted change. 0 means that the table
	// has not been stored yet.
	Version uint64 `json:"version,omitempty"`
	// Services are the services; their names are unique.
	Services []Service `json:"services"`
	// Rows are the targets, with one row per service and target.
	Rows []Row `json:"rows"`
}

// Service describes one service.
type Service struct {
	// Name is the first path segment of requests to the service.
	Name string `json:"name"`
	// Divided is true if the keys are divided among the targets, so that each key is owned
	// by at most one of them at a time.
	Divided bool `json:"divided"`
	// Partitions is the number of partitions that keys are hashed to. It cannot
	// change while the service exists. Default 1024, range 1 to 65536.
	Partitions int `json:"partitions,omitempty"`
	// KeyPath is a path pattern with one {key} segment, for example
	// "/routes/{key}". The header Boragegate-Key overrides it.
	KeyPath string `json:"key_path,omitempty"`
	// ChecksGrants is true if the backend servers check leases, terms and epochs.
	ChecksGrants bool `json:"checks_grants"`
	// NotRepeatable lists the HTTP methods that are executed at most once per
	// Idempotency-Key, for example "POST".
	NotRepeatable []string `json:"not_repeatable,omitempty"`
	// BulkPaths lists path prefixes of large downloads, which have a priority class
	// of their own.
	BulkPaths []string `json:"bulk_paths,omitempty"`
	// Prefer is the goal that rebalancing favours. Default availability.
	Prefer Preference `json:"prefer,omitempty"`
	// MaxRequestTime is the timeout of a request. Default 30s, range 10ms to 1h.
	MaxRequestTime Duration `json:"max_request_time,omitempty"`
	// DrainAfter is the time after which a draining target gets no new requests.
	// Default 3s, range 1ms to 10m.
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
	// Weight is the target's share of keys and load relative to the other rows of
	// the service. A target with weight 0 gets none. Default 1, range 0 to 1e6.
	Weight float64 `json:"weight"`
	// Slots is the maximum number of concurrent requests to the target. Range 1 to 10000.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections to the target. Default 100, or
	// Slots if that is larger; range Slots to 100000.
	Connections int `json:"connections"`
	// Queue is the maximum number of requests that wait for a slot. Default 64, range 0
	// to 100000.
	Queue int `json:"queue"`
	// Rate is the maximum number of requests per second, up to 1e6; 0 means no limit.
	Rate float64 `json:"rate,omitempty"`
	// Drain is true if the target is being taken out of service.
	Drain bool `json:"drain,omitempty"`
}

// ID returns the identifier of the row, "service/target", unique in a table.
func (r Row) ID() string { return r.Service + "/" + r.Target }

// Leased reports whether the service needs leases on its targets, because it is
// divided by key or has requests that must not be repeated.
func (s Service) Leased() bool { return s.Divided || len(s.NotRepeatable) > 0 }

// Service returns the service with the given name, and false if there is none.
func (t *Table) Service(name string) (Service, bool) {
	for _, s := range t.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// RowsOf returns the rows of the named service in table order.
func (t *Table) RowsOf(service string) []Row {
	var rows []Row
	for _, r := range t.Rows {
		if r.Service == service {
			rows = append(rows, r)
		}
	}
	return rows
}
