package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// faultyTarget is a target that sends, with one answer of twenty, bytes that are not a response in HTTP/1.1.
type faultyTarget struct {
	target
	faults bool
	count  *atomic.Int64 // answers of all faulty targets
	open   atomic.Int64  // requests that run
}

// startFaulty starts the target on its own connections, as net/http sends only valid responses.
func (t *faultyTarget) startFaulty() error {
	l, err := net.Listen("tcp", t.address)
	if err != nil {
		return err
	}
	t.running, t.state, t.born = map[int]int{}, "ready", time.Now().UnixMilli()
	t.up.Store(true)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go t.serveConn(c)
		}
	}()
	t.beatStop = make(chan struct{})
	go t.beat(t.beatStop)
	return nil
}

func (t *faultyTarget) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Boragegate-Request-Id")
		if want := r.Header.Get("X-Boragegate-Expect-Instance"); want != "" && want != t.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Boragegate-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		t.d.ranRequest(&t.target, id, -1, 0)
		load := t.open.Add(1)
		time.Sleep(t.work)
		t.open.Add(-1)
		answer := "answer to " + id
		n, kind := t.count.Add(1), int64(0)
		if t.faults && t.d.isFaulty() && n%20 == 0 {
			kind = 1 + n/20%2
		}
		common := fmt.Sprintf("X-Boragegate-Request-Id: %s\r\nX-Boragegate-Response-Stamp: %s\r\nX-Boragegate-Server-Load: %d,0,4\r\n", id, stamp(id, answer), load)
		switch kind {
		case 1: // a line of the head has no field name
			t.d.record("target %s sends bytes that are no response to %s: a line in the head that is no field", t.id, id)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sthis line is no field: at all\r\nContent-Length: %d\r\n\r\n%s", common, len(answer), answer)
		case 2: // HTTP/1.0 has no chunks
			t.d.record("target %s sends bytes that are no response to %s: chunks in HTTP/1.0", t.id, id)
			_, _ = fmt.Fprintf(c, "HTTP/1.0 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", common, len(answer), answer)
			return
		default:
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", common, len(answer), answer)
		}
	}
}

var errNoResponse = errors.New("bytes that are no response in the protocol")

// readStrict reads a response by the grammar of RFC 9112.
func readStrict(br *bufio.Reader) (status int, fields map[string]string, body string, err error) {
	line := func() (string, error) {
		s, err := br.ReadString('\n')
		if err != nil {
			return "", err
		}
		s, ok := strings.CutSuffix(s, "\r\n")
		if !ok {
			return "", fmt.Errorf("%w: a line ends without CR: %q", errNoResponse, s)
		}
		return s, nil
	}
	s, err := line()
	if err != nil {
		return 0, nil, "", err
	}
	if len(s) < 12 || !strings.HasPrefix(s, "HTTP/1.1 ") {
		return 0, nil, "", fmt.Errorf("%w: status line %q", errNoResponse, s)
	}
	if status, err = strconv.Atoi(s[9:12]); err != nil {
		return 0, nil, "", fmt.Errorf("%w: status line %q", errNoResponse, s)
	}
	fields = map[string]string{}
	for {
		if s, err = line(); err != nil {
			return status, fields, "", err
		}
		if s == "" {
			break
		}
		name, value, ok := strings.Cut(s, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t\"(),/;<=>?@[\\]{}") {
			return status, fields, "", fmt.Errorf("%w: a line of the head is %q", errNoResponse, s)
		}
		fields[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	if fields["transfer-encoding"] == "chunked" {
		for {
			if s, err = line(); err != nil {
				return status, fields, body, err
			}
			n, err := strconv.ParseInt(s, 16, 32)
			if err != nil {
				return status, fields, body, fmt.Errorf("%w: size of a chunk %q", errNoResponse, s)
			}
			chunk := make([]byte, n+2)
			if _, err := io.ReadFull(br, chunk); err != nil {
				return status, fields, body, err
			}
			if body += string(chunk[:n]); n == 0 {
				return status, fields, body, nil
			}
		}
	}
	n, _ := strconv.Atoi(fields["content-length"])
	b := make([]byte, n)
	_, err = io.ReadFull(br, b)
	return status, fields, string(b), err
}

// sendStrict sends a request on a connection of its own and reads the answer strictly.
func (d *deployment) sendStrict(e *edge, path string) (id string, status int, body, digest string, err error) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	c, err := net.DialTimeout("tcp", e.ip+":8548", time.Second)
	if err != nil {
		return id, 0, "", "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	d.record("client sends GET %s%s, request %s, to instance %d", stockHost, path, id, e.number)
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Boragegate-Request-Id: %s\r\nX-Boragegate-Deadline-Ms: 1200\r\n\r\n", path, stockHost, id); err != nil {
		return id, 0, "", "", err
	}
	status, fields, body, err := readStrict(bufio.NewReader(c))
	d.record("request %s is answered %d, digest %q, body %q, error %v", id, status, fields["x-boragegate-response-stamp"], body, err)
	return id, status, body, fields["x-boragegate-response-stamp"], err
}

// malformedAnswer: a faulty target sends bytes that are not a response.
func malformedAnswer(d *deployment) error {
	var count atomic.Int64
	for i := range 4 {
		if err := d.addTarget(fmt.Sprintf("i-sound%d", i), "ledger", 10+i, false); err != nil {
			return err
		}
		faulty := &faultyTarget{
			target: target{id: fmt.Sprintf("i-faulty%d", i), service: "ledger", address: fmt.Sprintf("%s.%d:9000", d.network, 120+i), zone: "zone-a", work: workTime, d: d},
			faults: d.trouble, count: &count,
		}
		if err := faulty.startFaulty(); err != nil {
			return err
		}
	}
	if err := d.addTarget("i-stock0", "stock", 0, true); err != nil {
		return err
	}
	d.store.put("config", "main", config())
	for i := range 3 {
		e, err := d.newEdge(i + 1)
		if err != nil {
			return err
		}
		if err := e.start(); err != nil {
			return err
		}
	}
	if !d.waitReady(15 * time.Second) {
		return errNotReady
	}
	ctx, cancel := context.WithTimeout(context.Background(), 13*time.Second)
	defer cancel()
	d.startFaults()
	var group sync.WaitGroup
	var mu sync.Mutex
	answered, noResponse, wrongBody := 0, 0, 0
	for ctx.Err() == nil {
		time.Sleep(8 * time.Millisecond)
		group.Add(1)
		go func() {
			defer group.Done()
			id, status, body, digest, err := d.sendStrict(d.edges[rand.IntN(3)], "/member/x")
			mu.Lock()
			defer mu.Unlock()
			answered++
			switch {
			case errors.Is(err, errNoResponse):
				noResponse++
				d.breaks("MIXED: request %s: the client gets %v", id, err)
			case status == http.StatusOK && digest != "" && err == nil && body != "answer to "+id:
				wrongBody++
				d.breaks("MIXED: request %s: the client gets a success whose body isn't the target's: %q", id, body)
			}
		}()
	}
	group.Wait()
	d.record("%d answers; %d were no response in the protocol, %d successes had another body than the target's", answered, noResponse, wrongBody)
	return nil
}
