// Package settings loads and validates the settings of the daemon and of the
// command-line tool. Each source overrides those before it: defaults, file,
// environment variables, flags. All findings are reported together.
package settings

import (
	"encoding/json"
	"time"

	"github.com/boragegate/boragegate/table"
)

// Duration is a time span that is written as text, for example "3s".
type Duration = table.Duration

// Daemon holds the settings of an instance.
type Daemon struct {
	// Instance is the ID of the instance, unique in the platform.
	Instance string `json:"instance"`
	// Zone is the availability zone of the instance.
	Zone string `json:"zone"`
	// Cell is the cell of the instance. Default "main".
	Cell string `json:"cell"`
	// Listen holds the addresses on which the instance listens.
	Listen Addresses `json:"listen"`
	// Advertise holds the addresses at which others reach the instance. Each defaults to the one in Listen.
	Advertise Addresses `json:"advertise"`
	// Store selects and configures the module that connects to the platform's store.
	Store Store `json:"store"`
	// TLS configures encryption and authentication of the listeners.
	TLS DaemonTLS `json:"tls"`
	// KnownZones lists the availability zones that rows of the table may name; an empty list accepts every zone.
	KnownZones []string `json:"known_zones"`
	// Timeouts holds time limits and delays of the daemon.
	Timeouts Timeouts `json:"timeouts"`
	// Log configures the log.
	Log Log `json:"log"`
	// Operators lists the people and programs that may use the operator API.
	Operators []Operator `json:"operators"`
}

// Addresses holds one address per listener: an IP address and a port, for example
// "10.0.0.1:7001". Host names are not accepted.
type Addresses struct {
	Caller   string `json:"caller"`
	Peer     string `json:"peer"`
	Forward  string `json:"forward"`
	Operator string `json:"operator"`
}

// Store names a store module and holds the configuration of that module.
type Store struct {
	// Module is the dotted module ID, for example "store.http".
	Module string `json:"module"`
	// Config is JSON that the module decodes and validates.
	Config json.RawMessage `json:"config"`
}

// TLS modes.
const (
	// ModePlain disables TLS and peer authentication.
	ModePlain = "plain"
	// ModeFiles enables TLS with certificates and keys from files.
	ModeFiles = "files"
)

// TLS configures encryption and authentication of one listener or client.
type TLS struct {
	// Mode is "files" or "plain". The daemon has no default mode, so that unencrypted listeners must be configured explicitly.
	Mode string `json:"mode"`
	// CertFile and KeyFile are PEM files with the local certificate and its private key.
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// CAFile is a PEM file with the CA certificates to which the certificate of the other side must chain.
	// A listener with a CA file requires client certificates; without one it does not ask for them.
	CAFile string `json:"ca_file"`
}

// DaemonTLS configures TLS for each listener. Internal applies to the peer and
// forward listeners, where both sides authenticate.
type DaemonTLS struct {
	Caller   TLS `json:"caller"`
	Internal TLS `json:"internal"`
	Operator TLS `json:"operator"`
}

// Timeouts holds time limits and delays of the daemon. Each value is above 0 and at most 24 h.
type Timeouts struct {
	// Shutdown is the time limit of a graceful stop. Default 30s.
	Shutdown Duration `json:"shutdown"`
	// BalancerLag is the delay at a graceful stop between failing the readiness check
	// and handing over the targets, in which load balancers stop sending
	// requests. It must be less than Shutdown. Default 2s.
	BalancerLag Duration `json:"balancer_lag"`
	// Store is the time limit of one store call. Default 2s.
	Store Duration `json:"store"`
	// ReadHeader is the time limit for reading the header of a request. Default 5s.
	ReadHeader Duration `json:"read_header"`
	// Idle is the time after which an unused connection is closed. Default 60s.
	Idle Duration `json:"idle"`
	// ClockSkew is the tolerated difference between the clocks of callers and instances. Default 2s.
	ClockSkew Duration `json:"clock_skew"`
	// IdempotencyRetention is the time for which idempotency records are kept. Default 1h.
	IdempotencyRetention Duration `json:"idempotency_retention"`
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `json:"level"`
	// EventsPerSecond is the maximum number of lines per second and event name, from 1 to 10000. Default 20.
	EventsPerSecond int `json:"events_per_second"`
}

// Operator is a person or program that authenticates with a bearer token. Exactly
// one of TokenFile and TokenSHA256 must be set.
type Operator struct {
	// Name identifies the operator in the audit trail.
	Name string `json:"name"`
	// TokenFile is the path of a file with the token.
	TokenFile string `json:"token_file"`
	// TokenSHA256 is the SHA-256 hash of the token in hexadecimal.
	TokenSHA256 string `json:"token_sha256"`
}

// Defaults of the daemon.
const (
	defaultShutdownTimeout      = Duration(30 * time.Second)
	defaultBalancerLag          = Duration(2 * time.Second)
	defaultStoreTimeout         = Duration(2 * time.Second)
	defaultReadHeaderTimeout    = Duration(5 * time.Second)
	defaultIdleTimeout          = Duration(time.Minute)
	defaultClockSkew            = Duration(2 * time.Second)
	defaultIdempotencyRetention = Duration(time.Hour)
	defaultEventsPerSecond      = 20
)

// DefaultDaemon returns the default settings of the daemon. They are incomplete:
// the instance, zone, listen addresses, store and TLS modes have no default.
func DefaultDaemon() *Daemon {
	return &Daemon{
		Cell: "main",
		Timeouts: Timeouts{
			Shutdown: defaultShutdownTimeout, BalancerLag: defaultBalancerLag, Store: defaultStoreTimeout,
			ReadHeader: defaultReadHeaderTimeout, Idle: defaultIdleTimeout, ClockSkew: defaultClockSkew,
			IdempotencyRetention: defaultIdempotencyRetention,
		},
		Log: Log{Level: "info", EventsPerSecond: defaultEventsPerSecond},
	}
}

// setAdvertiseDefaults replaces empty addresses in Advertise with those in Listen.
func (d *Daemon) setAdvertiseDefaults() {
	for to, from := range map[*string]string{
		&d.Advertise.Caller: d.Listen.Caller, &d.Advertise.Peer: d.Listen.Peer,
		&d.Advertise.Forward: d.Listen.Forward, &d.Advertise.Operator: d.Listen.Operator,
	} {
		if *to == "" {
			*to = from
		}
	}
}
