package gateway

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// Header names, documented in docs/reference/http.md and
// docs/backend-contract.md.
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

	// Headers that are used between instances only.
	headerTarget    = "Boragegate-Target"
	headerRetryHint = "Boragegate-Again"
	headerLoad      = "Boragegate-Load"
)

// idempotencyMapKey is Idempotency-Key in a spelling that http.Transport does
// not recognise. With the canonical name, the transport retries a request by
// itself when a pooled connection breaks, whatever the method.
const idempotencyMapKey = "idempotency-key"

// isHopByHop reports whether a header applies to a single connection (RFC 9110,
// section 7.6.1). Expect is handled by the net/http server of each hop.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Http2-Settings":
		return true
	}
	return false
}

// keepEndToEnd removes hop-by-hop headers, the headers that Connection lists, and
// the gateway's own headers except for those in kept.
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
