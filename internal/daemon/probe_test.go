package daemon

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/boragegate/boragegate/internal/promise"
	"github.com/boragegate/boragegate/placement"
)

const (
	// probeInterval is the delay between two probe requests for one key.
	probeInterval = 5 * time.Millisecond
	// probeTimeLimit is the timeout of a probe request, so that a request to a failed
	// instance does not hide that the key is served again.
	probeTimeLimit = 200 * time.Millisecond
)

// keysOf returns keys that the targets own, n for each target.
func (s *system) keysOf(service string, targets []string, n int) []string {
	a := s.assignment(service)
	count := map[string]int{}
	var keys []string
	for i := 0; len(keys) < n*len(targets) && i < 100*s.systemConfig.partitions; i++ {
		key := fmt.Sprintf("p%d", i)
		owner := a.OwnerOf(placement.PartitionOf(service, key, s.systemConfig.partitions))
		if count[owner] < n && slices.Contains(targets, owner) {
			count[owner]++
			keys = append(keys, key)
		}
	}
	return keys
}

// startProbe sends a request for each key every probeInterval, one at a time for each key. The
// returned function stops the requests and returns their results.
func (s *system) startProbe(service string, keys []string, addresses []string) func() []promise.Result {
	c := promise.NewClients(nil)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var mu sync.Mutex
	var results []promise.Result
	for k, key := range keys {
		wg.Go(func() {
			for i := k; ctx.Err() == nil; i++ {
				requestCtx, cancelRequest := context.WithTimeout(context.Background(), probeTimeLimit)
				r := c.Send(requestCtx, addresses[i%len(addresses)], promise.Result{Service: service, Key: key, Method: http.MethodGet})
				cancelRequest()
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				time.Sleep(probeInterval)
			}
		})
	}
	return func() []promise.Result {
		cancel()
		wg.Wait()
		return results
	}
}

// failure lists the instances and targets that fail at the same time.
type failure struct {
	instances []string
	targets   []string // row IDs
}

// affectedTargets returns the names of the targets of a service that fail or whose controller
// fails.
func (s *system) affectedTargets(service string, f failure) []string {
	var names []string
	for id := range s.servers {
		isAffected := slices.Contains(f.targets, id) || slices.Contains(f.instances, s.controllerOf(id))
		if isAffected && id == service+"/"+targetName(id) {
			names = append(names, targetName(id))
		}
	}
	slices.Sort(names)
	return names
}

// survivingAddresses returns the caller addresses of the instances that do not fail.
func (s *system) survivingAddresses(f failure) []string {
	var list []string
	for _, n := range s.live() {
		if !slices.Contains(f.instances, n.id) {
			list = append(list, n.CallerAddress())
		}
	}
	return list
}

// zoneFailure returns the failure of all instances and servers of a zone.
func (s *system) zoneFailure(zone string) failure {
	f := failure{targets: s.targetsIn(zone)}
	for _, n := range s.live() {
		if n.zone == zone {
			f.instances = append(f.instances, n.id)
		}
	}
	return f
}

func (s *system) targetsIn(zone string) []string {
	var ids []string
	for _, r := range s.table.Rows {
		if r.Zone == zone {
			ids = append(ids, r.ID())
		}
	}
	return ids
}

// injectFailure kills the instances and targets of a failure and returns the time at which all
// kills had been started.
func (s *system) injectFailure(f failure) time.Time {
	var wg sync.WaitGroup
	for _, id := range f.instances {
		n := s.remove(id)
		wg.Go(n.Kill)
	}
	for _, id := range f.targets {
		wg.Go(s.servers[id].Kill)
	}
	at := time.Now()
	wg.Wait()
	return at
}

// unavailableTimes returns for each key the time from the failure to the first successful
// response to a request that was sent after the failure, or -1 if there was none.
func unavailableTimes(failedAt time.Time, results []promise.Result) map[string]time.Duration {
	first := map[string]time.Duration{}
	for _, r := range results {
		if _, ok := first[r.Key]; !ok {
			first[r.Key] = -1
		}
		if r.Outcome != promise.OutcomeRun || r.Begin.Before(failedAt) {
			continue
		}
		if d := r.End.Sub(failedAt); first[r.Key] < 0 || d < first[r.Key] {
			first[r.Key] = d
		}
	}
	return first
}
