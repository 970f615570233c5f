package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// endlessTarget runs requests for a short time. Instead of some answers it sends a head and then bytes without end, until
// its caller closes the connection.
type endlessTarget struct {
	w  *world
	id string
	// fails reports whether the next answer has no end; nil means never.
	fails func() bool
}

const (
	endlessWork  = 50 * time.Millisecond
	endlessPiece = 32 << 10
	// The first endlessBurst bytes are sent at once, the others at a piece in each endlessPause.
	endlessBurst = 2 << 20
	endlessPause = 10 * time.Millisecond
	// endlessMost bounds the traffic of one answer.
	endlessMost = 30 * time.Second
)

func (t *endlessTarget) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(idHeader)
	rw.Header().Set(idHeader, id)
	if expected := r.Header.Get(expectHeader); expected != "" && expected != t.id {
		rw.Header().Set(notRunHeader, "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.w.logf("target %s runs %s", t.id, id)
	time.Sleep(endlessWork)
	if t.fails == nil || !t.fails() {
		rw.Header().Set(stampHeader, "stamp-"+id)
		rw.Header().Set(loadHeader, "1,0,6")
		_, _ = rw.Write([]byte("done " + id))
		t.w.logf("target %s answers 200 to %s", t.id, id)
		return
	}
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	sent, err := t.sendWithoutEnd(conn, id)
	t.w.logf("target %s sent %d bytes without end to %s, until: %v", t.id, sent, id, err)
}

func (t *endlessTarget) sendWithoutEnd(conn net.Conn, id string) (sent int, err error) {
	t.w.logf("target %s begins bytes without end to %s", t.id, id)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp-%s\r\nConnection: close\r\n\r\n", idHeader, id, stampHeader, id)
	if _, err = conn.Write([]byte(head)); err != nil {
		return 0, err
	}
	piece := make([]byte, endlessPiece)
	for started := time.Now(); time.Since(started) < endlessMost; sent += len(piece) {
		if _, err = conn.Write(piece); err != nil {
			return sent, err
		}
		if sent > endlessBurst {
			time.Sleep(endlessPause)
		}
	}
	return sent, nil
}

const (
	endlessRequests = 800
	endlessInterval = 25 * time.Millisecond
	endlessTimeout  = 1200 * time.Millisecond
	// endlessGrace is the time after the route's timeout within which a request has to be answered.
	endlessGrace = 500 * time.Millisecond
	// endlessShare is the share of the targets that fail, and endlessFraction the part of its answers that one spoils.
	endlessShare, endlessFraction = 0.5, 0.05
)

// playEndless sends requests to targets of which, with trouble, some send bytes without end in the body. It returns the
// number of requests without an answer half a second after the route's timeout, if these are more than half of those that
// had none at the timeout.
func playEndless(w *world) (bad int, err error) {
	w.putConfig(7, map[string]bool{"foglalas": false}, route{
		name: "booking-actions", prefix: "/lepu270/", kind: "unsafe", service: "foglalas",
		timeout: endlessTimeout, objective: 400 * time.Millisecond, maxAttempts: 2,
	})
	for i := range 4 {
		t := &endlessTarget{w: w, id: fmt.Sprintf("i-7f3a91c%d", i)}
		if w.trouble && i < endlessShare*4 {
			var answers atomic.Int64
			t.fails = func() bool { return answers.Add(1)%int64(1/endlessFraction) == 0 }
		}
		if err := w.startTarget(t.id, "foglalas", 6, t); err != nil {
			return 0, err
		}
	}
	if err := w.startInstances(2); err != nil {
		return 0, err
	}
	c := newClient(w)
	var wg sync.WaitGroup
	var mu sync.Mutex
	late, unanswered := 0, 0
	for i := range endlessRequests {
		m := &w.instances[i%2].machine
		wg.Go(func() {
			a := c.send(m.Address(m.CallerPort), http.MethodPost, "/lepu270/2f", 2500*time.Millisecond, []byte("booking"))
			mu.Lock()
			defer mu.Unlock()
			if a.took > endlessTimeout {
				late++
			}
			if a.took > endlessTimeout+endlessGrace {
				unanswered++
				w.logf("BROKEN: %s has no answer after %s", a.id, a.took)
			}
		})
		time.Sleep(endlessInterval)
	}
	wg.Wait()
	w.logf("unanswered at the route's timeout: %d; half a second later: %d", late, unanswered)
	if 2*unanswered <= late {
		return 0, nil
	}
	return unanswered, nil
}
