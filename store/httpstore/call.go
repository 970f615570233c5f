package httpstore

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync/atomic"
	"time"

	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/store/objectapi"
)

const (
	// maxObjectResponseBytes limits the response with one object. A value of MaxValueBytes
	// fits in base64 together with the other fields.
	maxObjectResponseBytes = 2 * store.MaxValueBytes
	// maxListResponseBytes limits the response with a list. The assignments of 22 cells of
	// the size that the design targets (docs/design.md, section 2.6) fit.
	maxListResponseBytes = 64 << 20
	// idleTimeout is shorter than the idle timeouts of common servers. If the server
	// closed an idle connection while a write is being sent on it, the outcome of the
	// write would be unknown.
	idleTimeout = 30 * time.Second
	// maxIdleConnections limits the idle connections to the store.
	maxIdleConnections = 4
)

func newTransport(o Options) (*http.Transport, error) {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: o.ConnectTimeout}).DialContext,
		TLSHandshakeTimeout: o.ConnectTimeout,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
	if o.CAFile == "" {
		return t, nil
	}
	pem, err := os.ReadFile(o.CAFile)
	if err != nil {
		return nil, fmt.Errorf("read the CA file of the store: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("CA file of the store: no PEM certificate in %s", o.CAFile)
	}
	t.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	return t, nil
}

// call describes a request and the response that is expected.
type call struct {
	method, path string
	header       http.Header
	// body is sent as JSON if it is not nil.
	body any
	// result receives the decoded response body if it is not nil; validate, if set,
	// then checks it.
	result   any
	validate func() error
	// maxBytes is the maximum size of the response body. Default maxObjectResponseBytes.
	maxBytes int64
}

// do makes a call and reads its response within Options.Timeout.
func (s *Store) do(ctx context.Context, c call) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()
	response, err := s.send(ctx, c)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if c.maxBytes == 0 {
		c.maxBytes = maxObjectResponseBytes
	}
	if err := readResponse(response, c); err != nil {
		return c.failure(true, err)
	}
	return nil
}

// send sends the request of a call. It returns a response with a 2xx status, whose
// body the caller closes, or an error that wraps one of the errors of package store.
func (s *Store) send(ctx context.Context, c call) (*http.Response, error) {
	request, connected, err := s.newRequest(ctx, c)
	if err != nil {
		return nil, err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, c.failure(connected.Load(), err)
	}
	s.ReportEraHeader(response.Header.Get(objectapi.EraHeader))
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	return nil, c.responseError(response)
}

// newRequest builds the HTTP request of a call. The returned flag is set when the
// request gets a connection; from then on the server may have received it.
func (s *Store) newRequest(ctx context.Context, c call) (*http.Request, *atomic.Bool, error) {
	var body io.Reader = http.NoBody
	if c.body != nil {
		b, err := json.Marshal(c.body)
		if err != nil {
			return nil, nil, c.failure(false, err)
		}
		body = bytes.NewReader(b)
	}
	connected := &atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r, err := http.NewRequestWithContext(ctx, c.method, s.options.URL.String()+c.path, body)
	if err != nil {
		return nil, nil, c.failure(false, err)
	}
	for name, values := range c.header {
		r.Header[name] = values
	}
	r.Header.Set("Content-Type", objectapi.ContentType)
	return r, connected, nil
}

func readResponse(r *http.Response, c call) error {
	b, err := io.ReadAll(io.LimitReader(r.Body, c.maxBytes+1))
	switch {
	case err != nil:
		return err
	case int64(len(b)) > c.maxBytes:
		return fmt.Errorf("response body exceeds %d bytes", c.maxBytes)
	case c.result == nil:
		return nil
	}
	if err := json.Unmarshal(b, c.result); err != nil {
		return err
	}
	if c.validate != nil {
		return c.validate()
	}
	return nil
}

// responseError returns the error for a response whose status is not 2xx. A response
// without an error code of the API, or with another status than the code requires, may
// come from a proxy, so the outcome of a write is unknown.
func (c call) responseError(r *http.Response) error {
	var body objectapi.ErrorBody
	_ = json.NewDecoder(io.LimitReader(r.Body, maxObjectResponseBytes)).Decode(&body)
	for _, code := range objectapi.ErrorCodes {
		if body.Error == code.Code && r.StatusCode == code.Status {
			return fmt.Errorf("%s %s: %w", c.method, c.path, code.Err)
		}
	}
	return c.failure(true, fmt.Errorf("unexpected response with status %d, error code %q: %.200s", r.StatusCode, body.Error, body.Message))
}

// failure returns the error of a call without a usable response. The outcome of a write
// is unknown if maybeReceived is set: the server may have received the request.
func (c call) failure(maybeReceived bool, cause error) error {
	kind := store.ErrUnavailable
	if maybeReceived && c.method != http.MethodGet {
		kind = store.ErrOutcomeUnknown
	}
	// A timeout of the connection may be reported as os.ErrDeadlineExceeded, but callers
	// test for context.DeadlineExceeded.
	if errors.Is(cause, os.ErrDeadlineExceeded) && !errors.Is(cause, context.DeadlineExceeded) {
		cause = errors.Join(cause, context.DeadlineExceeded)
	}
	return fmt.Errorf("%s %s: %w: %w", c.method, c.path, kind, cause)
}
