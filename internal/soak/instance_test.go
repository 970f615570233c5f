package soak

import (
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.It("does not take a requested stop for an exit when the next process starts at once", func() {
	// Guards against violations of "runs until it is told to end", and a second process, because the restart cleared the
	// mark of the stop before the exit of the former process was handled.
	binary := filepath.Join(ginkgo.GinkgoT().TempDir(), "process")
	Expect(os.WriteFile(binary, []byte("#!/bin/sh\nexec sleep 10\n"), 0o700)).To(Succeed()) //nolint:gosec // has to be executable
	var unexpected atomic.Int64
	var all sync.WaitGroup
	for range 16 { // more than the processors, so that goroutines are interrupted at any point
		all.Go(func() {
			defer ginkgo.GinkgoRecover()
			i := &instance{onExit: func(error) { unexpected.Add(1) }}
			for range 100 {
				Expect(i.start(binary)).To(Succeed())
				i.signal(syscall.SIGKILL)
				Expect(i.wait()).To(BeTrue())
			}
		})
	}
	all.Wait()
	Consistently(unexpected.Load, "100ms").Should(BeZero())
})
