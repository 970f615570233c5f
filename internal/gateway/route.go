package gateway

import (
	"cmp"
	"strconv"

	"github.com/boragegate/boragegate/internal/route"
	"github.com/boragegate/boragegate/placement"
)

// noPartition marks a request that any target of its service can serve.
const noPartition = -1

// destination is the target that a request is sent to, with the partition and
// its epoch. The partition is noPartition if any target can serve the request.
type destination struct {
	target    *route.Target
	partition int
	epoch     uint64
}

// ownerOfKey returns the partition of the key and the target that owns it. The
// target is nil if the partition has no owner. ownerOfKey does not allocate.
func ownerOfKey(s *route.Service, key string) destination {
	return ownerOfPartition(s, placement.PartitionOf(s.Name, key, s.Partitions))
}

func ownerOfPartition(s *route.Service, p int) destination {
	d := destination{partition: p}
	a := s.Assignment
	if a == nil || p >= len(a.Owner) {
		return d
	}
	if i := int(a.Owner[p]); i < len(s.AssignmentTargets) {
		d.target, d.epoch = s.AssignmentTargets[i], a.Epoch[p]
	}
	return d
}

// routingKey returns the key that determines the partition, or "" if any target
// can serve the request.
func (c *call) routingKey() string {
	if c.service.Divided {
		return c.key
	}
	return c.idempotencyKey
}

// resolve returns the destination of a request according to the snapshot, or a
// failure if no target can serve it at the moment.
func (g *Gateway) resolve(snapshot *route.Snapshot, c *call) (destination, *failure) {
	if !snapshot.Serving || !g.cfg.Authority.MayServe() {
		return destination{}, unavailable("not-serving", "this instance takes no requests: "+cmp.Or(snapshot.Reason, "its table is not confirmed"))
	}
	s := snapshot.Services[c.service.Name]
	if s == nil {
		return destination{}, notRun(404, "unknown-service", "the table no longer has the service "+strconv.Quote(c.service.Name))
	}
	d := destination{partition: noPartition}
	if key := c.routingKey(); key != "" {
		d = ownerOfKey(s, key)
	} else {
		d.target = g.chooseTarget(s, c)
	}
	switch {
	case d.target == nil && d.partition == noPartition:
		return d, noOwner("no target of the service is ready")
	case d.target == nil:
		return d, noOwner("partition " + strconv.Itoa(d.partition) + " has no owner at the moment")
	case !d.target.Local && d.target.ForwardAddress == "":
		return d, noOwner("no instance is in front of " + d.target.Row.ID() + " at the moment")
	}
	return d, nil
}
