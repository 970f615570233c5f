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
	// probeInterval is the time between a client's requests for one key.
	probeInterval = 5 * time.Millisecond
	// probeTimeLimit ends a request that was sent to an instance that vanished, so
	// that it does not hide that the key is served again.
	probeTimeLimit = 200 * time.Millisecond
)

// keysOf returns some keys that the targets own, n for each target.
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

// startProbe asks for each key every probeInterval, in a client of its own, until
// the returned function is called, which returns the results.
func (s *system) startProbe(service string, keys []string, entries []string) func() []promise.Result {
	c := promise.NewClients(nil)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var mu sync.Mutex
	var results []promise.Result
	for k, key := range keys {
		wg.Go(func() {
			for i := k; ctx.Err() == nil; i++ {
				limited, done := context.WithTimeout(context.Background(), probeTimeLimit)
				r := c.Send(limited, entries[i%len(entries)], promise.Result{Service: service, Key: key, Method: http.MethodGet})
				done()
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

// failure is what fails at once.
type failure struct {
	instances []string
	targets   []string // row IDs
}

// affectedTargets returns the names of the targets of a service that are lost or whose
// controller is lost.
func (s *system) affectedTargets(service string, l failure) []string {
	var names []string
	for id := range s.servers {
		lost := slices.Contains(l.targets, id) || slices.Contains(l.instances, s.controllerOf(id))
		if lost && id == service+"/"+targetName(id) {
			names = append(names, targetName(id))
		}
	}
	slices.Sort(names)
	return names
}

// survivingAddresses returns the callers' addresses of the instances that a loss spares.
func (s *system) survivingAddresses(l failure) []string {
	var list []string
	for _, n := range s.live() {
		if !slices.Contains(l.instances, n.id) {
			list = append(list, n.CallerAddress())
		}
	}
	return list
}

// zoneFailure is the loss of all instances and servers of a zone.
func (s *system) zoneFailure(zone string) failure {
	l := failure{targets: s.targetsIn(zone)}
	for _, n := range s.live() {
		if n.zone == zone {
			l.instances = append(l.instances, n.id)
		}
	}
	return l
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

// injectFailure carries out a loss and returns the time at which it was complete.
func (s *system) injectFailure(l failure) time.Time {
	var wg sync.WaitGroup
	for _, id := range l.instances {
		n := s.remove(id)
		wg.Go(n.Kill)
	}
	for _, id := range l.targets {
		wg.Go(s.servers[id].Kill)
	}
	at := time.Now()
	wg.Wait()
	return at
}

// unavailableTimes returns, for each key, the time from the loss to the first answer
// of a request that began after it, or -1 if there was none.
func unavailableTimes(at time.Time, results []promise.Result) map[string]time.Duration {
	first := map[string]time.Duration{}
	for _, r := range results {
		if _, ok := first[r.Key]; !ok {
			first[r.Key] = -1
		}
		if r.Outcome != promise.OutcomeRun || r.Begin.Before(at) {
			continue
		}
		if d := r.End.Sub(at); first[r.Key] < 0 || d < first[r.Key] {
			first[r.Key] = d
		}
	}
	return first
}
