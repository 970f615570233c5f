package gateway

import "github.com/boragegate/boragegate/admission"

// TargetLoad returns the load of a target ("service/target") that this instance
// is in front of; ok is false if it never was.
func (g *Gateway) TargetLoad(id string) (l admission.Load, ok bool) {
	v, ok := g.targets.m.Load(id)
	if !ok {
		return l, false
	}
	return v.(*target).gate.Load(), true
}
