// Package deployment defines the interface between an instance and the platform that it
// runs on: settings, the store, the lists of targets and routes, lease requests to
// targets, and the names of headers. An adapter of a platform implements Platform and
// registers itself as module "deployment.<name>". All decisions are made by the instance;
// adapters only translate.
package deployment

import (
	"context"
	"time"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/finding"
	"github.com/boragegate/boragegate/ownership/rangelease"
	"github.com/boragegate/boragegate/routing"
	"github.com/boragegate/boragegate/store"
)

// Settings are the settings that the platform gives an instance.
type Settings struct {
	// Instance is the name of the instance, and Zone its availability zone.
	Instance, Zone string
	// CallerAddress is the host:port of the listener for callers.
	CallerAddress string
	// ReadinessAddress is the host:port of the listener for the load balancer's readiness checks.
	ReadinessAddress string
	// PeerAddress is the host:port of the listener for other instances.
	PeerAddress string
	// ConfigApplyTimeout is the time within which a change of the configuration must be active
	// in all instances; 0 if the platform sets none.
	ConfigApplyTimeout time.Duration
	// EvacuationTimeout is the time within which the targets of a zone must get no more requests
	// after an operator has asked for its evacuation; 0 if the platform has no evacuations.
	EvacuationTimeout time.Duration
	// MetricsAddress is the host:port of the metrics listener.
	MetricsAddress string
	// MemoryBytes is the memory limit of the process; 0 means no limit.
	MemoryBytes int64
	// MaxOpenFiles is the limit of open file descriptors; 0 means no limit.
	MaxOpenFiles int
	// Cores is the CPU limit of the instance in cores; 0 if unknown.
	Cores float64
	// LinkMbps is the network bandwidth of the machine in Mbit/s; 0 if unknown.
	LinkMbps float64
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	// MaxLeaseDuration is the maximum lease duration that a grant may set; 0 means no limit.
	MaxLeaseDuration time.Duration
	// Retries limits the retries of all instances together.
	Retries RetryBudget
	// Policy selects the dispatch mechanisms that are disabled. The platform leaves it
	// unset; the command sets it.
	Policy dispatch.Policy
}

// RetryBudget limits the retries for each service: at most Ratio times the number of its
// requests, plus Slack, in any period of length Window.
type RetryBudget struct {
	Ratio  float64
	Slack  int
	Window time.Duration
}

// Headers holds the names of the HTTP headers that an instance reads or sets.
type Headers struct {
	// RequestID identifies one attempt of a caller; targets echo it in responses.
	RequestID string
	// Deadline is the time for which the sender, a caller or an instance, waits for the response.
	Deadline string
	// ExpectTarget is the target that a request is meant for; other targets refuse it.
	ExpectTarget string
	// ShardKey is the key of a request to a partitioned service.
	ShardKey string
	// ResponseStamp is set in every response that comes from a target.
	ResponseStamp string
	// NotExecuted is set in the response to a request that the target did not execute.
	NotExecuted string
	// Load is the load that a target reports in its responses.
	Load string
	// Leaving is a flag in all responses of a target that is about to shut down.
	Leaving string
	// RateLimit is set in the responses of a target that limits the requests that it takes from all instances
	// together, in requests per second.
	RateLimit string
}

// Load is the load reported by a target: requests running, requests queued and slots.
type Load struct {
	Running, Waiting, Slots int
	// Pace is the time that work takes on the target's machine at the moment, relative to the
	// usual time; 0 if the target does not report it.
	Pace float64
}

// Store is the part of the platform's store that an instance uses. Its methods do the same
// as those of store.Store and store.Poller. Errors wrap those of package store.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	// GetStale is like Get, but may return a state that is seconds old; it costs less.
	GetStale(ctx context.Context, kind, name string) (store.Object, error)
	List(ctx context.Context, kind string) ([]store.Object, store.Version, error)
	Create(ctx context.Context, obj store.Object) (store.Object, error)
	Update(ctx context.Context, obj store.Object) (store.Object, error)
	store.Poller
}

// LeaseResponse is the response of a target to a lease request.
type LeaseResponse struct {
	rangelease.Outcome
	// HandoverToken is the data that a release passes on to the next holder of the span.
	HandoverToken string
	// Leaving is set if the target is about to shut down.
	Leaving bool
}

// LeaseClient sends lease requests, which are grants and releases, to targets. A request whose
// context ends returns the outcome Unanswered.
type LeaseClient interface {
	// Grant grants a lease to a target, or renews it.
	Grant(ctx context.Context, g *rangelease.Grant) LeaseResponse
	// Release asks a target to give up its lease on a span. The target answers when its work
	// on the span has ended.
	Release(ctx context.Context, r *rangelease.Release) LeaseResponse
}

// Platform is the adapter of one platform.
type Platform interface {
	// Settings reads and validates the settings. Invalid settings are returned as a finding.List.
	Settings() (*Settings, error)
	// OpenStore returns the store named by the settings that were read last.
	OpenStore() (Store, error)
	// LeaseClient returns the client for lease requests to targets.
	LeaseClient() LeaseClient
	// Headers returns the names of the platform's HTTP headers.
	Headers() Headers
	// ReadinessPath returns the URL path of the load balancer's readiness check.
	ReadinessPath() string
	// ConfigObject returns the kind and name of the store object with the operator's
	// configuration, and TargetKind the kind of the store objects of targets.
	ConfigObject() (kind, name string)
	TargetKind() string
	// EvacuationKind is the kind of the store objects by which operators ask that a zone gets no
	// requests. The name of such an object is the zone.
	EvacuationKind() string
	// DecodeConfig returns the configuration, or nil if it cannot be decoded, and the
	// findings about it.
	DecodeConfig(obj store.Object) (*routing.Config, finding.List)
	// DecodeTarget returns a target, or an error if the object does not describe a usable one.
	DecodeTarget(obj store.Object) (routing.Target, error)
	// ParseDeadline and FormatDeadline convert the value of the header Headers.Deadline.
	// ParseDeadline returns false if the value is empty or invalid.
	ParseDeadline(value string) (time.Duration, bool)
	FormatDeadline(d time.Duration) string
	// ParseLoad parses the value of the header Headers.Load. It returns false if the value is
	// empty or invalid.
	ParseLoad(value string) (Load, bool)
}
