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
	// maxObjectBytes holds the largest value in base64 with its envelope.
	maxObjectBytes = 2 * store.MaxValueBytes
	// maxListBytes bounds a list; it holds the assignments of 22 cells at the target size.
	maxListBytes = 64 << 20
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
	// into receives the answer if it is not nil; check then judges it.
	into  any
	check func() error
	// limit bounds the answer in bytes. Default maxObjectBytes.
	limit int64
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
	if c.limit == 0 {
		c.limit = maxObjectBytes
	}
	if err := readAnswer(response, c); err != nil {
		return c.lost(true, err)
	}
	return nil
}

// send returns a 2xx answer or a typed error.
func (s *Store) send(ctx context.Context, c call) (*http.Response, error) {
	request, reached, err := s.request(ctx, c)
	if err != nil {
		return nil, err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, c.lost(reached.Load(), err)
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	return nil, c.refused(response)
}

// request builds a request. The flag tells afterwards whether it had a
// connection, that is, whether the server may have received it.
func (s *Store) request(ctx context.Context, c call) (*http.Request, *atomic.Bool, error) {
	var body io.Reader = http.NoBody
	if c.body != nil {
		b, err := json.Marshal(c.body)
		if err != nil {
			return nil, nil, c.lost(false, err)
		}
		body = bytes.NewReader(b)
	}
	reached := &atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { reached.Store(true) },
	})
	r, err := http.NewRequestWithContext(ctx, c.method, s.options.URL.String()+c.path, body)
	if err != nil {
		return nil, nil, c.lost(false, err)
	}
	for name, values := range c.header {
		r.Header[name] = values
	}
	r.Header.Set("Content-Type", objectapi.ContentType)
	return r, reached, nil
}

func readAnswer(r *http.Response, c call) error {
	b, err := io.ReadAll(io.LimitReader(r.Body, c.limit+1))
	switch {
	case err != nil:
		return err
	case int64(len(b)) > c.limit:
		return fmt.Errorf("answer exceeds %d bytes", c.limit)
	case c.into == nil:
		return nil
	}
	if err := json.Unmarshal(b, c.into); err != nil {
		return err
	}
	if c.check != nil {
		return c.check()
	}
	return nil
}

// refused turns an answer that is not 2xx into a typed error. Without one of
// the API's codes the answer may come from something in between, so the outcome
// of a write is unknown.
func (c call) refused(r *http.Response) error {
	var body objectapi.ErrorBody
	_ = json.NewDecoder(io.LimitReader(r.Body, maxObjectBytes)).Decode(&body)
	for _, known := range objectapi.Codes {
		if body.Error == known.Code && r.StatusCode == known.Status {
			return fmt.Errorf("%s %s: %w", c.method, c.path, known.Err)
		}
	}
	return c.lost(true, fmt.Errorf("status %d, code %q: %.200s", r.StatusCode, body.Error, body.Message))
}

// lost is the error of a call without a usable answer.
func (c call) lost(reached bool, cause error) error {
	kind := store.ErrUnavailable
	if reached && c.method != http.MethodGet {
		kind = store.ErrOutcomeUnknown
	}
	if errors.Is(cause, os.ErrDeadlineExceeded) && !errors.Is(cause, context.DeadlineExceeded) {
		cause = errors.Join(cause, context.DeadlineExceeded)
	}
	return fmt.Errorf("%s %s: %w: %w", c.method, c.path, kind, cause)
}
