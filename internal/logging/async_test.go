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

// blockedWriter is a writer whose writes block until the channel unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

var _ = Describe("AsyncWriter", func() {
	It("never blocks on the writer behind it and counts the lines that it drops", func() {
		// Guards against requests that block on the log while its pipe is full.
		out := &blockedWriter{unblock: make(chan struct{})}
		a := logging.NewAsyncWriter(out)
		dropped := 0
		a.OnDrop = func() { dropped++ }
		for range 2000 {
			_, err := io.WriteString(a, "line\n")
			Expect(err).NotTo(HaveOccurred())
		}
		close(out.unblock)
		a.Close()
		Expect(a.Dropped()).To(BeEquivalentTo(dropped))
		Expect(dropped).To(BeNumerically(">", 1000))
		Expect(strings.Count(out.text.String(), "line")).To(Equal(2000 - dropped))
	})
})

var _ = Describe("StartEvent", func() {
	It("returns nil for an event that has reached its limit or whose level is disabled", func() {
		// Guards against the cost of formatting lines that the limit then suppresses.
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
