package edge

import (
	"bytes"
	"testing"

	"github.com/boragegate/boragegate/internal/framing"
	"github.com/boragegate/boragegate/routing"
)

// FuzzFrames guards against frames of another version or from an unknown sender that crash
// the process or leave gaps or overlaps between the spans of owners.
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
		update, report, request := &stateUpdate{}, &loadReport{}, &followRequest{}
		r := bytes.NewReader(b)
		for {
			kind, err := readFrame(r, map[byte]any{kindStateUpdate: update, kindLoadReport: report, kindFollowRequest: request, kindNotLeader: nil})
			if err != nil {
				return
			}
			if kind != kindStateUpdate {
				continue
			}
			for _, o := range update.Owners {
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
