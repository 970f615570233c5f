// Package backend is the client of the contract for backend servers
// (docs/backend-contract.md). Requests of callers take another path, through
// package gateway.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/boragegate/boragegate/ownership"
)

const (
	dialTimeout = 250 * time.Millisecond
	// maxReplyBytes bounds the body of a server's reply in bytes.
	maxReplyBytes = 64 << 10
	// connectionsPerServer is one for the renewal that the server holds, one for
	// grants, and one for releases that wait for requests in flight.
	connectionsPerServer = 3
	leasePath            = "/boragegate/v1/lease"
	releasePath          = "/boragegate/v1/release"
	healthPath           = "/boragegate/v1/health"
)

// Client calls backend servers. It is safe for concurrent use.
type Client struct{ http *http.Client }

// New returns a client.
func New() *Client {
	return &Client{http: &http.Client{Transport: newProtocolTransport()}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call sends a lease or release request. It returns ownership.ErrStaleTerm if
// the server has seen a higher term; the reply then has that term.
func (c *Client) Call(ctx context.Context, address string, req ownership.ServerRequest) (ownership.ServerReply, error) {
	path := leasePath
	if req.Release {
		path = releasePath
	}
	body, err := json.Marshal(req)
	if err != nil {
		return ownership.ServerReply{}, eris.Wrap(err, "encode request")
	}
	resp, err := c.do(ctx, http.MethodPost, "http://"+address+path, body) //nolint:bodyclose // closed by drain
	if err != nil {
		return ownership.ServerReply{}, err
	}
	defer drain(resp.Body)
	return decodeReply(resp)
}

// Healthy reports whether the server's health endpoint answers "ok".
func (c *Client) Healthy(ctx context.Context, address string) bool {
	resp, err := c.do(ctx, http.MethodGet, "http://"+address+healthPath, nil) //nolint:bodyclose // closed by drain
	if err != nil {
		return false
	}
	defer drain(resp.Body)
	var state struct {
		State string `json:"state"`
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&state)
	return err == nil && resp.StatusCode == http.StatusOK && state.State == "ok"
}

func (c *Client) do(ctx context.Context, method, url string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	// An empty User-Agent keeps renewals small: they are most of the control bytes.
	req.Header["User-Agent"] = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "call backend server")
	}
	return resp, nil
}

func decodeReply(resp *http.Response) (ownership.ServerReply, error) {
	var reply ownership.ServerReply
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&reply); err != nil {
		return reply, eris.Wrap(err, "decode reply")
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return reply, nil
	case http.StatusConflict:
		return reply, ownership.ErrStaleTerm
	default:
		return reply, fmt.Errorf("backend server answered status %d", resp.StatusCode)
	}
}

// drain reads the rest of a body so that the connection can be used again.
func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxReplyBytes)
	_ = body.Close()
}
