package gateway

import (
	"context"
	"net/http"
	"net/http/httptrace"
)

// attempt follows the connections of one round trip of an http.Transport. All
// of its methods run on the goroutine of the round trip.
type attempt struct {
	trace          httptrace.ClientTrace
	cancel         context.CancelFunc
	conn           *trackedConn // nil before there is one
	mayHaveWritten bool         // bytes may have left over an earlier or an unknown connection
}

// newAttempt returns an attempt and its context, which ends with the deadline of
// the call, with the caller's connection, and when the call ends.
func newAttempt(c *call) (*attempt, context.Context) {
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline)
	c.cancel = cancel
	a := &attempt{cancel: cancel}
	a.trace.GotConn = a.gotConn
	return a, httptrace.WithClientTrace(ctx, &a.trace)
}

// gotConn takes the connection for the request. The transport asks for another
// one on its own after a pooled connection broke; that is prevented if bytes may
// have left over the first one.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	earlier := a.conn
	a.conn, _ = info.Conn.(*trackedConn)
	if a.conn == nil {
		a.mayHaveWritten = true
		return
	}
	a.conn.assign()
	if earlier != nil && earlier.seal() {
		a.mayHaveWritten = true
		a.conn.seal()
		a.cancel()
	}
}

// responseMatches reports whether an answer can belong to the request. An answer that
// precedes the request was left over from another one.
func (a *attempt) responseMatches(t http.RoundTripper) bool {
	if _, ok := t.(*http.Transport); !ok || a.conn == nil {
		return true
	}
	return a.conn.written()
}

// sealUnwritten ends the attempt and reports whether no byte of the request
// can have left.
func (a *attempt) sealUnwritten(t http.RoundTripper) bool {
	if _, ok := t.(*http.Transport); !ok || a.mayHaveWritten {
		return false
	}
	return a.conn == nil || !a.conn.seal()
}
