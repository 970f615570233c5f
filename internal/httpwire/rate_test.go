package httpwire_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/internal/httpwire"
)

var _ = DescribeTable("ParseRate",
	// Guards against a malformed value that is taken for a limit, or that hides a valid one, and against values
	// that arithmetic on rates cannot handle.
	func(values []string, want float64, wantOK, wantError bool) {
		got, ok, err := httpwire.ParseRate(values)
		Expect(ok).To(Equal(wantOK))
		Expect(err != nil).To(Equal(wantError))
		if ok {
			Expect(got).To(Equal(want))
		}
	},
	Entry("none", nil, 0.0, false, false),
	Entry("whole number", []string{"6"}, 6.0, true, false),
	Entry("fraction", []string{" 16.2 "}, 16.2, true, false),
	Entry("less than one", []string{"0.25"}, 0.25, true, false),
	Entry("zero", []string{"0"}, 0.0, true, false),
	Entry("repeated: the lowest", []string{"16.2", "6"}, 6.0, true, false),
	Entry("negative", []string{"-1"}, 0.0, false, true),
	Entry("not a number", []string{"NaN"}, 0.0, false, true),
	Entry("text", []string{"many"}, 0.0, false, true),
	Entry("empty", []string{""}, 0.0, false, true),
	Entry("infinite", []string{"Inf"}, 1e6, true, true),
	Entry("above the range of the type", []string{"1e999"}, 1e6, true, true),
	Entry("absurd", []string{"9e18"}, 1e6, true, true),
	Entry("one of two is malformed", []string{"many", "6"}, 6.0, true, true),
)
