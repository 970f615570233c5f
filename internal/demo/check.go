package demo

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/boragegate/boragegate/examples/backend/server"
)

// effects collects what took effect at the sample servers.
type effects struct {
	mu   sync.Mutex
	list []server.Effect
}

func (e *effects) observe(f server.Effect) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, f)
}

func (e *effects) snapshot() []server.Effect {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.list)
}

// byService selects the effects at targets whose name begins with the prefix.
func byService(prefix string, list []server.Effect) []server.Effect {
	var selected []server.Effect
	for _, f := range list {
		if strings.HasPrefix(f.Target, prefix) {
			selected = append(selected, f)
		}
	}
	return selected
}

// checkOwners reports keys of a service that two servers ran at the same epoch,
// or that an older epoch ran after a newer one had begun.
func checkOwners(list []server.Effect) []string {
	type owner struct {
		epoch  uint64
		target string
	}
	var broken []string
	owners := map[int]owner{}
	slices.SortFunc(list, func(a, b server.Effect) int { return a.End.Compare(b.End) })
	for _, f := range list {
		o := owners[f.Partition]
		switch {
		case f.Epoch > o.epoch:
			owners[f.Partition] = owner{f.Epoch, f.Target}
		case f.Epoch < o.epoch:
			broken = append(broken, fmt.Sprintf("partition %d ran at epoch %d on %s after epoch %d on %s",
				f.Partition, f.Epoch, f.Target, o.epoch, o.target))
		case f.Target != o.target:
			broken = append(broken, fmt.Sprintf("partition %d has two owners at epoch %d: %s and %s",
				f.Partition, f.Epoch, f.Target, o.target))
		}
	}
	return broken
}

// checkOnce reports idempotency keys that ran more than once.
func checkOnce(list []server.Effect) []string {
	var broken []string
	seen := map[string]string{}
	for _, f := range list {
		if first, ok := seen[f.IdempotencyKey]; ok {
			broken = append(broken, fmt.Sprintf("request %s ran on %s and again on %s", f.IdempotencyKey, first, f.Target))
		}
		seen[f.IdempotencyKey] = f.Target
	}
	return broken
}

// checkOutcomes reports requests that were told not to have run but did, and
// answers that belong to another request.
func checkOutcomes(results []result, list []server.Effect) []string {
	ran := map[string]bool{}
	for _, f := range list {
		ran[f.IdempotencyKey] = true
	}
	var broken []string
	for _, r := range results {
		if r.outcome == "not-run" && ran[r.id] {
			broken = append(broken, fmt.Sprintf("request %s was reported not run, but ran", r.id))
		}
		if r.wrong != "" {
			broken = append(broken, fmt.Sprintf("request %s: %s", r.id, r.wrong))
		}
	}
	return broken
}

// checkDrained reports new work at a target after the time.
func checkDrained(target string, after time.Time, list []server.Effect) []string {
	var broken []string
	for _, f := range list {
		if f.Target == target && f.Begin.After(after) {
			broken = append(broken, fmt.Sprintf("%s took new work %s after it had to stop", target, f.Begin.Sub(after)))
		}
	}
	return broken
}

// longestWait returns the longest time that a key of the service waited for an
// answer, from the first request that got none to the next answer.
func longestWait(service string, results []result) time.Duration {
	byKey := map[string][]result{}
	for _, r := range results {
		if r.service == service {
			byKey[r.key] = append(byKey[r.key], r)
		}
	}
	var longest time.Duration
	for _, list := range byKey {
		slices.SortFunc(list, func(a, b result) int { return cmp.Compare(a.begin.UnixNano(), b.begin.UnixNano()) })
		var since time.Time
		for _, r := range list {
			if since.IsZero() {
				since = r.begin
			}
			if r.outcome == "run" {
				longest = max(longest, r.end.Sub(since))
				since = time.Time{}
			}
		}
	}
	return longest
}
