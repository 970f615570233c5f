package freeport_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/internal/freeport"
)

func TestFreePort(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "freeport")
}

var _ = It("returns no port twice", func() {
	// Guards against instances that do not start because two of their listeners, or those of two instances, got the same
	// port: each port was free again before the next one was chosen.
	seen := map[int]bool{}
	for range 200 {
		ports, err := freeport.Choose("127.0.0.9", 3)
		Expect(err).NotTo(HaveOccurred())
		for _, port := range ports {
			Expect(seen[port]).To(BeFalse(), "port %d", port)
			seen[port] = true
		}
	}
})
