package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

const (
	demoKeys       = 200
	demoClients    = 12
	requestTimeout = 5 * time.Second
	thinkTime      = 10 * time.Millisecond
)

// result is one request as its caller saw it.
type result struct {
	service string
	key     string
	id      string
	method  string
	begin   time.Time
	end     time.Time
	outcome string
	wrong   string
}

// clients send a light load until the context ends.
type clients struct {
	addresses []string
	http      *http.Client

	mu      sync.Mutex
	results []result
}

func newClients(addresses []string) *clients {
	return &clients{addresses: addresses, http: &http.Client{Timeout: requestTimeout}}
}

func (c *clients) run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range demoClients {
		wg.Go(func() { c.client(ctx, i) })
	}
	wg.Wait()
}

func (c *clients) client(ctx context.Context, n int) {
	for i := 0; ctx.Err() == nil; i++ {
		// Each client has its own keys, so that a key's requests do not overlap
		// and the time without an answer is that of the key.
		key := fmt.Sprintf("k%d", (i*demoClients+n)%demoKeys)
		r := c.request(c.addresses[(i+n)%len(c.addresses)], key, i)
		c.mu.Lock()
		c.results = append(c.results, r)
		c.mu.Unlock()
		time.Sleep(thinkTime)
	}
}

// request alternates between reads of the divided service and orders that must
// not be repeated.
func (c *clients) request(address, key string, i int) result {
	r := result{service: "route", key: key, method: http.MethodGet, begin: time.Now(), id: uuid.Must(uuid.NewV7()).String()}
	switch i % 4 {
	case 1:
		r.method = http.MethodPut
	case 3:
		r.service, r.method = "order", http.MethodPost
	}
	path := "/items/" + key + "/" + r.id
	req, err := http.NewRequest(r.method, "http://"+address+"/"+r.service+path, strings.NewReader(""))
	if err != nil {
		r.outcome = err.Error()
		return r
	}
	req.Header.Set("Boragegate-Key", key)
	req.Header.Set("Idempotency-Key", r.id)
	r.outcome, r.wrong = c.send(req, path)
	r.end = time.Now()
	return r
}

// send returns the outcome, and what is wrong with the answer if it does not
// belong to the request.
func (c *clients) send(req *http.Request, path string) (outcome, wrong string) {
	resp, err := c.http.Do(req)
	if err != nil {
		return "unknown", ""
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "unknown", ""
	}
	if resp.StatusCode != http.StatusOK {
		var problem struct {
			Outcome string `json:"outcome"`
		}
		if json.Unmarshal(body, &problem) != nil || problem.Outcome == "" {
			return "unknown", ""
		}
		return problem.Outcome, ""
	}
	var answer struct {
		Path string `json:"path"`
		Key  string `json:"key"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return "run", "incomplete answer"
	}
	if !strings.HasSuffix(answer.Path, path) || answer.Key != req.Header.Get("Boragegate-Key") {
		return "run", "answer of another request: " + answer.Path
	}
	return "run", ""
}

// take returns the results since the last call.
func (c *clients) take() []result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.results
	c.results = nil
	return r
}
