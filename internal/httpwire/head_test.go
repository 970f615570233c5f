package httpwire_test

import (
	"bufio"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/boragegate/boragegate/internal/httpwire"
)

// fieldLine is a header line of RFC 9112 that is not folded.
var fieldLine = regexp.MustCompile("^[-!#$%&'*+.^_`|~0-9A-Za-z]+:[^\\x00-\\x08\\x0a-\\x1f\\x7f]*$")

// FuzzHeads guards against heads that package net/http accepts and a strict reader does not, and against a check that
// depends on how the bytes arrive.
func FuzzHeads(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\nA:\n\n", "HTTP/1.1 200 OK\r\nA B: c\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c: d\r\n\r\n", "HTTP/1.1 200 OK\r\n: c\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "\r\n\r\n", "GET / HTTP/1.1\r\r\n\r\n",
	} {
		f.Add(head)
	}
	f.Fuzz(func(t *testing.T, text string) {
		atOnce := func(r io.Reader) io.Reader { return r }
		if accepted := acceptsHead(t, text, atOnce); accepted != acceptsHead(t, text, iotest.OneByteReader) {
			t.Errorf("accepted %v only if it arrives at once: %q", accepted, text)
		}
	})
}

// acceptsHead reports whether a request or a response with this head is accepted, and fails if its header is not valid.
func acceptsHead(t *testing.T, text string, arrive func(io.Reader) io.Reader) bool {
	head := &httpwire.HeadReader{R: arrive(strings.NewReader(text))}
	r := bufio.NewReader(head)
	if err := head.BeginHead(nil); err != nil {
		t.Fatal(err)
	}
	var header http.Header
	var major, minor int
	if strings.HasPrefix(text, "HTTP/") {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		header, major, minor = resp.Header, resp.ProtoMajor, resp.ProtoMinor
	} else {
		req, err := http.ReadRequest(r)
		if err != nil {
			return false
		}
		header, major, minor = req.Header, req.ProtoMajor, req.ProtoMinor
	}
	if head.CheckVersion(major, minor) != nil {
		return false
	}
	for _, line := range strings.Split(text, "\n")[1:] {
		if line = strings.TrimSuffix(line, "\r"); line == "" {
			break
		}
		if !fieldLine.MatchString(line) {
			t.Errorf("line %q of %q is no header field, header %v", line, text, header)
		}
	}
	return true
}
