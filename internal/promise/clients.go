package promise

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

const (
	defaultKeys      = 200
	defaultClients   = 12
	requestTimeout   = 5 * time.Second
	defaultThinkTime = 10 * time.Millisecond
)

// Clients send a light load: GET and PUT requests to the service "route", and POST
// requests to the service "order" that must not be repeated.
type Clients struct {
	// Addresses returns the addresses of the caller listeners of the instances that are
	// ready, as a load balancer would know them.
	Addresses func() []string
	// Count and Keys are the numbers of clients and keys, ThinkTime is the delay between
	// requests of a client. NewClients sets 12, 200 and 10 ms. Set other values before Run.
	Count, Keys int
	ThinkTime   time.Duration

	http *http.Client

	mu      sync.Mutex
	results []Result
}

// NewClients returns clients with the default counts and think time.
func NewClients(addresses func() []string) *Clients {
	return &Clients{
		Addresses: addresses, Count: defaultClients, Keys: defaultKeys, ThinkTime: defaultThinkTime,
		http: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: defaultClients}},
	}
}

// Run sends requests until the context is cancelled, and waits for those in flight.
func (c *Clients) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range c.Count {
		wg.Go(func() { c.runClient(ctx, i) })
	}
	wg.Wait()
	c.http.CloseIdleConnections()
}

func (c *Clients) runClient(ctx context.Context, n int) {
	for i := 0; ctx.Err() == nil; i++ {
		// Clients use different keys at the same i, so that requests of one key do not
		// overlap while the clients keep pace, and the time without a response can be
		// measured for each key. Each client has its own keys only if Keys is a multiple
		// of Count.
		key := fmt.Sprintf("k%d", (i*c.Count+n)%c.Keys)
		if addresses := c.Addresses(); len(addresses) > 0 {
			c.addResult(c.sendNext(addresses[(i+n)%len(addresses)], key, i))
		}
		select {
		case <-time.After(c.ThinkTime):
		case <-ctx.Done():
		}
	}
}

func (c *Clients) addResult(r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// sendNext sends the client's request number i: a GET or PUT to the partitioned service
// "route", or every fourth time a POST to the service "order".
func (c *Clients) sendNext(address, key string, i int) Result {
	r := Result{Service: "route", Key: key, Method: http.MethodGet}
	switch i % 4 {
	case 1:
		r.Method = http.MethodPut
	case 3:
		r.Service, r.Method = "order", http.MethodPost
	}
	return c.Send(context.Background(), address, r)
}

// Send sends one request to the caller listener at address and returns r with its times,
// status, outcome, problem type and mismatch. A request without an ID gets a new one. A
// request with the ID of an earlier one is a retry. Send is safe for concurrent use.
func (c *Clients) Send(ctx context.Context, address string, r Result) Result {
	if r.ID == "" {
		r.ID = uuid.Must(uuid.NewV7()).String()
	}
	r.Begin = time.Now()
	path := "/items/" + r.Key + "/" + r.ID
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+"/"+r.Service+path, http.NoBody)
	if err != nil {
		r.Outcome, r.Mismatch, r.End = OutcomeNotRun, err.Error(), time.Now()
		return r
	}
	req.Header.Set("Boragegate-Key", r.Key)
	req.Header.Set("Idempotency-Key", r.ID)
	resp, err := c.http.Do(req)
	if err != nil {
		r.Outcome, r.End = OutcomeUnknown, time.Now()
		// net/http may retry a request, so a connection error of the last attempt alone
		// does not prove that nothing was sent.
		if !sent.Load() {
			r.Outcome = OutcomeNotRun
		}
		return r
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read
	r.readResponse(resp, path)
	r.End = time.Now()
	return r
}

// readResponse sets Status, Outcome and ProblemType from the response, and Mismatch if the
// response is malformed or does not belong to the request.
func (r *Result) readResponse(resp *http.Response, path string) {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.Outcome = OutcomeUnknown
		return
	}
	r.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		var problem struct {
			Type    string `json:"type"`
			Outcome string `json:"outcome"`
		}
		if r.Outcome = OutcomeUnknown; json.Unmarshal(body, &problem) == nil && problem.Outcome != "" {
			r.Outcome, r.ProblemType = problem.Outcome, problem.Type
		}
		return
	}
	var response struct {
		Path string `json:"path"`
		Key  string `json:"key"`
	}
	r.Outcome = OutcomeRun
	if err := json.Unmarshal(body, &response); err != nil {
		r.Mismatch = "the response body is not a JSON object with a path and a key"
		return
	}
	if !strings.HasSuffix(response.Path, path) || response.Key != r.Key {
		r.Mismatch = "the response does not have the path and the key of the request; its path is " + response.Path
	}
}

// TakeResults returns the results since the previous call and removes them.
func (c *Clients) TakeResults() []Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.results
	c.results = nil
	return r
}
