package gateway

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// attempt tracks the connections that an http.Transport uses for one round
// trip. All of its methods but gotFirstResponseByte run on the goroutine of the round trip.
type attempt struct {
	trace          httptrace.ClientTrace
	cancel         context.CancelFunc
	conn           *trackedConn                // nil until the transport has chosen a connection, and for an untracked one
	latest         atomic.Pointer[trackedConn] // conn, for gotFirstResponseByte
	mayHaveWritten bool                        // bytes may have been sent over an earlier or an untracked connection
}

// newAttempt returns an attempt and its context. The context is done at the
// call's deadline, when the caller disconnects, when the next attempt begins, or
// when the call ends.
func newAttempt(c *call) (*attempt, context.Context) {
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline)
	c.cancel = cancel
	a := &attempt{cancel: cancel}
	a.trace.GotConn, a.trace.GotFirstResponseByte = a.gotConn, a.gotFirstResponseByte
	return a, httptrace.WithClientTrace(ctx, &a.trace)
}

// gotConn assigns the connection to the request. If a pooled connection breaks,
// the transport by itself retries on another one; gotConn cancels that retry if
// bytes may have been sent over the first connection.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	previous := a.conn
	a.conn, _ = info.Conn.(*trackedConn)
	a.latest.Store(a.conn)
	if a.conn == nil {
		a.mayHaveWritten = true
		return
	}
	a.conn.assign()
	if previous != nil && previous.seal() {
		a.mayHaveWritten = true
		a.conn.seal()
		a.cancel()
	}
}

// gotFirstResponseByte keeps the request from being written if the transport has received the beginning of a response
// before: bytes that followed the previous response are then in its buffer. It runs on a goroutine of the transport.
func (a *attempt) gotFirstResponseByte() {
	if conn := a.latest.Load(); conn != nil {
		conn.sealPending()
	}
}

// responseMatches reports whether a response can belong to the request. A
// response that arrived before the request was written belongs to an earlier
// request. Responses over untracked connections always match.
func (a *attempt) responseMatches(t http.RoundTripper) bool {
	if _, ok := t.(*http.Transport); !ok || a.conn == nil {
		return true
	}
	return a.conn.written()
}

// sealUnwritten reports whether it is certain that no byte of the request was
// sent, and seals the connection so that none can be sent later. It returns false
// for a transport other than *http.Transport and for an untracked connection.
func (a *attempt) sealUnwritten(t http.RoundTripper) bool {
	if _, ok := t.(*http.Transport); !ok || a.mayHaveWritten {
		return false
	}
	return a.conn == nil || !a.conn.seal()
}
