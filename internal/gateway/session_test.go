package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/boragegate/boragegate/idempotency"
	"github.com/boragegate/boragegate/internal/route"
	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/table"
)

// session runs two instances, a and b, with scripted servers. Callers connect to
// a. Each step is recorded as seen on the wire; assertGolden compares the record
// with a golden file.
type session struct {
	mu        sync.Mutex
	record    strings.Builder
	a, b      *testInstance
	servers   map[string]*scriptedServer
	service   table.Service
	epoch     uint64
	denyRun   atomic.Bool // ControlsTarget and MayRun return false
	denyServe atomic.Bool // MayServe returns false
}

type testInstance struct {
	gateway        *Gateway
	closers        []func() error
	routes         route.AtomicSnapshot
	callerAddress  string
	forwardAddress string
}

func (s *session) MayServe() bool { return !s.denyServe.Load() }

func (s *session) ControlsTarget(string, uint64) bool { return !s.denyRun.Load() }

func (s *session) MayRun(string, uint64, int, uint64) bool { return !s.denyRun.Load() }

func newSession(service table.Service) *session {
	s := &session{service: service, servers: map[string]*scriptedServer{}, epoch: 1 << 32}
	s.a, s.b = s.newInstance("a"), s.newInstance("b")
	for _, name := range []string{"t1", "t2"} {
		s.servers[name] = s.newServer(name)
	}
	s.assignTo("t1")
	return s
}

func (s *session) newInstance(id string) *testInstance {
	i := &testInstance{}
	i.gateway = New(Config{
		Self: id, Routes: &i.routes, Authority: s, HandoverTimeout: 5 * time.Second,
		Idempotency: idempotency.Config{Skew: time.Millisecond},
	})
	i.callerAddress, i.forwardAddress = s.serve(i, i.gateway.CallerHandler()), s.serve(i, i.gateway.ForwardHandler())
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { _ = i.gateway.Run(ctx); close(stopped) }()
	DeferCleanup(func() { cancel(); <-stopped })
	return i
}

