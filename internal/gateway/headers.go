package gateway

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// Headers of docs/reference/http.md and docs/backend-contract.md.
const (
	headerPrefix      = "Boragegate-"
	headerKey         = "Boragegate-Key"
	headerDeadline    = "Boragegate-Deadline"
	headerPartition   = "Boragegate-Partition"
	headerEpoch       = "Boragegate-Epoch"
	headerTerm        = "Boragegate-Term"
	headerRequestID   = "Boragegate-Request-Id"
	headerOutcome     = "Boragegate-Outcome"
	headerReplayed    = "Boragegate-Replayed"
	headerRetryAfter  = "Retry-After"
	headerIdempotency = "Idempotency-Key"

	// The following are used between instances only.
	headerTarget    = "Boragegate-Target"
	headerRetryHint = "Boragegate-Again"
	headerLoad      = "Boragegate-Load"
)

// idempotencyMapKey is Idempotency-Key in a spelling that http.Transport does
// not recognise: it repeats requests with the canonical name on its own when a
// pooled connection breaks, whatever their method.
const idempotencyMapKey = "idempotency-key"

// isHopByHop reports whether a header belongs to one connection, RFC 9110
// section 7.6.1. Expect is answered by each hop's own net/http server.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Http2-Settings":
		return true
	}
	return false
}

// keepEndToEnd removes hop-by-hop headers, those that Connection lists, and the
// gateway's own headers except for those in kept.
func keepEndToEnd(h http.Header, kept ...string) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name := range h {
		if isHopByHop(name) || strings.HasPrefix(name, headerPrefix) && !slices.Contains(kept, name) {
			delete(h, name)
		}
	}
}
