package edge

import (
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/routing"
)

// drawOwners draws owners that cover all keys.
func drawOwners(t *rapid.T, label string) []routing.Owner {
	cuts := rapid.SliceOfNDistinct(rapid.IntRange(1, routing.KeyCount-1), 0, 12, rapid.ID[int]).Draw(t, label+" cuts")
	var owners []routing.Owner
	for from := 0; from < routing.KeyCount; {
		to := routing.KeyCount - 1
		for _, c := range cuts {
			if c > from && c-1 < to {
				to = c - 1
			}
		}
		owners = append(owners, routing.Owner{
			Span:   routing.Span{From: from, To: to},
			Holder: routing.Lifetime{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, label+" holder")},
			Ready:  rapid.Bool().Draw(t, label+" ready"),
		})
		from = to + 1
	}
	return owners
}

// sameOwners compares owners without the estimated waits.
func sameOwners(a, b []routing.Owner) bool { return slices.EqualFunc(a, b, sameOwner) }

var _ = Describe("owners update", func() {
	It("gives followers the leader's owners after any change", func() {
		// Guards against followers that route a key by an outdated span after spans were
		// split, merged or moved.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			before, after := drawOwners(t, "before"), drawOwners(t, "after")
			if rapid.Bool().Draw(t, "near") { // only one span changes
				after = append([]routing.Owner{}, before...)
				after[rapid.IntRange(0, len(after)-1).Draw(t, "at")].Holder.ID = "d"
			}
			got, err := encodeOwners(changedOwners(before, after), false).apply(before)
			if err != nil {
				t.Fatal(err)
			}
			if !sameOwners(got, after) {
				t.Fatalf("got %v, want %v", got, after)
			}
		})
	})

	It("contains only the changed spans", func() {
		// Guards against an update that saturates the leader's network link: sending all
		// of 150 spans to 57 followers after each of 150 first grants takes 50 MB.
		before := []routing.Owner{
			{Span: routing.Span{To: 9}, Holder: routing.Lifetime{ID: "a"}, Ready: true},
			{Span: routing.Span{From: 10, To: routing.KeyCount - 1}, Holder: routing.Lifetime{ID: "b"}},
		}
		after := append([]routing.Owner{}, before...)
		after[1].Ready = true
		Expect(changedOwners(before, after)).To(HaveLen(1))
	})

	It("rejects changes that leave keys without an owner", func() {
		// Guards against a follower that accepts a list with gaps, as after it has missed a
		// state update.
		update := encodeOwners([]routing.Owner{{Span: routing.Span{From: 5, To: 9}}}, false)
		_, err := update.apply(nil)
		Expect(err).To(MatchError(ContainSubstring("key 0")))
	})
})
