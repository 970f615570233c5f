package soak_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/internal/soak"
)

func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("real processes in real time; they are not built with the race detector")
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

var _ = Describe("Run", Ordered, func() {
	var binary, directory string
	BeforeAll(func() {
		directory = GinkgoT().TempDir()
		binary = filepath.Join(directory, "boragegate-edge")
		out, err := exec.Command("go", "build", "-o", binary, "github.com/boragegate/boragegate/cmd/boragegate-edge").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
	})
	runSoak := func(o soak.Options) {
		o.Binary, o.Directory, o.Log = binary, filepath.Join(directory, strconv.FormatUint(o.Seed, 10)), GinkgoWriter
		report, err := soak.Run(context.Background(), o)
		Expect(err).NotTo(HaveOccurred())
		if len(report.Violations) > 0 {
			for _, name := range []string{"i0", "i1", "i2", "i3"} {
				log, err := os.ReadFile(filepath.Join(o.Directory, name+".log"))
				Expect(err).NotTo(HaveOccurred())
				GinkgoWriter.Println(string(log))
			}
		}
		Expect(report.Violations).To(BeEmpty(), report.String())
	}

	It("keeps all promises while random faults are injected", func() {
		runSoak(soak.Options{Seed: 1, Duration: 8 * time.Second, RateLimits: true})
	})

	// softFaults are the faults that leave the processes of instances and targets alone.
	softFaults := []string{
		"store down", "answers of the store lost", "connections to the store reset", "store slow for an instance", "instance cut off from the store", "configuration changed", "settings changed",
		"target slow", "connections to a target reset",
	}

	It("keeps the rate limits of targets while the store and its connections fail", func() {
		// Guards against a limit that instances forget, or each keep alone, when the leader changes or cannot reach the
		// store. Without faults of the instances themselves, no span is excused.
		runSoak(soak.Options{Seed: 2, Duration: 16 * time.Second, RateLimits: true, Faults: []string{
			"store down", "answers of the store lost", "connections to the store reset", "store slow for an instance", "instance cut off from the store", "configuration changed", "settings changed",
		}})
	})

	It("keeps all promises with seeds that found faults before", func() {
		// The seeds run concurrently, because each run takes its duration in real time.
		var wg sync.WaitGroup
		for n, o := range []soak.Options{
			// A lease request for a target that had left was executed by its successor at the
			// same address: the stand-in did not check the addressee.
			{Seed: 104, Duration: 20 * time.Second},
			// SIGHUP ended a process that had just started and had no signal handler yet.
			{Seed: 105, Duration: 10 * time.Second},
			// The proxy delivered grants after their sender had reset the connection.
			{Seed: 307, Duration: 9 * time.Second},
			// An instance took a limit for in force that the leader took for ended, and sent nothing to the target any more.
			{Seed: 1006, Duration: 15 * time.Second, RateLimits: true},
			{Seed: 1021, Duration: 15 * time.Second, RateLimits: true},
			{Seed: 1114, Duration: 16 * time.Second, RateLimits: true, Faults: softFaults},
			{Seed: 1116, Duration: 16 * time.Second, RateLimits: true, Faults: softFaults},
			// A planned stop waited for the answer of another instance to a leader query, beyond its grace period.
			{Seed: 940207, Duration: 12 * time.Second, RateLimits: true},
		} {
			o.Subnet = 20 + n
			wg.Go(func() {
				defer GinkgoRecover()
				runSoak(o)
			})
		}
		wg.Wait()
	})
})
