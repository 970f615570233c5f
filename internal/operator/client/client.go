// Package client calls the operator API of an instance. A Client is safe for
// concurrent use.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/boragegate/boragegate/internal/operator/api"
)

// maxResponseBytes limits a response body, so that a server at a wrong address
// cannot exhaust memory.
const maxResponseBytes = 16 << 20

// ErrUnreachable means that the request was not sent to the instance, so nothing
// was changed.
var ErrUnreachable = errors.New("the instance cannot be reached")

// ErrNoResponse means that the request was sent, but no complete and valid
// response was received. A change may or may not have been made.
var ErrNoResponse = errors.New("no valid response was received")

// Client calls the operator API of one instance.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
}

// New returns a client for an instance at "http://host:port" or
// "https://host:port". If token is empty, requests have no Authorization header.
func New(baseURL, token string, httpClient *http.Client) *Client {
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), token: token, http: httpClient}
}

// Get requests a path with a query and decodes the response. The error is an
// *api.Problem, or wraps ErrUnreachable or ErrNoResponse. This applies to the methods of
// Client as well.
func Get[T any](ctx context.Context, c *Client, path string, query url.Values) (T, error) {
	var v T
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	err := c.do(ctx, http.MethodGet, path, nil, &v)
	return v, err
}

// Table returns the current table, or the given version if it is not 0.
func (c *Client) Table(ctx context.Context, version uint64) (api.Table, error) {
	if version > 0 {
		return Get[api.Table](ctx, c, api.PathVersions+strconv.FormatUint(version, 10), nil)
	}
	return Get[api.Table](ctx, c, api.PathTable, nil)
}

// ActiveVersions reports which instances use the given version or a later one; 0
// stands for the current version.
func (c *Client) ActiveVersions(ctx context.Context, version uint64) (api.ActiveVersions, error) {
	return Get[api.ActiveVersions](ctx, c, api.PathInForce, url.Values{"version": {strconv.FormatUint(version, 10)}})
}

// Apply makes a new version of the table.
func (c *Client) Apply(ctx context.Context, in api.ApplyRequest) (api.ChangeResult, error) {
	var out api.ChangeResult
	err := c.do(ctx, http.MethodPut, api.PathTable, in, &out)
	return out, err
}

// Rollback makes a new version with the content of an older one.
func (c *Client) Rollback(ctx context.Context, in api.RollbackRequest) (api.ChangeResult, error) {
	var out api.ChangeResult
	err := c.do(ctx, http.MethodPost, api.PathRollback, in, &out)
	return out, err
}

// Forget removes permanently failed instances from the cell record.
func (c *Client) Forget(ctx context.Context, in api.ForgetRequest) error {
	return c.do(ctx, http.MethodPost, api.PathForget, in, &struct{}{})
}

func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return classifySendError(err)
	}
	defer res.Body.Close() //nolint:errcheck // only read
	b, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	if res.StatusCode != http.StatusOK {
		return problemOf(res, b)
	}
	if err := json.Unmarshal(b, out); err != nil {
		return fmt.Errorf("%w: %s%s does not answer like an instance of boragegate: %w", ErrNoResponse, c.baseURL, path, err)
	}
	return nil
}

func problemOf(res *http.Response, b []byte) error {
	p := &api.Problem{}
	if err := json.Unmarshal(b, p); err != nil || p.Code == "" {
		return fmt.Errorf("%w: status %s from %s", ErrNoResponse, res.Status, res.Request.URL)
	}
	return p
}
