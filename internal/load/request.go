package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"
)

const (
	headerKey         = "Boragegate-Key"
	headerDeadline    = "Boragegate-Deadline"
	headerOutcome     = "Boragegate-Outcome"
	headerIdempotency = "Idempotency-Key"
	// maxResponseBytes limits the part of a response body that is read.
	maxResponseBytes = 16 << 20
)

// arrival is one scheduled request.
type arrival struct {
	n   int
	key string
	url string
}

// arrivals generates the requests of a run from the seed.
type arrivals struct {
	cfg    Config
	random *rand.Rand
}

func newArrivals(c Config) *arrivals {
	return &arrivals{c, rand.New(rand.NewPCG(c.Seed, 1))} //nolint:gosec // not a secret
}

func (a *arrivals) next(n int) arrival {
	key := "hot"
	if a.random.Float64() >= a.cfg.HotKeyFraction {
		key = "k" + strconv.Itoa(a.random.IntN(a.cfg.Keys))
	}
	return arrival{n: n, key: key, url: a.cfg.URLs[n%len(a.cfg.URLs)]}
}

func (c Config) expandPath(a arrival) string {
	return strings.NewReplacer("{key}", a.key, "{n}", strconv.Itoa(a.n)).Replace(c.Path)
}

// send sends a request and checks the response. It returns the zero response if the
// request failed or the response is incomplete.
func (c Config) send(ctx context.Context, t http.RoundTripper, a arrival) response {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	path := c.expandPath(a)
	var body io.Reader
	if c.BodyBytes > 0 {
		body = bytes.NewReader(make([]byte, c.BodyBytes))
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, a.url+"/"+c.Service+path, body)
	if err != nil {
		return response{}
	}
	req.Header.Set(headerKey, a.key)
	req.Header.Set(headerDeadline, strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	if c.IdempotencyKeys {
		id, err := uuid.NewV7()
		if err != nil {
			return response{}
		}
		req.Header.Set(headerIdempotency, id.String())
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return response{}
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}
	}
	return checkResponse(resp, respBody, path, a.key)
}

// responseBody has the checked fields of the sample server's response.
type responseBody struct {
	Target string `json:"target"`
	Path   string `json:"path"`
	Key    string `json:"key"`
}

// checkResponse evaluates a complete response. A response without an outcome header gets
// the outcome "none". A key is compared only if the body has one.
func checkResponse(resp *http.Response, body []byte, path, key string) response {
	r := response{status: resp.StatusCode, outcome: resp.Header.Get(headerOutcome)}
	if r.outcome == "" {
		r.outcome = "none"
	}
	var got responseBody
	if r.status >= 400 || json.Unmarshal(body, &got) != nil {
		return r
	}
	r.target = got.Target
	r.matches = got.Path == path && (got.Key == key || got.Key == "")
	return r
}

// Echo returns a handler that responds as the load generator expects from the backend
// server target. It is for tests and measurements without backend servers.
func Echo(target string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"target":%q,"path":%q,"key":%q}`, target, r.URL.Path, r.Header.Get(headerKey))
	})
}
