package gateway

import (
	"context"
	"net/http"
	"net/url"
	pathpkg "path"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/boragegate/boragegate/admission"
	"github.com/boragegate/boragegate/internal/route"
	"github.com/boragegate/boragegate/table"
)

// Maximum lengths in bytes of keys that callers choose.
const (
	maxKeyLen            = 1024
	maxIdempotencyKeyLen = 255
)

// call is the state of one request while the gateway handles it.
type call struct {
	request        *http.Request
	ctx            context.Context
	id             string
	service        table.Service
	path           string // escaped path without the service, begins with "/"
	key            string
	idempotencyKey string // empty unless the method is one of the service's NotRepeatable methods
	class          admission.Class
	deadline       time.Time
	body           *body
	safe           bool   // the method is safe, so that the request may run more than once
	avoidTarget    string // target that did not run the request in an earlier attempt

	forwardTarget *route.Target // set during an exchange with another instance

	mayHaveRun bool // an attempt ended with an outcome other than not-run

	headerUsed bool               // an attempt has used the headers
	cancel     context.CancelFunc // cancels the latest attempt; nil before the first
}

// cancelAttempt cancels the latest attempt, if there is one, and stops its timer.
func (c *call) cancelAttempt() {
	if c.cancel != nil {
		c.cancel()
	}
}

// newCall validates a request and returns a call with everything that routing
// and admission need.
func (g *Gateway) newCall(r *http.Request, snapshot *route.Snapshot) (*call, *failure) {
	name, path, ok := splitPath(r.URL)
	if !ok || r.Method == http.MethodConnect {
		return nil, notRun(http.StatusBadRequest, "malformed", "the path must be /{service}/…")
	}
	s := snapshot.Services[name]
	if s == nil {
		return nil, notRun(http.StatusNotFound, "unknown-service", "the table has no service "+strconv.Quote(name))
	}
	if isReserved(path) {
		return nil, notRun(http.StatusForbidden, "reserved-path", "the path belongs to the backend contract")
	}
	a := new(struct { // one allocation instead of two
		call
		deadlineContext
	})
	c := &a.call
	*c = call{request: r, service: s.Service, path: path, class: classify(s.Service, path), safe: isSafe(r.Method)}
	if f := c.readKeys(r.Header); f != nil {
		return nil, f
	}
	remaining, f := remainingTime(r.Header, time.Duration(s.MaxRequestTime))
	if f != nil {
		return nil, f
	}
	c.deadline = g.clock.Now().Add(remaining)
	a.deadlineContext = deadlineContext{r.Context(), c.deadline}
	c.ctx = &a.deadlineContext
	return c, nil
}

// serverPath returns the values of url.URL.Path and url.URL.RawPath for the
// request to the server.
func (c *call) serverPath() (path, raw string) {
	u := c.request.URL
	if u.RawPath == "" && u.Path != "/"+c.service.Name {
		return u.Path[len(c.service.Name)+1:], ""
	}
	path, err := url.PathUnescape(c.path)
	if err != nil {
		return "/", "" // cannot happen: net/http has already decoded the whole path
	}
	return path, c.path
}

// splitPath returns the service, which is the first segment of the escaped path,
// and the rest, which begins with "/". It returns false if there is no service.
func splitPath(u *url.URL) (service, rest string, ok bool) {
	escaped := u.EscapedPath()
	if len(escaped) < 2 || escaped[0] != '/' {
		return "", "", false
	}
	end := strings.IndexByte(escaped[1:], '/')
	if end < 0 {
		return escaped[1:], "/", true
	}
	return escaped[1 : end+1], escaped[end+1:], end > 0
}

