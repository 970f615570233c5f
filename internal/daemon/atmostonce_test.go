package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/internal/promise"
	"github.com/boragegate/boragegate/placement"
)

// Guards against a second run of an order when the idempotency record of the first run is
// lost with its instance (P5). The server is paused between the work and its effect while
// the instance is killed, so that the first run takes effect but gets no response.
var _ = It("an order runs at most once if its controller fails and the request is retried at another instance", Label(raceLabel), func() {
	s := startSystem(systemConfig{instances: 4, zones: 4, targets: map[string]int{"order": 2}, workTime: 50 * time.Millisecond})
	target := s.servers["order/o1"]
	controller := s.controllerOf("order/o1")
	var addresses []string
	for _, n := range s.live() {
		if n.id != controller {
			addresses = append(addresses, n.CallerAddress())
		}
	}
	var keys []string
	for i := 0; len(keys) < 5; i++ {
		key := fmt.Sprintf("k%d", i)
		if s.assignment("order").OwnerOf(placement.PartitionOf("order", key, s.systemConfig.partitions)) == "o1" {
			keys = append(keys, key)
		}
	}
	c := promise.NewClients(nil)
	post := func(address, key, id string) promise.Result {
		return c.Send(context.Background(), address, promise.Result{Service: "order", Key: key, Method: http.MethodPost, ID: id})
	}
	time.Sleep(2 * time.Second) // until the tenures are older than the allowed clock skew
	// On a busy machine, requests that are sent together may reach the server so far apart that they do not all run at the
	// same time. Then they run to their end, and others are sent.
	const maxRounds = 50
	var results, first []promise.Result
	var wg sync.WaitGroup
	allRunning := false
	for round := 0; !allRunning; round++ {
		Expect(round).To(BeNumerically("<", maxRounds), "all requests of a round should run at the same time")
		first = make([]promise.Result, len(keys))
		var answered atomic.Int64
		for i, key := range keys {
			wg.Go(func() {
				first[i] = post(addresses[0], key, "")
				answered.Add(1)
			})
		}
		for answered.Load() == 0 {
			if allRunning = target.Running() == len(keys); allRunning {
				break
			}
			time.Sleep(time.Millisecond / 2)
		}
		if !allRunning {
			wg.Wait()
			results = append(results, first...)
		}
	}
	target.Pause(200 * time.Millisecond)
	time.Sleep(100 * time.Millisecond) // the work ends while the server is paused
	s.injectFailure(failure{instances: []string{controller}})
	wg.Wait()
	results = append(results, first...)
	sent := len(results)
	for range 4 {
		for i, key := range keys {
			r := post(addresses[1+i%2], key, first[i].ID)
			Expect(r.Outcome).NotTo(Equal(promise.OutcomeRun), "the record is lost, so this attempt must not run")
			results = append(results, r)
		}
		time.Sleep(300 * time.Millisecond)
	}
	Expect(s.effects.Snapshot()).To(HaveLen(sent), "the first runs should have taken effect")
	s.verify(results)
	Eventually(func() string { return post(addresses[1], keys[0], "").Outcome }, "5s", "50ms").Should(Equal(promise.OutcomeRun))
})

// Guards against two instances that forward requests for the same keys at the same time to
// servers that do not check grants and therefore cannot refuse them. An instance must stop
// forwarding as soon as it is out of contact, before another one begins.
var _ = It("services whose servers do not check grants have one owner per key", func() {
	s := startSystem(systemConfig{instances: 4, zones: 4, targets: map[string]int{"route": 4, "order": 4}, ignoreGrants: true})
	stopLoad := s.startLoad()
	time.Sleep(300 * time.Millisecond)
	isolated := s.node(s.controllerOf("route/r1"))
	var addresses []string
	for _, n := range s.live() {
		if n != isolated {
			addresses = append(addresses, n.CallerAddress())
		}
	}
	keys := s.keysOf("route", []string{"r1"}, 2)
	stopProbe := s.startProbe("route", keys, addresses)
	stopIsolatedProbe := s.startProbe("route", keys, []string{isolated.CallerAddress()})
	isolatedAt := time.Now()
	s.network.setIsolated(isolated.id, true)
	time.Sleep(maxUnavailableTime)
	probed := stopProbe()
	for key, d := range unavailableTimes(isolatedAt, probed) {
		Expect(d).To(And(BeNumerically(">=", 0), BeNumerically("<=", maxUnavailableTime)), key)
	}
	// The keys move to another server while the isolated instance still gets requests for them.
	other := s.node(s.controllerOf("route/r2"))
	if other == isolated {
		other = s.node(s.controllerOf("route/r3"))
	}
	_, err := s.apply(other, drain("route/r1"))
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() []int { return s.assignment("route").PartitionsOf("r1") }, "10s", "5ms").Should(BeEmpty())
	time.Sleep(500 * time.Millisecond)
	probed = append(probed, stopIsolatedProbe()...)
	s.network.setIsolated(isolated.id, false)
	s.awaitSettled()
	s.servers["route/r2"].Kill()
	Eventually(func() []int { return s.assignment("route").PartitionsOf("r2") }, "10s", "20ms").Should(BeEmpty())
	time.Sleep(500 * time.Millisecond)
	s.verify(append(stopLoad(), probed...))
})
