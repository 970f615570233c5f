package placement

import (
	"fmt"
	"strings"
	"time"
)

// Explanation says why a partition is where it is and what is planned for it.
type Explanation struct {
	Partition int    `json:"partition"`
	Owner     string `json:"owner"`
	Epoch     uint64 `json:"epoch"`
	// Reason is the Reason constant of the move to the owner, or "" if an earlier planner decided it.
	Reason string `json:"reason,omitempty"`
	// Since is the planner's time of that decision.
	Since time.Duration `json:"since,omitempty"`
	// Pending are the moves of the partition that have not happened.
	Pending []PendingMove `json:"pending,omitempty"`
}

// PendingMove is a move that has not happened and why.
type PendingMove struct {
	To string `json:"to"`
	// Started says that the hand-over is running.
	Started bool `json:"started"`
	// Reason is the reason of a started move, else what the move waits for.
	Reason string `json:"reason"`
}

// String writes the explanation in one line.
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

// Explain explains a partition of the assignment. The plan is the last one, whose
// Deferred moves are looked through. It is called by the goroutine that calls Plan.
func (w *Weighted) Explain(a *Assignment, last Plan, partition int) Explanation {
	e := Explanation{Partition: partition, Owner: a.OwnerOf(partition), Epoch: a.Epoch[partition]}
	e.Reason, e.Since = w.decisions.reasonFor(partition, e.Owner)
	switch s, ok := w.startedMoves[partition]; {
	case ok && s.to == e.Owner:
		e.Reason, e.Since = s.reason, s.startedAt
	case ok:
		e.Pending = append(e.Pending, PendingMove{To: s.to, Started: true, Reason: s.reason})
	}
	for _, m := range last.Deferred {
		if m.Partition == partition {
			e.Pending = append(e.Pending, PendingMove{To: m.Target, Reason: m.Reason})
		}
	}
	return e
}

// decisions remembers the last decision on each partition.
type decisions struct {
	target []string
	reason []string
	at     []time.Duration
}

func newDecisions(n int) decisions {
	return decisions{target: make([]string, n), reason: make([]string, n), at: make([]time.Duration, n)}
}

func (r *decisions) record(c Change, reason string, at time.Duration) {
	r.target[c.Partition], r.reason[c.Partition], r.at[c.Partition] = c.Target, reason, at
}

// reasonFor returns the decision that made the target the owner, if it is remembered.
func (r *decisions) reasonFor(p int, owner string) (string, time.Duration) {
	if p >= len(r.target) || owner == "" || r.target[p] != owner {
		return "", 0
	}
	return r.reason[p], r.at[p]
}
