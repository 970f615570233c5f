// Package httpstore implements store.Store as a client of the platform's object
// API over HTTP, which is specified in docs/reference/object-api.md. It registers
// itself as "store.http". It does not retry, because only the caller knows
// whether a write may be sent again.
package httpstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/store/objectapi"
)

// Defaults of the settings.
const (
	DefaultTimeout        = 2 * time.Second
	DefaultConnectTimeout = 500 * time.Millisecond
	// DefaultWatchIdleTimeout is three times the interval at which the API sends empty
	// lines on an idle watch.
	DefaultWatchIdleTimeout = 15 * time.Second
)

// Options configure a Store.
type Options struct {
	// URL is the base URL of the API, http or https.
	URL *url.URL
	// Timeout is the timeout of a call, including the read of its response, and of the
	// start of a watch. Default DefaultTimeout.
	Timeout time.Duration
	// ConnectTimeout is the timeout of the TCP connect and that of the TLS handshake.
	// Default DefaultConnectTimeout.
	ConnectTimeout time.Duration
	// WatchIdleTimeout is the time after which a watch ends if it receives no data, not
	// even empty lines. Default DefaultWatchIdleTimeout.
	WatchIdleTimeout time.Duration
	// CAFile is the path of a PEM file with the CA certificates by which the
	// server's certificate is verified. Default the CA certificates of the system.
	CAFile string
}

// Store is a client of the object API. It has no state except its connections and the era of
// the store.
type Store struct {
	store.EraTracker
	options Options
	client  *http.Client
}

var (
	_ store.Store       = (*Store)(nil)
	_ store.Registrar   = (*Store)(nil)
	_ store.EraReporter = (*Store)(nil)
)

// New returns a client. It does not connect. It fails if the URL is not valid, or the
// CA file cannot be read or has no certificate.
func New(o Options) (*Store, error) {
	if o.URL == nil || o.URL.Host == "" || (o.URL.Scheme != "http" && o.URL.Scheme != "https") {
		return nil, errors.New("the URL of the store must have the scheme http or https and a host")
	}
	setDefault(&o.Timeout, DefaultTimeout)
	setDefault(&o.ConnectTimeout, DefaultConnectTimeout)
	setDefault(&o.WatchIdleTimeout, DefaultWatchIdleTimeout)
	transport, err := newTransport(o)
	if err != nil {
		return nil, err
	}
	return &Store{options: o, client: &http.Client{
		Transport: transport,
		// Redirects are not followed: the outcome of a redirected write would be unknown.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}, nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Close closes idle connections.
func (s *Store) Close() { s.client.CloseIdleConnections() }

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, kind, name string) (store.Object, error) {
	var obj store.Object
	err := s.do(ctx, call{method: http.MethodGet, path: objectapi.ObjectPath(kind, name), result: &obj, validate: checkObject(&obj, kind, name)})
	return obj, err
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, kind string) ([]store.Object, store.Version, error) {
	var list objectapi.ListBody
	err := s.do(ctx, call{method: http.MethodGet, path: objectapi.ObjectsPath + url.PathEscape(kind), result: &list, maxBytes: maxListResponseBytes})
	return list.Objects, list.Version, err
}

// Create implements store.Store.
func (s *Store) Create(ctx context.Context, obj store.Object) (store.Object, error) {
	return s.put(ctx, obj, "If-None-Match", "*")
}

// Update implements store.Store.
func (s *Store) Update(ctx context.Context, obj store.Object) (store.Object, error) {
	return s.put(ctx, obj, "If-Match", objectapi.FormatETag(obj.Version))
}

func (s *Store) put(ctx context.Context, obj store.Object, condition, value string) (store.Object, error) {
	if len(obj.Value) > store.MaxValueBytes {
		return store.Object{}, fmt.Errorf("put %s/%s, %d bytes: %w", obj.Kind, obj.Name, len(obj.Value), store.ErrTooLarge)
	}
	var got store.Object
	err := s.do(ctx, call{
		method: http.MethodPut, path: objectapi.ObjectPath(obj.Kind, obj.Name),
		header: http.Header{condition: {value}},
		body:   objectapi.WriteBody{Writer: obj.Writer, Value: obj.Value},
		result: &got, validate: checkObject(&got, obj.Kind, obj.Name),
	})
	return got, err
}

// checkObject returns a function that checks that got, the decoded response, is the
// requested object. Otherwise the function returns an error and clears got.
func checkObject(got *store.Object, kind, name string) func() error {
	return func() error {
		if got.Kind == kind && got.Name == name && got.Version != 0 {
			return nil
		}
		err := fmt.Errorf("response contains another object than requested: %s/%s at version %d", got.Kind, got.Name, got.Version)
		*got = store.Object{}
		return err
	}
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, kind, name string, version store.Version) error {
	return s.do(ctx, call{
		method: http.MethodDelete, path: objectapi.ObjectPath(kind, name),
		header: http.Header{"If-Match": {objectapi.FormatETag(version)}},
	})
}

// Instances implements store.Store.
func (s *Store) Instances(ctx context.Context) ([]store.Instance, error) {
	var list []store.Instance
	err := s.do(ctx, call{method: http.MethodGet, path: objectapi.InstancesPath, result: &list, maxBytes: maxListResponseBytes})
	return list, err
}

// Register implements store.Registrar.
func (s *Store) Register(ctx context.Context, in store.Instance) error {
	return s.do(ctx, call{method: http.MethodPut, path: instancePath(in.ID), body: in})
}

// Deregister implements store.Registrar.
func (s *Store) Deregister(ctx context.Context, id string) error {
	return s.do(ctx, call{method: http.MethodDelete, path: instancePath(id)})
}

func instancePath(id string) string { return objectapi.InstancesPath + "/" + url.PathEscape(id) }

func watchPath(kind string, from store.Version) string {
	query := url.Values{objectapi.FromParameter: {strconv.FormatUint(uint64(from), 10)}}
	return objectapi.WatchPath + url.PathEscape(kind) + "?" + query.Encode()
}
