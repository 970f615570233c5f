package gateway

import (
	"net/http"
	"net/textproto"
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
	headerTarget = "Boragegate-Target"
	headerAgain  = "Boragegate-Again"
	headerLoad   = "Boragegate-Load"
)

// idempotencyMapKey is Idempotency-Key in a spelling that http.Transport does
// not recognise: it repeats requests with the canonical name on its own when a
// pooled connection breaks, whatever their method.
const idempotencyMapKey = "idempotency-key"

// hopByHop are the headers of one connection, RFC 9110 section 7.6.1. Expect is
// answered by each hop's own net/http server.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Http2-Settings",
}

// endToEnd copies the headers that pass through. Hop-by-hop headers, those that
// Connection lists, and all headers of the gateway's own are left out.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+8)
	for name, values := range h {
		if !strings.HasPrefix(name, headerPrefix) {
			out[name] = values
		}
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}

func hasOwnHeaders(h http.Header) bool {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			return true
		}
	}
	return false
}
