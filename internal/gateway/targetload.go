package gateway

import "github.com/boragegate/boragegate/admission"

// TargetLoad returns the load of a target that this instance controls or has
// controlled. id is "service/target". ok is false if this instance never controlled
// the target.
func (g *Gateway) TargetLoad(id string) (l admission.Load, ok bool) {
	v, ok := g.targets.m.Load(id)
	if !ok {
		return l, false
	}
	return v.(*target).gate.Load(), true
}
