package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryLimitKB = 284_000_000 / 1024
	// headBytes is the size of a request's head that fills the config's max_header_bytes (16384) without exceeding it.
	headBytes = 15_500
	// crowdConnections is the number of connections to each instance.
	crowdConnections = 400
	// pipelined is the number of requests that a client sends before the first is answered.
	pipelined = 16
)

// memory returns the resident and the peak memory of the process in KB, 0 if it does not run.
func (e *edge) memory() (resident, peak int) {
	e.mu.Lock()
	pid := e.cmd.Process.Pid
	e.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	value := func(line string) int {
		f := strings.Fields(line)
		n, _ := strconv.Atoi(f[1])
		return n
	}
	for _, line := range strings.Split(string(b), "\n") {
		switch {
		case strings.HasPrefix(line, "VmRSS:"):
			resident = value(line)
		case strings.HasPrefix(line, "VmHWM:"):
			peak = value(line)
		}
	}
	return resident, peak
}

// limitMemory acts as the platform does: it kills a process that exceeds memory_mb, until the context ends.
func (d *deployment) limitMemory(ctx context.Context, killed map[int]int, mu *sync.Mutex) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		for _, e := range d.edges {
			resident, _ := e.memory()
			if resident <= memoryLimitKB {
				continue
			}
			d.record("instance %d has %d KB of memory, the limit is %d KB: the platform kills it", e.number, resident, memoryLimitKB)
			e.signal(syscall.SIGKILL)
			mu.Lock()
			killed[e.number]++
			mu.Unlock()
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// head returns a request's head of about headBytes bytes: with one long field, or with many short ones.
func head(id string, key int, many bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "GET %sitem HTTP/1.1\r\nHost: %s\r\nX-Boragegate-Request-Id: %s\r\nX-Boragegate-Deadline-Ms: 1200\r\nX-Boragegate-Shard-Key: %d\r\n", stockPath, stockHost, id, key)
	if !many {
		fmt.Fprintf(&b, "X-Field: %s\r\n", strings.Repeat("v", headBytes-b.Len()-13))
	}
	for i := 0; many && b.Len() < headBytes-10; i++ {
		b.WriteString(strconv.FormatInt(int64(36+i), 36) + ":\r\n")
	}
	return b.String() + "\r\n"
}

// manyFields: clients send requests whose heads are within the limits and consist of many short fields.
func manyFields(d *deployment) error {
	if err := startSmall(d); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	killed, mu := map[int]int{}, sync.Mutex{}
	go d.limitMemory(ctx, killed, &mu)
	d.record("a crowd of %d connections to each instance; each sends %d requests with heads of %d bytes at a time, many fields: %v", crowdConnections, pipelined, len(head("0", 0, d.trouble)), d.trouble)
	var group sync.WaitGroup
	for _, e := range d.edges {
		for i := range crowdConnections {
			group.Add(1)
			go func() {
				defer group.Done()
				for n := 0; ctx.Err() == nil; n++ {
					d.pipeline(ctx, e, fmt.Sprintf("c%d-%d-%d", e.number, i, n))
				}
			}()
		}
	}
	served, asked := 0, 0
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		for _, e := range d.edges {
			a := d.send(e, http.MethodGet, stockHost, stockPath+"item", anyKey(), 1200*time.Millisecond, "")
			asked++
			if a.status == http.StatusOK {
				served++
			}
			resident, peak := e.memory()
			d.record("instance %d: %d KB of memory, at most %d KB", e.number, resident, peak)
		}
	}
	group.Wait()
	d.record("ordinary requests beside the crowd: %d of %d served", served, asked)
	mu.Lock()
	defer mu.Unlock()
	often := 0
	for _, e := range d.edges {
		d.record("instance %d was killed for its memory %d times", e.number, killed[e.number])
		if killed[e.number] >= 3 {
			often++
		}
	}
	if often >= 2 {
		d.breaks("Fault: on %d of 3 machines processes ended three times or more, because they exceeded memory_mb: %v", often, killed)
	}
	return nil
}

// pipeline sends some requests on one connection, reads what is answered and closes it.
func (d *deployment) pipeline(ctx context.Context, e *edge, id string) {
	c, err := net.DialTimeout("tcp", e.ip+":8548", time.Second)
	if err != nil {
		time.Sleep(200 * time.Millisecond)
		return
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	d.record("client %s sends %d requests, %s-0 to %s-%d, on one connection to instance %d", id, pipelined, id, id, pipelined-1, e.number)
	go func() {
		for i := range pipelined {
			if _, err := io.WriteString(c, head(fmt.Sprintf("%s-%d", id, i), anyKey(), d.trouble)); err != nil {
				return
			}
		}
	}()
	var answers bytes.Buffer
	buffer := make([]byte, 4096)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		n, err := c.Read(buffer)
		answers.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	d.record("client %s is answered %d times 200 and %d times 503", id, bytes.Count(answers.Bytes(), []byte("HTTP/1.1 200")), bytes.Count(answers.Bytes(), []byte("HTTP/1.1 503")))
	time.Sleep(100 * time.Millisecond)
}
