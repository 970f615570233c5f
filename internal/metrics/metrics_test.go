package metrics_test

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"

	"github.com/boragegate/boragegate/internal/metrics"
)

// TestWrite guards against wrong types, units, label escapes and order, which a
// monitoring system would reject or misread.
func TestWrite(t *testing.T) {
	RegisterTestingT(t)
	r := gometrics.NewRegistry()
	gometrics.GetOrRegisterCounter("gateway.requests.answered.route", r).Inc(3)
	gometrics.GetOrRegisterCounter(`gateway.requests.answered.a"\`, r).Inc(2)
	gometrics.GetOrRegisterCounter("gateway.requests.not-run.queue-full", r).Inc(1)
	gometrics.GetOrRegisterGauge("gateway.queued.route/r1.north", r).Update(4)
	gometrics.GetOrRegisterHistogram("gateway.latency_us.route", r, gometrics.NewUniformSample(10)).Update(250_000)
	gometrics.GetOrRegisterCounter("peer.bytes_sent", r).Inc(70)
	gometrics.GetOrRegisterTimer(metrics.Name("calls_seconds", "call", "get"), r).Update(250 * time.Millisecond)
	gometrics.GetOrRegisterGauge("1 odd.name", r).Update(7)
	h := gometrics.NewHistogram(gometrics.NewUniformSample(10))
	Expect(r.Register("sizes", h)).To(Succeed())
	h.Update(12)
	Expect(r.Register("check", gometrics.NewHealthcheck(func(gometrics.Healthcheck) {}))).To(Succeed())
	var b bytes.Buffer
	Expect(metrics.Write(&b, r)).To(Succeed())
	goldie.New(t).Assert(t, "metrics", b.Bytes())
}

// TestReference guards against metrics that are missing from the reference page or
// described differently there.
func TestReference(t *testing.T) {
	page, err := os.ReadFile("../../docs/reference/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	for name, help := range metrics.Help {
		if !strings.Contains(string(page), "`"+name+"`") || !strings.Contains(string(page), help) {
			t.Errorf("docs/reference/metrics.md lacks %s: %s", name, help)
		}
	}
}
