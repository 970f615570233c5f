package demo

import (
	"bytes"
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

func TestDemo(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "demo")
}

var _ = Describe("a bounded demo", func() {
	// Guards against a demo that fails or leaves out a step, and against promises broken by
	// a table change, a drain or the failure of a server.
	It("completes all steps without a broken promise", func() {
		if testing.Short() {
			Skip("the race detector slows the servers down")
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		var out bytes.Buffer
		err := Run(ctx, Options{Duration: 5 * time.Second, Out: &out, Logger: zerolog.Nop()})
		Expect(err).NotTo(HaveOccurred(), out.String())
		for _, step := range []string{"steady load", "weight of route/r1 doubled", "route/r2 drained", "route/r3 stopped"} {
			Expect(out.String()).To(ContainSubstring(step))
		}
		Expect(out.String()).To(ContainSubstring("effects at the servers"))
	})
})
