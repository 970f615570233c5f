// Package load is an open-loop load generator. Requests are sent on a fixed
// schedule that does not wait for responses, and latency is measured from the
// scheduled time, so a slow system cannot hide its delays by slowing the
// generator down. Every response is checked to belong to its request: the server
// must return JSON with the path and key of the request, as examples/backend does.
package load

import (
	"errors"
	"net/url"
	"strings"
	"time"
)

// Limits of a run.
const (
	maxRate     = 200_000 // requests per second
	maxDuration = time.Hour
)

// Config describes a run.
type Config struct {
	// URLs are the caller listeners, used round-robin, for example "http://127.0.0.1:8080".
	URLs []string
	// Service is the service name, the first segment of the path.
	Service string
	// Method is the method of all requests. Default GET.
	Method string
	// Path is the path below the service; {key} and {n} are replaced by the key
	// and the number of the request. Default "/items/{key}/{n}".
	Path string
	// Rate is the number of requests per second, above 0 and at most 200,000.
	Rate float64
	// Duration is the length of the schedule, at most one hour; responses may arrive
	// later.
	Duration time.Duration
	// Keys is the number of keys, which are chosen at random with equal probability.
	// Default 1000.
	Keys int
	// HotKeyFraction is the fraction of requests, 0 to 1, that go to one additional key.
	HotKeyFraction float64
	// MaxOutstanding is the maximum number of requests in flight.
	// Arrivals beyond it are counted as skipped. Default 1000.
	MaxOutstanding int
	// Timeout limits each request and is sent as its deadline. Default 1s.
	Timeout time.Duration
	// IdempotencyKeys sends a new Idempotency-Key with each request.
	IdempotencyKeys bool
	// BodyBytes is the size of each request body in bytes.
	BodyBytes int
	// Seed determines the sequence of keys, so that it can be repeated.
	Seed uint64
}

func (c Config) withDefaults() Config {
	if c.Method == "" {
		c.Method = "GET"
	}
	if c.Path == "" {
		c.Path = "/items/{key}/{n}"
	}
	if c.Keys == 0 {
		c.Keys = 1000
	}
	if c.MaxOutstanding == 0 {
		c.MaxOutstanding = 1000
	}
	if c.Timeout == 0 {
		c.Timeout = time.Second
	}
	return c
}

// Validate returns all errors of a configuration, joined, or nil. It does not apply the
// defaults, so Keys, MaxOutstanding and Timeout must be set.
func (c Config) Validate() error {
	var errs []error
	check := func(ok bool, text string) {
		if !ok {
			errs = append(errs, errors.New(text))
		}
	}
	check(len(c.URLs) > 0, "url: at least one is needed")
	for _, text := range c.URLs {
		u, err := url.Parse(text)
		check(err == nil && u.Host != "" && strings.HasPrefix(u.Scheme, "http"), "url: "+text+" is not an HTTP URL")
	}
	check(c.Service != "", "service: is missing")
	check(c.Rate > 0 && c.Rate <= maxRate, "rate: must be above 0 and at most 200000 requests per second")
	check(c.Duration > 0 && c.Duration <= maxDuration, "duration: must be above 0 and at most 1h")
	check(c.Keys > 0, "keys: must be at least 1")
	check(c.HotKeyFraction >= 0 && c.HotKeyFraction <= 1, "hot-share: must be between 0 and 1")
	check(c.MaxOutstanding > 0, "outstanding: must be at least 1")
	check(c.Timeout > 0, "timeout: must be above 0")
	return errors.Join(errs...)
}
