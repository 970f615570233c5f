package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// answer is what a client got for one attempt. Status 0 means that the connection ended without a complete answer.
type answer struct {
	id      string
	status  int
	stamped bool
	body    string
	took    time.Duration
}

// client sends requests to one address. Its connections are kept open, as those of a pool.
type client struct {
	w    *world
	http http.Client
	sent atomic.Int64
	// onSend is called before each attempt; it may be nil.
	onSend func(id, address string)
}

func newClient(w *world) *client {
	return &client{w: w, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// send sends one attempt with an ID of its own, and waits for the answer until its time budget is over.
func (c *client) send(address, method, path string, budget time.Duration, body []byte, headers ...string) answer {
	a := answer{id: fmt.Sprintf("%016x", uint64(c.sent.Add(1))*0x9E3779B97F4A7C15)}
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // addresses and paths are valid
	}
	r.GetBody = nil // the transport must not send an attempt twice
	r.Host = host
	r.Header.Set(idHeader, a.id)
	r.Header.Set(budgetHeader, strconv.FormatInt(budget.Milliseconds(), 10))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	if c.onSend != nil {
		c.onSend(a.id, address)
	}
	c.w.logf("client sends %s %s %s to %s", a.id, method, path, address)
	started := time.Now()
	resp, err := c.http.Do(r)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.body, a.stamped = string(b), resp.Header.Get(stampHeader) != ""
		if err == nil {
			a.status = resp.StatusCode
		}
	}
	a.took = time.Since(started)
	c.w.logf("client gets %d (stamp %t) for %s after %s, error %v", a.status, a.stamped, a.id, a.took.Round(time.Millisecond/10), err)
	return a
}
