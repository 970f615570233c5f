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
	// maxObjectResponseBytes holds the largest value in base64 with its envelope.
	maxObjectResponseBytes = 2 * store.MaxValueBytes
	// maxListResponseBytes bounds a list; it holds the assignments of 22 cells at the target size.
	maxListResponseBytes = 64 << 20
	// idleTimeout is below the idle timeouts of common servers. A server that
	// closes an idle connection while a write leaves makes its outcome unknown.
	idleTimeout = 30 * time.Second
	// maxIdleConnections bounds the idle connections to the store.
	maxIdleConnections = 4
)

func newTransport(o Options) (*http.Transport, error) {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: o.ConnectTimeout}).DialContext,
		TLSHandshakeTimeout: o.ConnectTimeout,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
	if o.Authority == "" {
		return t, nil
	}
	pem, err := os.ReadFile(o.Authority)
	if err != nil {
		return nil, fmt.Errorf("store authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("store authority: %s has no certificate", o.Authority)
	}
	t.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	return t, nil
}

// call is one request with what its answer must be.
type call struct {
	method, path string
	header       http.Header
	// body is sent as JSON if it is not nil.
	body any
	// result receives the answer if it is not nil; check then judges it.
	result   any
	validate func() error
	// maxBytes bounds the answer in bytes. Default maxObjectResponseBytes.
	maxBytes int64
}

// do makes a call within the timeout.
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

// send returns a 2xx answer or a typed error.
func (s *Store) send(ctx context.Context, c call) (*http.Response, error) {
	request, reached, err := s.newRequest(ctx, c)
	if err != nil {
		return nil, err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, c.failure(reached.Load(), err)
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	return nil, c.responseError(response)
}

// newRequest builds a request. The flag tells afterwards whether it had a
// connection, that is, whether the server may have received it.
func (s *Store) newRequest(ctx context.Context, c call) (*http.Request, *atomic.Bool, error) {
	var body io.Reader = http.NoBody
	if c.body != nil {
		b, err := json.Marshal(c.body)
		if err != nil {
			return nil, nil, c.failure(false, err)
		}
		body = bytes.NewReader(b)
	}
	reached := &atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { reached.Store(true) },
	})
	r, err := http.NewRequestWithContext(ctx, c.method, s.options.URL.String()+c.path, body)
	if err != nil {
		return nil, nil, c.failure(false, err)
	}
	for name, values := range c.header {
		r.Header[name] = values
	}
	r.Header.Set("Content-Type", objectapi.ContentType)
	return r, reached, nil
}

func readResponse(r *http.Response, c call) error {
	b, err := io.ReadAll(io.LimitReader(r.Body, c.maxBytes+1))
	switch {
	case err != nil:
		return err
	case int64(len(b)) > c.maxBytes:
		return fmt.Errorf("answer exceeds %d bytes", c.maxBytes)
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

// responseError turns an answer that is not 2xx into a typed error. Without one of
// the API's codes the answer may come from something in between, so the outcome
// of a write is unknown.
func (c call) responseError(r *http.Response) error {
	var body objectapi.ErrorBody
	_ = json.NewDecoder(io.LimitReader(r.Body, maxObjectResponseBytes)).Decode(&body)
	for _, known := range objectapi.ErrorCodes {
		if body.Error == known.Code && r.StatusCode == known.Status {
			return fmt.Errorf("%s %s: %w", c.method, c.path, known.Err)
		}
	}
	return c.failure(true, fmt.Errorf("status %d, code %q: %.200s", r.StatusCode, body.Error, body.Message))
}

// failure is the error of a call without a usable answer.
func (c call) failure(reached bool, cause error) error {
	kind := store.ErrUnavailable
	if reached && c.method != http.MethodGet {
		kind = store.ErrOutcomeUnknown
	}
	if errors.Is(cause, os.ErrDeadlineExceeded) && !errors.Is(cause, context.DeadlineExceeded) {
		cause = errors.Join(cause, context.DeadlineExceeded)
	}
	return fmt.Errorf("%s %s: %w: %w", c.method, c.path, kind, cause)
}
