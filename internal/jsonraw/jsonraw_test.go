package jsonraw_test

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/internal/jsonraw"
	_ "github.com/boragegate/boragegate/internal/seedtest" // fixes the seed of random cases
)

func TestJSONRaw(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "jsonraw")
}

var _ = Describe("ReplaceDeepFields", func() {
	It("replaces only the values that are nested too deeply", func() {
		// Guards against a value that is lost as a whole because of one part.
		deep := strings.Repeat(`{"spec":[`, 200_000) + "1e999" + strings.Repeat("]}", 200_000)
		value := `{"items" : [ {"spec": ` + deep + ` , "n":9e18},{"spec":{"a":"}],\"{"}, "spec" :` + deep + `}], "n": 2}`
		Expect(json.Valid([]byte(value))).To(BeFalse())
		got, err := jsonraw.ReplaceDeepFields([]byte(value), `"odd"`, "spec")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(MatchJSON(`{"items":[{"spec":"odd","n":9e18},{"spec":{"a":"}],\"{"},"spec":"odd"}],"n":2}`))
	})

	DescribeTable("returns an error for what is not JSON",
		// Guards against a broken value that is taken for a whole one.
		func(value string) {
			_, err := jsonraw.ReplaceDeepFields([]byte(value), "null", "spec")
			Expect(err).To(HaveOccurred())
		},
		Entry("empty", ""), Entry("truncated", `{"a":1`), Entry("truncated in a value", `{"a":[1`), Entry("mismatched", `{"a":[1}}`), Entry("no colon", `{"a" 1}`),
	)

	It("leaves all other values as they are", func() {
		// Guards against a replacement that changes values which encoding/json accepts.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b, err := json.Marshal(rapid.MapOf(rapid.SampledFrom([]string{"spec", "a", ""}), rapid.SliceOf(rapid.MapOf(rapid.Just("spec"), rapid.String()))).Draw(t, "value"))
			if err != nil {
				t.Fatal(err)
			}
			got, err := jsonraw.ReplaceDeepFields(b, "null", "spec")
			if err != nil || string(got) != string(b) {
				t.Fatalf("%s became %s, error %v", b, got, err)
			}
		})
	})
})
