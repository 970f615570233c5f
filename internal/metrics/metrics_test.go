package metrics_test

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"

	"github.com/boragegate/boragegate/internal/metrics"
)

// TestWrite guards against wrong types, units, label escapes and order, which a
// monitoring system would refuse or misread.
func TestWrite(t *testing.T) {
	RegisterTestingT(t)
	r := gometrics.NewRegistry()
	gometrics.GetOrRegisterCounter(metrics.Name(metrics.RequestsTotal, "service", "b", "outcome", "run"), r).Inc(3)
	gometrics.GetOrRegisterCounter(metrics.Name(metrics.RequestsTotal, "service", `a"\`, "outcome", "run"), r).Inc(2)
	gometrics.GetOrRegisterTimer(metrics.Name(metrics.RequestSeconds, "service", "b"), r).Update(250 * time.Millisecond)
	gometrics.GetOrRegisterGauge("1 odd.name", r).Update(7)
	h := gometrics.NewHistogram(gometrics.NewUniformSample(10))
	Expect(r.Register("sizes", h)).To(Succeed())
	h.Update(12)
	Expect(r.Register("check", gometrics.NewHealthcheck(func(gometrics.Healthcheck) {}))).To(Succeed())
	var b bytes.Buffer
	Expect(metrics.Write(&b, r)).To(Succeed())
	goldie.New(t).Assert(t, "metrics", b.Bytes())
}
