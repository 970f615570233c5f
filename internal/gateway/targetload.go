package gateway

import "github.com/boragegate/boragegate/admission"

// TargetLoad returns the load of a target ("service/target") that this instance
// controls. ok is false if it never controlled the target.
func (g *Gateway) TargetLoad(id string) (l admission.Load, ok bool) {
	v, ok := g.targets.m.Load(id)
	if !ok {
		return l, false
	}
	return v.(*target).gate.Load(), true
}
