package placement

import (
	"fmt"
	"strings"
	"time"
)

// Explanation tells why a partition has its owner and which moves are planned for it.
type Explanation struct {
	Partition int    `json:"partition"`
	Owner     string `json:"owner"`
	Epoch     uint64 `json:"epoch"`
	// Reason is the Reason constant for which the partition was assigned to its owner. It is
	// "" if there is no owner or if this planner has no record of the decision, for example
	// because an earlier planner made it.
	Reason string `json:"reason,omitempty"`
	// Since is the time of that decision on the clock of Input.Now, or 0 without a Reason.
	Since time.Duration `json:"since,omitempty"`
	// Pending are the moves of the partition that are planned or in progress.
	Pending []PendingMove `json:"pending,omitempty"`
}

// PendingMove is a move that has not finished.
type PendingMove struct {
	To string `json:"to"`
	// Started reports whether the handover is in progress.
	Started bool `json:"started"`
	// Reason is the reason of a started move. For a deferred move, it is what the move
	// waits for.
	Reason string `json:"reason"`
}

// String formats the explanation as one line of key=value pairs.
func (e Explanation) String() string {
	var s strings.Builder
	owner, reason := e.Owner, e.Reason
	if owner == "" {
		owner = "none"
	}
	if reason == "" {
		reason = "decided by an earlier planner"
	}
	fmt.Fprintf(&s, "partition=%d owner=%s epoch=%d reason=%q", e.Partition, owner, e.Epoch, reason)
	for _, p := range e.Pending {
		state := "waiting"
		if p.Started {
			state = "started"
		}
		fmt.Fprintf(&s, " pending=%s state=%s why=%q", p.To, state, p.Reason)
	}
	return s.String()
}

// Explain explains the owner and the pending moves of a partition. The argument lastPlan is
// the most recent plan; its deferred moves are reported as pending. Explain must be called by
// the goroutine that calls Plan.
func (w *Weighted) Explain(a *Assignment, lastPlan Plan, partition int) Explanation {
	e := Explanation{Partition: partition, Owner: a.OwnerOf(partition), Epoch: a.Epoch[partition]}
	e.Reason, e.Since = w.decisions.reasonFor(partition, e.Owner)
	switch s, ok := w.startedMoves[partition]; {
	case ok && s.to == e.Owner:
		e.Reason, e.Since = s.reason, s.startedAt
	case ok:
		e.Pending = append(e.Pending, PendingMove{To: s.to, Started: true, Reason: s.reason})
	}
	for _, m := range lastPlan.Deferred {
		if m.Partition == partition {
			e.Pending = append(e.Pending, PendingMove{To: m.Target, Reason: m.Reason})
		}
	}
	return e
}

// decisions holds the most recent decision about each partition: its target, and the reason
// and time.
type decisions struct {
	target []string
	reason []string
	at     []time.Duration
}

func newDecisions(n int) decisions {
	return decisions{target: make([]string, n), reason: make([]string, n), at: make([]time.Duration, n)}
}

func (d *decisions) record(c Change, reason string, at time.Duration) {
	d.target[c.Partition], d.reason[c.Partition], d.at[c.Partition] = c.Target, reason, at
}

// reasonFor returns the reason and time of the decision that made the target the owner of
// partition p. It returns "" and 0 if that decision is not known.
func (d *decisions) reasonFor(p int, owner string) (string, time.Duration) {
	if p >= len(d.target) || owner == "" || d.target[p] != owner {
		return "", 0
	}
	return d.reason[p], d.at[p]
}
