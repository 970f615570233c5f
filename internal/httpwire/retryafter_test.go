package httpwire_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/internal/httpwire"
)

func TestHTTPWire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "httpwire")
}

var _ = DescribeTable("ParseRetryAfter",
	// Guards against a delay of hours caused by a mistake in one response, and against a
	// malformed value that is silently ignored.
	func(values []string, want time.Duration, valid bool) {
		now := time.Date(2026, 2, 28, 7, 2, 5, 0, time.UTC)
		got, err := httpwire.ParseRetryAfter(http.Header{"Retry-After": values}, now)
		Expect(got).To(Equal(want))
		if valid {
			Expect(err).NotTo(HaveOccurred())
		} else {
			Expect(err).To(HaveOccurred())
		}
	},
	Entry("none", nil, time.Duration(0), true),
	Entry("whole seconds", []string{"2"}, 2*time.Second, true),
	Entry("a fraction", []string{"0.25"}, 250*time.Millisecond, true),
	Entry("spaces", []string{" 1.5 "}, 1500*time.Millisecond, true),
	Entry("zero", []string{"0"}, time.Duration(0), true),
	Entry("a date", []string{"Sat, 28 Feb 2026 07:02:08 GMT"}, 3*time.Second, true),
	Entry("a date in the past", []string{"Sat, 28 Feb 2026 07:02:00 GMT"}, time.Duration(0), true),
	Entry("negative", []string{"-1"}, time.Duration(0), false),
	Entry("words", []string{"soon"}, time.Duration(0), false),
	Entry("empty", []string{""}, time.Duration(0), false),
	Entry("not a number", []string{"NaN"}, time.Duration(0), false),
	Entry("infinite", []string{"Inf"}, httpwire.MaxRetryAfter, false),
	Entry("hours", []string{"86400"}, httpwire.MaxRetryAfter, false),
	Entry("overflow", []string{"1e300"}, httpwire.MaxRetryAfter, false),
	Entry("several", []string{"1", "3", "2"}, 3*time.Second, true),
	Entry("several with a malformed one", []string{"1", "x"}, time.Second, false),
)
