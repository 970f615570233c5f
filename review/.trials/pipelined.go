package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	packTargets = 8
	packSlots   = 6
	// packBytes is the size of a download, packChunks the number of pieces in which it is sent, and packPause the pause between
	// two of them.
	packBytes, packChunks = 300_000, 12
	packPause             = 20 * time.Millisecond
	// breakOffEvery is the number of answers of which a faulty target breaks off one.
	breakOffEvery = 50
	// packClients is the number of clients that download at the same time.
	packClients = 42
)

// packTarget is a target with downloads. Its answers have no announced length.
type packTarget struct {
	target
	breaksOff bool // it breaks off some of its answers
	count     atomic.Int64
}

func (t *packTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Boragegate-Request-Id")
	w.Header().Set("X-Boragegate-Request-Id", id)
	if want := r.Header.Get("X-Boragegate-Expect-Instance"); want != "" && want != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.mu.Lock()
	t.running[-1]++
	running := t.running[-1]
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.running[-1]--
		t.mu.Unlock()
	}()
	t.d.ranRequest(&t.target, id, -1, 0)
	w.Header().Set("X-Boragegate-Response-Stamp", "pack."+id)
	w.Header().Set("X-Boragegate-Server-Load", fmt.Sprintf("%d,0,%d", running, packSlots))
	n := t.count.Add(1)
	for i := range packChunks {
		if t.breaksOff && t.d.isFaulty() && n%breakOffEvery == 0 && i == packChunks/2 {
			t.d.record("target %s breaks off its answer to %s", t.id, id)
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, strings.Repeat("p", packBytes/packChunks)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(packPause)
	}
}

func (t *packTarget) startPacks() error {
	l, err := net.Listen("tcp", t.address)
	if err != nil {
		return err
	}
	t.running, t.state, t.born = map[int]int{}, "ready", time.Now().UnixMilli()
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: 30 * time.Second, IdleTimeout: 10 * time.Second}
	t.up.Store(true)
	go func() { _ = t.server.Serve(l) }()
	t.beatStop = make(chan struct{})
	go t.beat(t.beatStop)
	return nil
}

// lostBehind: answers of a target are broken off; requests behind them on the same connection go to sound targets.
func lostBehind(d *deployment) error {
	for i := range packTargets {
		t := &packTarget{target: target{id: fmt.Sprintf("i-pack%d", i), service: "packs", address: fmt.Sprintf("%s.%d:9000", d.network, 120+i), zone: "zone-a", d: d}, breaksOff: d.trouble && i%2 == 0}
		if err := t.startPacks(); err != nil {
			return err
		}
	}
	if err := startSmall(d); err != nil {
		return err
	}
	time.Sleep(time.Second)
	d.startFaults()
	e := d.edges[0]
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	sent, lost := 0, 0
	for range packClients {
		group.Add(1)
		go func() {
			defer group.Done()
			for ctx.Err() == nil {
				s, l := d.downloadAndMore(ctx, e)
				mu.Lock()
				sent += s
				lost += l
				mu.Unlock()
			}
		}()
	}
	group.Wait()
	d.record("%d requests were passed on to sound targets; %d of them have no answer, as their connection was closed", sent, lost)
	if lost > 3 {
		d.breaks("LOST: %d of %d requests from kept connections were passed on to sound targets, and the connections were closed without an answer", lost, sent)
	}
	return nil
}

// downloadAndMore keeps a connection open for some rounds. In each it sends a download and three other requests at once, and
// reads the answers. It returns how many of the others ran at a target, and how many of these have no answer.
func (d *deployment) downloadAndMore(ctx context.Context, e *edge) (ran, lost int) {
	c, err := net.DialTimeout("tcp", e.ip+":8548", time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return 0, 0
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReaderSize(c, 64<<10)
	for range 20 {
		if ctx.Err() != nil {
			return ran, lost
		}
		ids := make([]string, 4)
		var b strings.Builder
		for i := range ids {
			ids[i] = fmt.Sprintf("%016x", rand.Uint64())
			path := "/member/x"
			if i == 0 {
				path = "/pack/x"
			}
			fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Boragegate-Request-Id: %s\r\nX-Boragegate-Deadline-Ms: 2000\r\n\r\n", path, stockHost, ids[i])
		}
		d.record("client sends the download %s and the requests %v behind it to instance %d", ids[0], ids[1:], e.number)
		_ = c.SetDeadline(time.Now().Add(4 * time.Second))
		if _, err := io.WriteString(c, b.String()); err != nil {
			return ran, lost
		}
		answered := 0
		for i := range ids {
			resp, err := http.ReadResponse(br, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			if err != nil {
				d.record("request %s: the connection ends: %v", ids[i], err)
				break
			}
			d.record("request %s is answered %d", ids[i], resp.StatusCode)
			answered++
			if resp.Close {
				break
			}
		}
		if answered == len(ids) {
			ran += len(ids) - 1
			continue
		}
		time.Sleep(100 * time.Millisecond)
		for i, id := range ids[1:] {
			if by := d.runsOf(id); len(by) > 0 {
				ran++
				if i+1 >= answered {
					d.record("request %s ran at %v and has no answer", id, by)
					lost++
				}
			}
		}
		return ran, lost
	}
	return ran, lost
}
