package logging_test

import (
	"io"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/boragegate/boragegate/internal/logging"
)

// blockedWriter is a writer that blocks until it is opened.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (g *blockedWriter) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

var _ = Describe("Async", func() {
	It("never waits for the writer behind it, and counts what it drops", func() {
		// Guards against requests that wait for a full pipe of the log.
		g := &blockedWriter{open: make(chan struct{})}
		a := logging.NewAsyncWriter(g)
		dropped := 0
		a.OnDrop = func() { dropped++ }
		for range 2000 {
			_, err := io.WriteString(a, "line\n")
			Expect(err).NotTo(HaveOccurred())
		}
		close(g.open)
		a.Close()
		Expect(a.Dropped()).To(BeEquivalentTo(dropped))
		Expect(dropped).To(BeNumerically(">", 1000))
		Expect(strings.Count(g.text.String(), "line")).To(Equal(2000 - dropped))
	})
})

var _ = Describe("Begin", func() {
	It("starts no line of an event whose lines of the second are used up", func() {
		// Guards against the cost of lines that are then left out.
		log := logging.New(logging.Options{Out: io.Discard, EventsPerSecond: 2})
		for range 2 {
			e := log.StartEvent(zerolog.InfoLevel, "a")
			Expect(e).NotTo(BeNil())
			e.Send()
		}
		Expect(log.StartEvent(zerolog.InfoLevel, "a")).To(BeNil())
		Expect(log.StartEvent(zerolog.InfoLevel, "b")).NotTo(BeNil())
		Expect(log.StartEvent(zerolog.DebugLevel, "c")).To(BeNil())
	})
})