func (s *session) serve(i *testInstance, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	DeferCleanup(server.Close)
	i.closers = append(i.closers, server.Close)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

// closeAll closes all listeners and connections of an instance.
func (i *testInstance) closeAll() {
	for _, f := range i.closers {
		_ = f()
	}
}

// waitForTenure waits until the instance serves requests with an idempotency key.
func (s *session) waitForTenure(i *testInstance, target string) {
	GinkgoHelper()
	Eventually(func() bool {
		return i.gateway.tenures.isReady(s.service.Name+"/"+target, 0, idempotency.Tenure{Term: 7, Epoch: s.epoch})
	}, "3s", "2ms").Should(BeTrue())
}

// assignTo publishes routes in which the target owns all partitions at a new
// epoch. Instance b controls t1, and a controls t2.
func (s *session) assignTo(target string) {
	s.epoch++
	s.publish(s.a, target, "t2")
	s.publish(s.b, target, "t1")
}

// publish gives an instance routes in which owner owns all partitions, or none does
// if owner is empty. The instance controls the target local.
func (s *session) publish(i *testInstance, owner, local string) {
	routeService := &route.Service{Service: s.service, Assignment: placement.NewAssignment(s.service.Name, s.service.Partitions)}
	for _, name := range []string{"t1", "t2"} {
		t := &route.Target{
			Row: table.Row{
				Service: s.service.Name, Target: name, Address: s.servers[name].address,
				Slots: 2, Connections: 4, Queue: 8, Weight: 1,
			},
			Term: 7, Ready: true, Local: name == local, ForwardAddress: s.b.forwardAddress,
		}
		if name == "t2" {
			t.ForwardAddress = s.a.forwardAddress
		}
		routeService.Targets = append(routeService.Targets, t)
	}
	routeService.AssignmentTargets = routeService.Targets
	if owner != "" {
		var changes []placement.Change
		for p := range s.service.Partitions {
			changes = append(changes, placement.Change{Partition: p, Target: owner})
		}
		routeService.Assignment.Targets = []string{"t1", "t2"}
		routeService.Assignment = routeService.Assignment.WithChanges(s.epoch, changes)
	}
	i.routes.Store(&route.Snapshot{Serving: true, Services: map[string]*route.Service{s.service.Name: routeService}})
}

// recordStep appends a step to the record.
func (s *session) recordStep(who, what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(&s.record, "%s\n", who)
	for line := range strings.SplitSeq(strings.TrimSuffix(what, "\n"), "\n") {
		fmt.Fprintf(&s.record, "    %s\n", strings.TrimSuffix(line, "\r"))
	}
}

// maskedPatterns are the parts of a record that differ from run to run, with the
// texts that replace them.
var maskedPatterns = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`(?m)^    Date: .*$`), "    Date: DATE"},
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}`), "UUID"},
	{regexp.MustCompile(`Deadline: \d{2,}`), "Deadline: MILLISECONDS"},
}

// recordedText returns the record so far.
func (s *session) recordedText() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.String()
}

// assertGolden compares the record with testdata/name.golden.
func (s *session) assertGolden(name string) {
	text := s.recordedText()
	for _, v := range maskedPatterns {
		text = v.pattern.ReplaceAllString(text, v.text)
	}
	goldie.New(GinkgoTB()).Assert(GinkgoTB(), name, []byte(text))
}

// caller is a raw connection of a caller.
type caller struct {
	s    *session
	conn net.Conn
	in   *bufio.Reader
}

func (s *session) connect() *caller {
	conn, err := net.Dial("tcp", s.a.callerAddress)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	return &caller{s, conn, bufio.NewReader(conn)}
}

// send writes raw bytes; "\n" stands for CRLF.
func (c *caller) send(raw string) *caller {
	c.s.recordStep("caller sends", raw)
	_, err := io.WriteString(c.conn, strings.ReplaceAll(raw, "\n", "\r\n"))
	Expect(err).NotTo(HaveOccurred())
	return c
}

// receive reads one response and records it. It returns nil if the connection
// closes without one.
func (c *caller) receive() *http.Response {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.s.recordStep("caller gets", "connection closed without an answer")
		return nil
	}
	body, err := io.ReadAll(resp.Body)
	text := fmt.Sprintf("%s %s\n%s\n", resp.Proto, resp.Status, sortedHeaders(resp.Header))
	if err != nil {
		text += "(a part of the body, then the connection broke: " + err.Error() + ")"
	} else {
		text += abbreviate(body)
	}
	c.s.recordStep("caller gets", text)
	return resp
}

func sortedHeaders(h http.Header) string {
	var lines []string
	for name, values := range h {
		for _, v := range values {
			lines = append(lines, name+": "+v+"\n")
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// behaviour handles the next request of a connection to a scripted server. It
// reports whether the connection stays open.
type behaviour func(s *session, name string, conn net.Conn, in *bufio.Reader) bool

// scriptedServer handles each request with the next behaviour of its script.
type scriptedServer struct {
	address string
	script  chan behaviour
}

func (s *session) newServer(name string) *scriptedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	server := &scriptedServer{address: l.Addr().String(), script: make(chan behaviour, 16)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveScript(name, server, conn)
		}
	}()
	return server
}

func (s *session) serveScript(name string, server *scriptedServer, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		select {
		case b := <-server.script:
			if !b(s, name, conn, in) {
				return
			}
		case <-time.After(2 * time.Second):
			s.recordStep("server "+name, "got a request that the script does not expect")
			return
		}
	}
}

func (s *session) script(name string, behaviours ...behaviour) {
	for _, b := range behaviours {
		s.servers[name].script <- b
	}
}

// read reads and records one request.
func read(s *session, name string, in *bufio.Reader) bool {
	req, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(req.Body)
	text := fmt.Sprintf("%s %s %s\nHost: %s\n%s", req.Method, req.RequestURI, req.Proto, req.Host, sortedHeaders(req.Header))
	if req.ContentLength != 0 {
		text += fmt.Sprintf("(length %d)\n\n%s", req.ContentLength, abbreviate(body))
	}
	if err != nil {
		text += "\n(request broke off)"
	}
	s.recordStep("server "+name+" sees", text)
	return err == nil
}

func abbreviate(b []byte) string {
	if len(b) > 1000 {
		return fmt.Sprintf("(%d bytes, %d of them 'x')", len(b), bytes.Count(b, []byte("x")))
	}
	return string(b)
}

// reply responds with raw bytes; "\n" stands for CRLF.
func reply(raw string) behaviour {
	return replyAfter(func() {}, raw)
}

// replyAfter runs f after reading the request and before responding.
func replyAfter(f func(), raw string) behaviour {
	return func(s *session, name string, conn net.Conn, in *bufio.Reader) bool {
		if !read(s, name, in) {
			return false
		}
		f()
		_, err := io.WriteString(conn, strings.ReplaceAll(raw, "\n", "\r\n"))
		return err == nil
	}
}

// replyAndClose responds with raw bytes and closes the connection.
func replyAndClose(raw string) behaviour {
	return func(s *session, name string, conn net.Conn, in *bufio.Reader) bool {
		reply(raw)(s, name, conn, in)
		s.recordStep("server "+name, "closes the connection")
		return false
	}
}

// closeBeforeReading closes the connection when the first byte arrives.
func closeBeforeReading(s *session, name string, _ net.Conn, _ *bufio.Reader) bool {
	s.recordStep("server "+name, "closes the connection without reading")
	return false
}

// holdRequest reads the request, closes arrived, and closes gone when the
// connection is closed.
func holdRequest(arrived, gone chan struct{}) behaviour {
	return func(s *session, name string, _ net.Conn, in *bufio.Reader) bool {
		read(s, name, in)
		close(arrived)
		_, err := in.Peek(1)
		s.recordStep("server "+name, "sees the end of the connection: "+fmt.Sprint(err != nil))
		close(gone)
		return false
	}
}
