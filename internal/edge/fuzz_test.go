package edge

import (
	"bytes"
	"testing"

	"github.com/boragegate/boragegate/internal/framing"
	"github.com/boragegate/boragegate/routing"
)

// FuzzFrames guards against frames of another version or of a stranger that end
// the process, or leave owners that do not cover the keys.
func FuzzFrames(f *testing.F) {
	owners := []routing.Owner{
		{Span: routing.Span{To: 9}, Holder: routing.Lifetime{ID: "a"}, Ready: true},
		{Span: routing.Span{From: 10, To: routing.KeyCount - 1}, Holder: routing.Lifetime{ID: "b"}},
	}
	for _, v := range []struct {
		kind byte
		body any
	}{
		{kindFollowRequest, followRequest{Instance: "i"}},
		{kindStateUpdate, stateUpdate{Term: 1, Owners: map[string]*ownersUpdate{"svc": encodeOwners(owners, true)}, Targets: &targetUpdate{Put: map[string]routing.Target{"a": {ID: "a"}}}}},
		{kindLoadReport, loadReport{Keys: map[string]map[int]int{"svc": {7: 1}}}},
		{kindNotLeader, notLeader{Incarnation: 1}},
	} {
		b, err := encodeFrame(v.kind, v.body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		n, l, h := &stateUpdate{}, &loadReport{}, &followRequest{}
		r := bytes.NewReader(b)
		for {
			kind, err := readFrame(r, map[byte]any{kindStateUpdate: n, kindLoadReport: l, kindFollowRequest: h, kindNotLeader: nil})
			if err != nil {
				return
			}
			if kind != kindStateUpdate {
				continue
			}
			for _, o := range n.Owners {
				if o == nil {
					continue
				}
				got, err := o.apply(owners)
				if err != nil || len(got) == 0 {
					continue
				}
				for i, o := range got {
					if i > 0 && o.From != got[i-1].To+1 || o.To < o.From {
						t.Fatalf("owners %v", got)
					}
				}
			}
			if len(b) > framing.MaxBytes {
				return
			}
		}
	})
}
