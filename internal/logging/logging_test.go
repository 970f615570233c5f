package logging_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/boragegate/boragegate/internal/logging"
)

func TestLogging(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logging")
}

var start = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

// TestLines guards against events that are not written as one line of key=value
// pairs, that lack time, level or event name, or that disclose a secret.
func TestLines(t *testing.T) {
	var b bytes.Buffer
	l := logging.New(logging.Options{Out: &b, Level: "debug", Clock: clockwork.NewFakeClockAt(start)})
	l.Info().Str("event", "table.in_force").Uint64("table_version", 7).Send()
	l.Debug().Str("event", "a.b").Strs("list", []string{"x", "y z"}).Bool("ok", true).Dur("took", 1500*time.Millisecond).Send()
	l.Warn().Str("event", "a.c").Str("text", "two\nlines and \"quotes\"").Err(errors.New("it failed")).Msg("said in words")
	l.Error().Str("event", "forged event=x").Str("operator_token", "hunter2").Str("Authorization", "Bearer x").Send()
	l.Info().Msg("without a name")
	child := l.With().Str("instance", "i1").Logger()
	child.Info().Str("event", "a.d").Float64("load", 0.25).Str("empty", "").Send()
	goldie.New(t).Assert(t, "lines", b.Bytes())
}

var _ = Describe("Log", func() {
	var b bytes.Buffer
	var clock *clockwork.FakeClock
	var l *logging.Log
	suppressed := 0
	BeforeEach(func() {
		b.Reset()
		suppressed = 0
		clock = clockwork.NewFakeClockAt(start)
		l = logging.New(logging.Options{Out: &b, EventsPerSecond: 3, Clock: clock, OnSuppressed: func(string) { suppressed++ }})
	})
	send := func(event string, n int) {
		for range n {
			l.Info().Str("event", event).Send()
		}
	}

	It("limits each event name separately and reports the suppressed lines, so that a flood of one event hides no other", func() {
		send("flood", 10)
		send("calm", 2)
		Expect(l.Recent.Last(10)).To(HaveLen(5), "a flood does not displace recent events")
		Expect(strings.Count(b.String(), "event=flood")).To(Equal(3))
		Expect(strings.Count(b.String(), "event=calm")).To(Equal(2))
		Expect(suppressed).To(Equal(7))
		clock.Advance(time.Second)
		send("calm", 1)
		Expect(b.String()).To(ContainSubstring("level=warn event=log.left_out lines=7 of=flood\n"))
		send("flood", 5)
		l.Close()
		Expect(b.String()).To(HaveSuffix("event=log.left_out lines=2 of=flood\n"))
	})

	It("does not write lines below the configured level", func() {
		l.Debug().Str("event", "x").Send()
		Expect(b.Len()).To(BeZero())
	})

	It("limits the number of separately counted names, so that names from outside cannot exhaust memory", func() {
		for i := range 3000 {
			send(fmt.Sprint("e", i), 1)
		}
		Expect(strings.Count(b.String(), "\n")).To(Equal(1000 + 3))
	})

	It("keeps the latest events for the operator API, newest first and with secrets redacted", func() {
		l = logging.New(logging.Options{Out: &b, EventsPerSecond: 2000, Clock: clock})
		for i := range 1500 {
			l.Info().Str("event", "e").Int("n", i).Str("token", "hunter2").Send()
		}
		last := l.Recent.Last(2)
		Expect(last).To(HaveLen(2))
		Expect(last[0]).To(Equal(logging.Entry{Time: start, Level: "info", Event: "e", Fields: map[string]string{"n": "1499", "token": "[redacted]"}}))
		Expect(last[1].Fields["n"]).To(Equal("1498"))
		Expect(l.Recent.Last(5000)).To(HaveLen(1000))
	})

	It("is safe for concurrent use", func() {
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() { send(fmt.Sprint("e", i), 20) })
		}
		wg.Wait()
		Expect(strings.Count(b.String(), "\n")).To(Equal(8 * 3))
	})
})