func (c *call) readKeys(h http.Header) *failure {
	if len(h[headerKey]) > 1 || len(h[headerIdempotency]) > 1 {
		return notRun(http.StatusBadRequest, "malformed", "more than one key")
	}
	c.key = h.Get(headerKey)
	if c.key == "" && c.service.KeyPath != "" {
		c.key = keyFromPath(c.service.KeyPath, c.path)
	}
	if !validKey(c.key) {
		return notRun(http.StatusBadRequest, "malformed", "the key is too long or has control characters or surrounding spaces")
	}
	if c.service.Divided && c.key == "" {
		return notRun(http.StatusBadRequest, "no-key", "the service is divided by key: "+headerKey+" or the path must have one")
	}
	if !slices.Contains(c.service.NotRepeatable, c.request.Method) {
		return nil
	}
	c.idempotencyKey = h.Get(headerIdempotency)
	if c.idempotencyKey == "" || len(c.idempotencyKey) > maxIdempotencyKeyLen {
		return notRun(http.StatusBadRequest, "no-idempotency-key",
			c.request.Method+" requests to this service must not be repeated and need an "+headerIdempotency)
	}
	return nil
}

// keyFromPath returns the unescaped segment of path at the position of {key} in
// pattern, or "" if the path does not match. Further segments are ignored.
func keyFromPath(pattern, path string) string {
	for {
		want, patternRest, more := strings.Cut(strings.TrimPrefix(pattern, "/"), "/")
		got, pathRest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
		if want == "{key}" {
			key, err := url.PathUnescape(got)
			if err != nil {
				return ""
			}
			return key
		}
		if want != got || !more {
			return ""
		}
		pattern, path = patternRest, pathRest
	}
}

// validKey reports whether the key has at most maxKeyLen bytes and can be sent
// unchanged in a header.
func validKey(key string) bool {
	control := func(r rune) bool { return r < ' ' || r == 0x7f }
	return len(key) <= maxKeyLen && strings.TrimSpace(key) == key && !strings.ContainsFunc(key, control)
}

// reservedPath is the path prefix of the backend contract on the servers. A
// caller that could reach it would be able to grant and release partitions.
const reservedPath = "/boragegate"

// isReserved reports whether a server that decodes, cleans or lower-cases paths
// could take the path for one of the backend contract.
func isReserved(escaped string) bool {
	if !strings.ContainsAny(escaped, "%\\") && !containsFold(escaped, reservedPath[1:]) {
		return false
	}
	decoded, err := url.PathUnescape(escaped)
	if err != nil {
		return true
	}
	clean := strings.ToLower(pathpkg.Clean("/" + strings.ReplaceAll(decoded, "\\", "/")))
	return clean == reservedPath || strings.HasPrefix(clean, reservedPath+"/")
}

// containsFold reports whether s contains lower, ignoring case. lower must be
// lower-case ASCII.
func containsFold(s, lower string) bool {
	for i := 0; i+len(lower) <= len(s); i++ {
		if s[i]|0x20 == lower[0] && strings.EqualFold(s[i:i+len(lower)], lower) {
			return true
		}
	}
	return false
}

func classify(s table.Service, path string) admission.Class {
	for _, prefix := range s.BulkPaths {
		if strings.HasPrefix(path, prefix) {
			return admission.Bulk
		}
	}
	return admission.Interactive
}

func isSafe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// remainingTime returns the remaining time from the deadline header, limited by
// the service's maximum request time, or that maximum if there is no header. The
// failure is malformed, or deadline if no time remains.
func remainingTime(h http.Header, maxTime time.Duration) (time.Duration, *failure) {
	if maxTime <= 0 {
		maxTime = DefaultMaxRequestTime
	}
	text := h.Get(headerDeadline)
	if text == "" {
		return maxTime, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 {
		return 0, notRun(http.StatusBadRequest, "malformed", headerDeadline+" must be a number of milliseconds")
	}
	if ms == 0 {
		f := notRun(http.StatusServiceUnavailable, "deadline", "no time left")
		f.retryAfter = time.Second
		return 0, f
	}
	return min(time.Duration(min(ms, int64(maxTime/time.Millisecond)+1))*time.Millisecond, maxTime), nil
}

func newRequestID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}
