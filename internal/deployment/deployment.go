// Package deployment is the seam between an entry instance and the machines it
// runs on: settings, store, lists of targets and routes, orders to targets, and
// the names of headers. A platform's adapter implements Platform and registers
// itself with the kernel under "deployment.<name>". Decisions stay on this side
// of the seam; adapters only translate.
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

// Settings are what an instance is told when it starts.
type Settings struct {
	// Instance names the instance; Zone is its availability zone.
	Instance, Zone string
	// CallerAddress is the host:port for callers.
	CallerAddress string
	// ReadinessAddress is the host:port for the balancer's questions.
	ReadinessAddress string
	// PeerAddress is the host:port for other instances.
	PeerAddress string
	// ConfigApplyTimeout is the time within which a change of the configuration has to be in
	// force everywhere; 0 if it is not told.
	ConfigApplyTimeout time.Duration
	// MetricsAddress is the host:port for metrics.
	MetricsAddress string
	// MemoryBytes is the limit of the process's memory; 0 means none.
	MemoryBytes int64
	// MaxFiles is the limit of open descriptors; 0 means none.
	MaxFiles int
	// Cores is the processor time that the instance has, in cores; 0 if unknown.
	Cores float64
	// LinkMbps is the bandwidth of its machine's link in Mbit/s; 0 if unknown.
	LinkMbps float64
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	// MaxLeaseDuration is the longest hold time of a grant.
	MaxLeaseDuration time.Duration
	// Retries bounds repeated requests of all instances together.
	Retries RetryBudget
	// Policy says which mechanisms of the decisions are switched off. It is not the
	// platform's to set.
	Policy dispatch.Policy
}

// RetryBudget bounds the requests that reach a service more than once: in any
// window, at most Ratio times the requests for the service and Slack.
type RetryBudget struct {
	Ratio  float64
	Slack  int
	Window time.Duration
}

// Headers are the names of the headers that the system reads or sets.
type Headers struct {
	// RequestID identifies one attempt of a client; targets repeat it in answers.
	RequestID string
	// Deadline says how long the client, or the system, will wait.
	Deadline string
	// ExpectTarget names the target that a request is meant for; others refuse it.
	ExpectTarget string
	// ShardKey is the key of a request for a partitioned service.
	ShardKey string
	// ResponseStamp marks an answer of a target.
	ResponseStamp string
	// NotExecuted marks an answer to a request that the target did not run.
	NotExecuted string
	// Load is the target's load.
	Load string
	// Leaving is set in all answers of a target that is about to leave.
	Leaving string
}

// Load is what a target reports of itself.
type Load struct {
	Running, Waiting, Slots int
}

// Store is the part of the platform's store that an entry instance uses. Errors
// wrap those of package store.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	// GetStale is Get where the answer may be seconds old; it costs less.
	GetStale(ctx context.Context, kind, name string) (store.Object, error)
	List(ctx context.Context, kind string) ([]store.Object, store.Version, error)
	Create(ctx context.Context, obj store.Object) (store.Object, error)
	Update(ctx context.Context, obj store.Object) (store.Object, error)
	store.Poller
}

// LeaseResponse is a target's answer to an order.
type LeaseResponse struct {
	rangelease.Outcome
	// Handover of a release is what the next holder of the span is to be given.
	Handover string
	// Leaving says that the target is about to leave.
	Leaving bool
}

// LeaseClient sends grants and releases to targets. Both end with their context, and
// then return Unanswered.
type LeaseClient interface {
	Grant(ctx context.Context, g *rangelease.Grant) LeaseResponse
	Release(ctx context.Context, r *rangelease.Release) LeaseResponse
}

// Platform is one platform as the instance uses it.
type Platform interface {
	// Settings reads the settings. Faulty ones are reported as a finding.List.
	Settings() (*Settings, error)
	// OpenStore returns the store of the settings that were read last.
	OpenStore() (Store, error)
	// LeaseClient returns the channel for orders to targets.
	LeaseClient() LeaseClient
	// Headers returns the names of headers.
	Headers() Headers
	// ReadinessPath is the path of the balancer's question.
	ReadinessPath() string
	// ConfigObject and TargetKind name the objects of the operator's
	// configuration and of the list of targets in the store.
	ConfigObject() (kind, name string)
	TargetKind() string
	// DecodeConfig returns the configuration, or nil if it is unreadable, and what is wrong with it.
	DecodeConfig(obj store.Object) (*routing.Config, finding.List)
	// DecodeTarget returns a target. Entries that name no usable target are errors.
	DecodeTarget(obj store.Object) (routing.Target, error)
	// ParseDeadline and FormatDeadline translate the value of Headers.Deadline.
	ParseDeadline(value string) (time.Duration, bool)
	FormatDeadline(d time.Duration) string
	// ParseLoad translates the value of Headers.Load.
	ParseLoad(value string) (Load, bool)
	// ParseLeaving translates the value of Headers.Leaving; an empty one says nothing.
	ParseLeaving(value string) bool
}
