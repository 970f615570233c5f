package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/boragegate/boragegate/platform/standin"
)

const (
	leavingRounds = 16
	// leavingTargets is the number of targets. In each round one leaves, and later another one joins.
	leavingTargets = 6
	drain          = 2 * time.Second
	contact        = 3 * time.Second
	// leavingServes is the time for which a target that has left continues to serve.
	leavingServes = 4 * time.Second
	// restartDelay is the time after which the platform restarts a process that was killed.
	restartDelay     = 150 * time.Millisecond
	bookingInterval  = 10 * time.Millisecond
	roundLength      = leavingServes + 800*time.Millisecond
	bookingBudget    = 2500 * time.Millisecond
	ownershipObjects = "/api/objects/boragegate-ownership/current"
)

// leavingTarget runs bookings, until it is closed.
type leavingTarget struct {
	id       string
	listener net.Listener
	server   *http.Server
	// removedAt is the time of the store's answer to the removal of its entry, in nanoseconds since the start of the
	// world; 0 until then.
	removedAt atomic.Int64
}

// leavingWorld is a deployment in which targets leave without having said that they drain.
type leavingWorld struct {
	*world
	mu      sync.Mutex
	sentAt  map[string]time.Duration // by request
	sentBy  map[string]string        // the instance that the request was sent to
	endedAt map[string]time.Duration // last kill, by instance
	targets []*leavingTarget         // in the order in which they joined
	late    int
}

func (t *leavingTarget) serve(w *leavingWorld, rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(idHeader)
	rw.Header().Set(idHeader, id)
	if expected := r.Header.Get(expectHeader); expected != "" && expected != t.id {
		rw.Header().Set(notRunHeader, "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.checkDrained(t, id)
	time.Sleep(50 * time.Millisecond)
	rw.Header().Set(stampHeader, "stamp-"+id)
	rw.Header().Set(loadHeader, "1,0,6")
	_, _ = rw.Write([]byte("done " + id))
}

// checkDrained counts a request that a machine in touch has sent to a target more than drain after the store had
// acknowledged that the target is gone.
func (w *leavingWorld) checkDrained(t *leavingTarget, id string) {
	removed := time.Duration(t.removedAt.Load())
	now := time.Since(w.started)
	if removed == 0 {
		return
	}
	w.logf("target %s, gone for %s, gets %s", t.id, (now - removed).Round(time.Millisecond), id)
	w.mu.Lock()
	defer w.mu.Unlock()
	name := w.sentBy[id]
	inTouch := w.endedAt[name] == 0 || w.sentAt[id]-w.endedAt[name] > contact+time.Second
	if now-removed > drain && inTouch {
		w.late++
		w.logf("BROKEN: %s reaches %s from %s, %s after the store had acknowledged that the target is gone", id, t.id, name, (now - removed).Round(time.Millisecond))
	}
}

var errNoLeader = errors.New("the store has no ownership record")

// leader returns the instance that the ownership record names.
func (w *leavingWorld) leader() (*instance, error) {
	rec := httptest.NewRecorder()
	w.store.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, ownershipObjects, nil))
	var o struct {
		Spec struct {
			Writer string `json:"writer"`
		} `json:"spec"`
	}
	b, _ := io.ReadAll(rec.Body)
	if err := json.Unmarshal(b, &o); err != nil || rec.Code != http.StatusOK {
		return nil, errNoLeader
	}
	name, _, _ := strings.Cut(o.Spec.Writer, ".")
	for _, in := range w.instances {
		if in.machine.Name == name {
			return in, nil
		}
	}
	return nil, errNoLeader
}

// killAndRestart kills the process of an instance. It calls whileDown and starts a new process after restartDelay.
func (w *leavingWorld) killAndRestart(in *instance, whileDown func()) error {
	w.mu.Lock()
	w.endedAt[in.machine.Name] = time.Since(w.started)
	w.mu.Unlock()
	w.logf("platform kills %s", in.machine.Name)
	_ = in.cmd.Process.Signal(syscall.SIGKILL)
	<-in.exited
	whileDown()
	time.Sleep(restartDelay)
	old := in.cmd
	cmd := exec.Command(old.Path) //nolint:gosec // the command of the deploy file
	cmd.Env, cmd.Stdout, cmd.Stderr, cmd.SysProcAttr = old.Env, old.Stdout, old.Stderr, old.SysProcAttr
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	in.cmd, in.exited = cmd, exited
	w.logf("platform starts %s again, pid %d", in.machine.Name, cmd.Process.Pid)
	go func() { _ = cmd.Wait(); close(exited) }()
	return nil
}

// remove removes the entry of a target from the store. The target serves for leavingServes, and then ends.
func (w *leavingWorld) remove(t *leavingTarget) {
	w.store.Delete(standin.KindTargets, t.id)
	t.removedAt.Store(int64(time.Since(w.started)))
	w.logf("store: the entry of %s is removed", t.id)
	time.AfterFunc(leavingServes, func() {
		w.logf("target %s ends", t.id)
		_ = t.server.Close()
	})
}

// addTarget starts a target.
func (w *leavingWorld) addTarget() (err error) {
	t := &leavingTarget{id: fmt.Sprintf("i-7f3a91%02d", len(w.targets))}
	w.targets = append(w.targets, t)
	t.listener, t.server, err = w.serveTarget(t.id, "foglalas", 6, func(rw http.ResponseWriter, r *http.Request) { t.serve(w, rw, r) })
	return err
}

// playLeaving lets targets leave, with trouble each time just after the leader was killed. It returns the number of requests
// that reached a target too late.
func playLeaving(base *world) (bad int, err error) {
	w := &leavingWorld{world: base, sentAt: map[string]time.Duration{}, sentBy: map[string]string{}, endedAt: map[string]time.Duration{}}
	w.putConfig(7, map[string]bool{"foglalas": false}, route{
		name: "booking-actions", prefix: "/lepu270/", kind: "unsafe", service: "foglalas",
		timeout: 1200 * time.Millisecond, objective: 400 * time.Millisecond, maxAttempts: 2,
	})
	for range leavingTargets {
		if err := w.addTarget(); err != nil {
			return 0, err
		}
	}
	if err := w.startInstances(4); err != nil {
		return 0, err
	}
	done := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { w.book(done) })
	defer clients.Wait()
	defer close(done)
	time.Sleep(4 * time.Second)
	for round := range leavingRounds {
		leave := func() { w.remove(w.targets[round]) }
		leader, err := w.leader()
		if err != nil {
			return 0, err
		}
		w.logf("round %d: %s leads", round+1, leader.machine.Name)
		if w.trouble {
			if err := w.killAndRestart(leader, leave); err != nil {
				return 0, err
			}
		} else {
			leave()
		}
		time.Sleep(roundLength / 2)
		if err := w.addTarget(); err != nil {
			return 0, err
		}
		time.Sleep(roundLength / 2)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logf("requests that reached a target too late: %d", w.late)
	return w.late, nil
}

// book sends bookings to the instances in turn until done is closed.
func (w *leavingWorld) book(done <-chan struct{}) {
	c := newClient(w.world)
	c.onSend = func(id, address string) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.sentAt[id] = time.Since(w.started)
		for _, in := range w.instances {
			if in.machine.Address(in.machine.CallerPort) == address {
				w.sentBy[id] = in.machine.Name
			}
		}
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		m := &w.instances[i%len(w.instances)].machine
		wg.Go(func() {
			c.send(m.Address(m.CallerPort), http.MethodPost, "/lepu270/2f", bookingBudget, []byte("booking"))
		})
		select {
		case <-done:
			return
		case <-time.After(bookingInterval):
		}
	}
}
