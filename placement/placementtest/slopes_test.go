package placementtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/boragegate/boragegate/ownership"
	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/table"
)

// partitionsPerTarget is the number of partitions of a target at the target size, 65,536
// partitions on 676 targets.
const partitionsPerTarget = 97

// linearSeries is a series of measurements over a size, to which a straight line is fitted.
type linearSeries struct {
	name, unit, per string
	x, y            []float64
}

func (s *linearSeries) add(x int, y float64) { s.x, s.y = append(s.x, float64(x)), append(s.y, y) }

// fit returns the base and the slope of the least-squares line, and the fraction of the
// variance that it explains.
func (s *linearSeries) fit() (base, slope, r2 float64) {
	n, sx, sy, sxx, sxy, syy := float64(len(s.x)), 0.0, 0.0, 0.0, 0.0, 0.0
	for i, x := range s.x {
		y := s.y[i]
		sx, sy, sxx, sxy, syy = sx+x, sy+y, sxx+x*x, sxy+x*y, syy+y*y
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	r2 = (n*sxy - sx*sy) * (n*sxy - sx*sy) / ((n*sxx - sx*sx) * (n*syy - sy*sy))
	return (sy - slope*sx) / n, slope, r2
}

func (s *linearSeries) String() string {
	line := fmt.Sprintf("%-37s", s.name)
	for i := range s.x {
		line += fmt.Sprintf(" %g:%.4g", s.x[i], s.y[i])
	}
	base, slope, r2 := s.fit()
	return fmt.Sprintf("%s\n%36s= %.4g %s + %.4g per %s (r2 %.4f)", line, "", base, s.unit, slope, s.per, r2)
}

// shortestMicros returns the shortest duration of seven calls in microseconds, which noise
// of the machine affects least.
func shortestMicros(f func()) float64 {
	shortest := time.Hour
	for range 7 {
		start := time.Now()
		f()
		shortest = min(shortest, time.Since(start))
	}
	return float64(shortest.Nanoseconds()) / 1e3
}

// retainedBytes returns the heap memory in bytes that the value returned by f retains.
func retainedBytes(f func() any) float64 {
	var before, after runtime.MemStats
	// Two collections also empty the pools of the codecs.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := f()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// assignment returns an assignment in which a planner has assigned all partitions.
func assignment(partitions int) *placement.Assignment {
	changes := make([]placement.Change, partitions)
	for p := range changes {
		changes[p] = placement.Change{Partition: p, Target: fmt.Sprintf("target-%04d", p/partitionsPerTarget)}
	}
	return placement.NewAssignment("design", partitions).WithChanges(7<<32|123, changes)
}

// encodeFrame returns the msgpack encoding of a value as in the frames between instances.
func encodeFrame(v any) []byte {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseCompactInts(true)
	Expect(e.Encode(v)).To(Succeed())
	return b.Bytes()
}

// encodedSizes returns the sizes in bytes of the msgpack and the JSON encoding of a value.
func encodedSizes(v any) (frame, text float64) {
	t, err := json.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	return float64(len(encodeFrame(v))), float64(len(t))
}

// TestSlopes prints the measurements and fits from which docs/CAPACITY.md is derived. It
// guards against encoded sizes and memory that do not grow linearly.
func TestSlopes(t *testing.T) {
	RegisterTestingT(t)
	series := map[string]*linearSeries{}
	var order []string
	add := func(name, unit, per string, x int, y float64) {
		if series[name] == nil {
			series[name] = &linearSeries{name: name, unit: unit, per: per}
			order = append(order, name)
		}
		series[name].add(x, y)
	}
	for _, n := range []int{256, 1024, 4096, 16384, 65536} {
		a := assignment(n)
		frame, text := encodedSizes(a)
		add("assignment msgpack", "B", "partition", n, frame)
		add("assignment JSON", "B", "partition", n, text)
		scattered := placement.NewAssignment("design", n)
		scattered.Version, scattered.Targets = a.Version, a.Targets
		for p := range n {
			scattered.Owner[p], scattered.Epoch[p] = uint16(p*7919%len(a.Targets)), a.Version-uint64(p*7919%n)*70 //nolint:gosec // small
		}
		frame, text = encodedSizes(scattered)
		add("scattered assignment msgpack", "B", "partition", n, frame)
		add("scattered assignment JSON", "B", "partition", n, text)
		for kind, x := range map[string]*placement.Assignment{"assignment": a, "scattered assignment": scattered} {
			b, t := encodeFrame(x), func() []byte { t, _ := json.Marshal(x); return t }()
			add(kind+" msgpack decode", "us", "partition", n, shortestMicros(func() { Expect(msgpack.Unmarshal(b, &placement.Assignment{})).To(Succeed()) }))
			add(kind+" JSON decode", "us", "partition", n, shortestMicros(func() { Expect(json.Unmarshal(t, &placement.Assignment{})).To(Succeed()) }))
			add(kind+" msgpack encode", "us", "partition", n, shortestMicros(func() { encodeFrame(x) }))
			add(kind+" JSON encode", "us", "partition", n, shortestMicros(func() { _, _ = json.Marshal(x) }))
		}
		add("snapshot memory", "B", "partition", n, retainedBytes(func() any { return a.WithChanges(a.Version+1, nil) }))
		add("next version", "us", "partition", n, shortestMicros(func() { a.WithChanges(a.Version+1, nil) }))
		cell := placement.NewAssignment("design", n).WithChanges(a.Version, nil)
		for p := range n / 22 {
			cell.Owner[p*22], cell.Epoch[p*22], cell.Targets = uint16(p%31), a.Version, a.Targets[:min(31, len(a.Targets))] //nolint:gosec // below 31
		}
		frame, text = encodedSizes(cell)
		add("assignment of 1 of 22 cells, msgpack", "B", "partition", n, frame)
		add("assignment of 1 of 22 cells, JSON", "B", "partition", n, text)
		d := placement.Delta{Service: "design", From: a.Version, To: a.Version + 1}
		// The changes are for as many targets as the service has.
		for p := range n / 7 {
			d.Changes = append(d.Changes, placement.Change{Partition: p * 7, Target: fmt.Sprintf("target-%04d", p%len(a.Targets))})
		}
		frame, text = encodedSizes(d)
		add("delta msgpack", "B", "change", n/7, frame)
		add("delta JSON", "B", "change", n/7, text)
		b := encodeFrame(d)
		add("delta msgpack encode", "us", "change", n/7, shortestMicros(func() { encodeFrame(d) }))
		add("delta msgpack decode", "us", "change", n/7, shortestMicros(func() { Expect(msgpack.Unmarshal(b, &placement.Delta{})).To(Succeed()) }))
		add("policy memory", "B", "partition", n, retainedBytes(func() any {
			w := placement.NewWeighted(placement.Settings{})
			w.Plan(placement.Input{Assignment: a, Targets: Targets(max(1, n/partitionsPerTarget), 7, 64, 1)})
			return w
		}))
	}
	for _, n := range []int{15, 31, 169, 338, 676} {
		records := table.Table{Services: make([]table.Service, 3)}
		for i := range n {
			records.Rows = append(records.Rows, table.Row{
				Service: "design", Target: fmt.Sprintf("target-%04d", i), Address: "10.100.200.200:8080", Zone: "zone-1", Weight: 2, Slots: 6, Connections: 100, Queue: 50,
			})
		}
		_, text := encodedSizes(records)
		add("table JSON", "B", "row", n, text)
		report := ownership.LoadUpdate{Reports: make([]ownership.LoadReport, 1)}
		for p := range n {
			report.Reports[0].Partitions = append(report.Reports[0].Partitions, ownership.PartitionLoad{Partition: 30000 + p, Load: 0.123456 * float64(p)})
		}
		frame, _ := encodedSizes(report)
		add("load report msgpack", "B", "partition", n, frame)
	}
	for _, n := range []int{8, 16, 31, 40} {
		c := ownership.Cell{Name: "cell-01", Planner: "instance-0001", Members: make([]ownership.Member, 8), Controllers: make([]ownership.Controller, n)}
		for i := range c.Controllers {
			c.Controllers[i] = ownership.Controller{Target: fmt.Sprintf("design/target-%04d", i), Instance: "instance-0001", Term: 1234}
		}
		_, text := encodedSizes(c)
		add("cell record JSON", "B", "target", n, text)
	}
	for _, n := range []int{256, 1024, 4096, 16384} {
		add("hot keys memory", "B", "counted key", n, retainedBytes(func() any { return placement.NewHotKeys(n) }))
		h := placement.NewHotKeys(n)
		for i := range n {
			key := fmt.Sprintf("customer-%08d", i)
			h.Observe(key, xxhash.Sum64String(key), i, 1)
		}
		frame, _ := encodedSizes(h.Top(n))
		add("hot keys msgpack, 17-byte names", "B", "key", n, frame)
	}
	for _, m := range []any{
		ownership.ServerRequest{Service: "design", Target: "target-0123", Term: 1234, BootID: "b81f2c3d4e5f6a7b", AnsweredStamp: 5120e9, LeaseMS: 500, WaitMS: 200, SetVersion: 12},
		ownership.ServerReply{BootID: "b81f2c3d4e5f6a7b", Stamp: 5320e9, Term: 1234, SetVersion: 12, MaxEpoch: 7<<32 | 123, InFlight: 20, State: "ok"},
		ownership.Heartbeat{Stamp: 5120e9, CellVersion: 7<<32 | 123},
		ownership.HeartbeatAck{Stamp: 5120e9, CellVersion: 7<<32 | 123},
	} {
		frame, text := encodedSizes(m)
		fmt.Printf("%-37s msgpack %.0f B, JSON %.0f B\n", fmt.Sprintf("%T", m), frame, text)
	}
	for _, name := range order {
		fmt.Println(series[name])
		if _, _, r2 := series[name].fit(); series[name].unit == "B" {
			Expect(r2).To(BeNumerically(">", 0.99), name)
		}
	}
}
