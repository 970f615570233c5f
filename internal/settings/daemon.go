// Package settings reads the settings of the daemon and of the command-line
// tool. Sources override each other in this order: defaults, file, environment
// variables, flags. Everything that is wrong is reported together.
package settings

import (
	"encoding/json"
	"time"

	"github.com/boragegate/boragegate/table"
)

// Duration is written as text, for example "3s".
type Duration = table.Duration

// Daemon holds the settings of an instance.
type Daemon struct {
	// Instance is the ID of the instance, unique in the platform.
	Instance string `json:"instance"`
	// Zone is the availability zone of the instance.
	Zone string `json:"zone"`
	// Cell is the cell of the instance.
	Cell string `json:"cell"`
	// Listen has the addresses on which the instance listens.
	Listen Addresses `json:"listen"`
	// Advertise has the addresses that other instances use; empty ones are those of Listen.
	Advertise Addresses `json:"advertise"`
	// Store selects the platform's store.
	Store Store `json:"store"`
	// TLS has the keys of the listeners.
	TLS DaemonTLS `json:"tls"`
	// KnownZones are the zones that rows of the table may name; empty accepts every zone.
	KnownZones []string `json:"known_zones"`
	// Timeouts bound waits.
	Timeouts Timeouts `json:"timeouts"`
	// Log sets up the log.
	Log Log `json:"log"`
	// Operators are the people and programs that may use the operator API.
	Operators []Operator `json:"operators"`
}

// Addresses are host:port of the four listeners.
type Addresses struct {
	Caller   string `json:"caller"`
	Peer     string `json:"peer"`
	Forward  string `json:"forward"`
	Operator string `json:"operator"`
}

// Store names the module of the store and its own settings.
type Store struct {
	// Module is the dotted ID, for example "store.http".
	Module string `json:"module"`
	// Config is checked by the module.
	Config json.RawMessage `json:"config"`
}

// TLS modes.
const (
	// ModePlain means no TLS and no authentication of the other side.
	ModePlain = "plain"
	// ModeFiles means TLS with keys from files.
	ModeFiles = "files"
)

// TLS has the keys of one kind of listener or client.
type TLS struct {
	// Mode is "files" or "plain". It has no default, so that plain is always asked for by name.
	Mode string `json:"mode"`
	// CertFile and KeyFile are the own certificate and key in PEM.
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// CAFile has the certificates that the other side's certificate must lead to.
	CAFile string `json:"ca_file"`
}

// DaemonTLS has the keys of each listener. Internal is for peers and forwarded
// requests, where both sides authenticate.
type DaemonTLS struct {
	Caller   TLS `json:"caller"`
	Internal TLS `json:"internal"`
	Operator TLS `json:"operator"`
}

// Timeouts bound waits of the daemon.
type Timeouts struct {
	// Shutdown bounds a graceful stop. Default 30s.
	Shutdown Duration `json:"shutdown"`
	// BalancerLag is the time between the failure of the readiness check and the
	// hand-over at a planned stop. Default 2s.
	BalancerLag Duration `json:"balancer_lag"`
	// Store bounds one call of the store. Default 2s.
	Store Duration `json:"store"`
	// ReadHeader bounds the time to read the header of a request. Default 5s.
	ReadHeader Duration `json:"read_header"`
	// Idle is the time after which an unused connection closes. Default 60s.
	Idle Duration `json:"idle"`
	// ClockSkew is the allowed difference of the clocks of callers and instances. Default 2s.
	ClockSkew Duration `json:"clock_skew"`
	// IdempotencyRetention is the time for which idempotency keys are kept. Default 1h.
	IdempotencyRetention Duration `json:"idempotency_retention"`
}

// Log sets up the log.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `json:"level"`
	// EventsPerSecond bounds the lines of one event name. Default 20.
	EventsPerSecond int `json:"events_per_second"`
}

// Operator is a person or program with a bearer token. Exactly one of TokenFile
// and TokenSHA256 is set.
type Operator struct {
	// Name appears in the audit trail.
	Name string `json:"name"`
	// TokenFile holds the token.
	TokenFile string `json:"token_file"`
	// TokenSHA256 is the SHA-256 of the token in hexadecimal.
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

// DefaultDaemon returns the defaults.
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

// setAdvertiseDefaults fills empty addresses of Advertise.
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
