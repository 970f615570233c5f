// Package metrics renders go-metrics registries in the text exposition format of
// Prometheus.
//
// A metric's name in the registry may include labels, see Name. Dotted names that
// the components of the daemon register are converted to names with labels by a list
// of mappings. Counters and meters are rendered as counters, gauges as gauges, and
// histograms and timers as summaries. Values of timers are in seconds.
package metrics

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// ContentType is the HTTP content type of the text exposition format.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// quantiles lists the quantiles that each summary reports, as fractions.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Name returns a metric name with labels, which are given as pairs of name and
// value, for example Name("boragegate_requests_total", "service", "route").
func Name(base string, labels ...string) string {
	if len(labels) < 2 {
		return base
	}
	var b strings.Builder
	b.WriteString(base)
	for i := 0; i+1 < len(labels); i += 2 {
		b.WriteByte("{,"[min(i, 1)])
		b.WriteString(labels[i] + `="` + labelEscaper.Replace(labels[i+1]) + `"`)
	}
	b.WriteByte('}')
	return b.String()
}

// labelEscaper escapes label values as the text exposition format requires.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// sample is one metric of a family, with its labels in the form of the exposition
// format.
type sample struct {
	labels string
	// scale converts the values of a histogram to the unit of the family.
	scale  float64
	metric any
}

// Write renders all metrics of the registries, sorted by family and labels. It skips
// metrics of types that cannot be rendered, such as health checks.
func Write(w io.Writer, registries ...gometrics.Registry) error {
	families := map[string][]sample{}
	for _, r := range registries {
		r.Each(func(name string, m any) {
			v := resolve(name, m)
			families[v.family] = append(families[v.family], sample{v.labels, v.scale, m})
		})
	}
	names := make([]string, 0, len(families))
	for n := range families {
		names = append(names, n)
	}
	sort.Strings(names)
	b := bufio.NewWriter(w)
	for _, n := range names {
		writeFamily(b, n, families[n])
	}
	if err := b.Flush(); err != nil {
		return fmt.Errorf("metrics: write: %w", err)
	}
	return nil
}

func writeFamily(b *bufio.Writer, name string, samples []sample) {
	sort.Slice(samples, func(i, j int) bool { return samples[i].labels < samples[j].labels })
	typ := typeName(samples[0].metric)
	if typ == "" {
		return
	}
	if help, ok := Help[name]; ok {
		_, _ = fmt.Fprintf(b, "# HELP %s %s\n", name, help)
	}
	_, _ = fmt.Fprintf(b, "# TYPE %s %s\n", name, typ)
	for _, s := range samples {
		writeSample(b, name, s)
	}
}

// typeName returns the type of a metric in the exposition format, or "" if the metric
// cannot be rendered.
func typeName(m any) string {
	switch m.(type) {
	case gometrics.Counter, gometrics.Meter:
		return "counter"
	case gometrics.Gauge, gometrics.GaugeFloat64:
		return "gauge"
	case gometrics.Histogram, gometrics.Timer:
		return "summary"
	default:
		return ""
	}
}

func writeSample(b *bufio.Writer, name string, s sample) {
	switch m := s.metric.(type) {
	case gometrics.Counter:
		writeLine(b, name, s.labels, "", float64(m.Count()))
	case gometrics.Gauge:
		writeLine(b, name, s.labels, "", float64(m.Value()))
	case gometrics.GaugeFloat64:
		writeLine(b, name, s.labels, "", m.Value())
	case gometrics.Histogram:
		h := m.Snapshot()
		writeSummary(b, name, s.labels, h.Percentiles(quantiles), h.Count(), float64(h.Sum()), s.scale)
	case gometrics.Timer:
		t := m.Snapshot()
		writeSummary(b, name, s.labels, t.Percentiles(quantiles), t.Count(), float64(t.Sum()), 1/float64(time.Second))
	case gometrics.Meter:
		writeLine(b, name, s.labels, "", float64(m.Snapshot().Count()))
	}
}

func writeSummary(b *bufio.Writer, name, labels string, values []float64, count int64, sum, scale float64) {
	for i, q := range quantiles {
		writeLine(b, name, labels, `quantile="`+strconv.FormatFloat(q, 'g', -1, 64)+`"`, values[i]*scale)
	}
	writeLine(b, name+"_sum", labels, "", sum*scale)
	writeLine(b, name+"_count", labels, "", float64(count))
}

// writeLine writes one line of the exposition format. extra is a further label, or "".
func writeLine(b *bufio.Writer, name, labels, extra string, v float64) {
	b.WriteString(name) //nolint:errcheck,gosec // Flush returns the error
	if all := strings.Trim(labels+","+extra, ","); all != "" {
		b.WriteString("{" + all + "}") //nolint:errcheck,gosec // as above
	}
	b.WriteString(" " + strconv.FormatFloat(v, 'g', -1, 64) + "\n") //nolint:errcheck,gosec // as above
}
