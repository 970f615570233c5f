// Package backend is the client side of the contract for backend servers
// (docs/backend-contract.md). Callers' requests are sent by package gateway
// instead.
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
	// maxReplyBytes is the maximum size in bytes of a server's reply.
	maxReplyBytes = 64 << 10
	// connectionsPerServer is the maximum number of connections to a server over each
	// protocol. HTTP/1.1 needs one for the renewal that the server holds open, one for
	// grants, and one for releases that wait for requests in flight.
	connectionsPerServer = 3
	leasePath            = "/boragegate/v1/lease"
	releasePath          = "/boragegate/v1/release"
	healthPath           = "/boragegate/v1/health"
)

// Client sends lease, release and health requests to backend servers. It is safe
// for concurrent use.
type Client struct{ http *http.Client }

// New returns a client with its own connection pool.
func New() *Client {
	return &Client{http: &http.Client{Transport: newProtocolTransport()}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call sends a lease or release request to the server at address. It returns
// ownership.ErrStaleTerm if the server has seen a higher term; the reply then
// contains that term.
func (c *Client) Call(ctx context.Context, address string, req ownership.ServerRequest) (ownership.ServerReply, error) {
	path := leasePath
	if req.Release {
		path = releasePath
	}
	body, err := json.Marshal(req)
	if err != nil {
		return ownership.ServerReply{}, eris.Wrap(err, "encode request to backend server")
	}
	resp, err := c.do(ctx, http.MethodPost, "http://"+address+path, body) //nolint:bodyclose // closed by drain
	if err != nil {
		return ownership.ServerReply{}, err
	}
	defer drain(resp.Body)
	return decodeReply(resp)
}

// Healthy reports whether the health endpoint of the server at address returns status
// 200 and the state "ok".
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
		return nil, eris.Wrap(err, "build request to backend server")
	}
	// Most of the control traffic is renewals; without a User-Agent they are smaller.
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
		return reply, eris.Wrap(err, "decode reply of backend server")
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return reply, nil
	case http.StatusConflict:
		return reply, ownership.ErrStaleTerm
	default:
		return reply, fmt.Errorf("backend server returned status %d, expected 200 or 409", resp.StatusCode)
	}
}

// drain reads the rest of a body and closes it, so that the connection can be
// reused.
func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxReplyBytes)
	_ = body.Close()
}
