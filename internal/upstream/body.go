package upstream

import (
	"bytes"
	"io"
	"net/http"
)

const (
	// maxBufferedBodyBytes is the size of the largest response body that is buffered
	// completely, if memory is available. If such a body is truncated, the request can still
	// be retried on another target.
	maxBufferedBodyBytes = 1 << 20
	// bodyMemoryBytes bounds the memory of a Client for bodies and beginnings of bodies that
	// are larger than unreservedBodyBytes. When it is exhausted, such bodies are streamed.
	bodyMemoryBytes = 32 << 20
	// unreservedBodyBytes is the size up to which a body is buffered in any case. The limits
	// of connections bound the memory for these.
	unreservedBodyBytes = 16 << 10
)

// readBody reads the response body and reports whether it is complete. If the body is larger
// than may be buffered, it reads the beginning and sets Stream.
func (cn *conn) readBody(resp *http.Response) (out *Response, complete bool, err error) {
	out = &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	if resp.Body == http.NoBody { // also for HEAD, regardless of Content-Length
		return out, true, nil
	}
	if out.Length >= 0 {
		complete, err = cn.readKnownLength(out, resp.Body)
	} else {
		complete, err = cn.readUnknownLength(out, resp.Body)
	}
	if err != nil {
		_ = out.Release()
		return nil, false, err
	}
	if !complete {
		out.Stream = resp.Body
	}
	return out, complete, nil
}

// bodyMemoryLimit returns the memory for bodies of responses.
func (c *Client) bodyMemoryLimit() int64 {
	if c.BodyMemoryBytes > 0 {
		return min(c.BodyMemoryBytes, bodyMemoryBytes)
	}
	return bodyMemoryBytes
}

// reserve reserves memory for n bytes of a body until the response is released. It reports
// whether the memory was available.
func (cn *conn) reserve(out *Response, n int64) bool {
	if !cn.client.bodyMemory.Reserve(n, cn.client.bodyMemoryLimit()) {
		if cn.client.OnMemoryExhausted != nil {
			cn.client.OnMemoryExhausted()
		}
		return false
	}
	out.OnRelease = func() { cn.client.bodyMemory.Free(n) }
	return true
}

// readKnownLength reads a body of out.Length bytes, or its beginning.
func (cn *conn) readKnownLength(out *Response, body io.Reader) (complete bool, err error) {
	n := min(out.Length, maxBufferedBodyBytes)
	if n > unreservedBodyBytes && !cn.reserve(out, n) {
		n = unreservedBodyBytes
	}
	out.Body = make([]byte, n)
	_, err = io.ReadFull(body, out.Body)
	return n == out.Length, err
}

// readUnknownLength reads a body that ends with its last chunk or the connection, or its
// beginning. It sets out.Length if the body is complete.
func (cn *conn) readUnknownLength(out *Response, body io.Reader) (complete bool, err error) {
	out.Body, err = io.ReadAll(io.LimitReader(body, unreservedBodyBytes))
	if err != nil {
		return false, err
	}
	if len(out.Body) == unreservedBodyBytes {
		if !cn.reserve(out, maxBufferedBodyBytes) {
			return false, nil
		}
		b := bytes.NewBuffer(out.Body)
		if _, err = b.ReadFrom(io.LimitReader(body, maxBufferedBodyBytes-unreservedBodyBytes)); err != nil {
			return false, err
		}
		out.Body = b.Bytes()
	}
	if len(out.Body) == maxBufferedBodyBytes {
		return false, nil
	}
	out.Length = int64(len(out.Body))
	if unused := maxBufferedBodyBytes - out.Length; out.OnRelease != nil {
		cn.client.bodyMemory.Free(unused)
		out.OnRelease = func() { cn.client.bodyMemory.Free(out.Length) }
	}
	return true, nil
}
