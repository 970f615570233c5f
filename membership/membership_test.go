package membership

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/lease"

	_ "github.com/boragegate/boragegate/internal/seedtest" // the same cases in every run
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

func tracker(self string, ids ...string) *Tracker {
	t := New(Config{
		Self: self, ContactWindow: 450 * time.Millisecond, SilenceAfter: 500 * time.Millisecond,
		SuspendFor: 2 * time.Second, ReportValid: time.Second, PauseThreshold: 100 * time.Millisecond,
		NoContactTolerance: 250 * time.Millisecond, GracePeriod: 6 * time.Second,
	})
	t.SetMembers(0, ids)
	return t
}

// advanceThrough calls Advance as a runner does.
func (t *Tracker) advanceThrough(from, to lease.Instant) {
	for now := from; now <= to; now += 20 * time.Millisecond {
		t.Advance(now)
	}
}

const ms = time.Millisecond

var _ = Describe("a tracker", func() {
	It("counts a heartbeat from its sending, not from its acknowledgement", func() {
		t := tracker("a", "a", "b", "c")
		t.RecordAck(400*ms, "b", 100*ms, 1, nil)
		Expect(t.InContact(549 * ms)).To(BeTrue())
		Expect(t.InContact(550 * ms)).To(BeFalse())
	})
	It("is never out of contact as the only member", func() {
		Expect(tracker("a", "a").InContact(time.Hour)).To(BeTrue())
	})
	It("ignores an acknowledgement of a stamp from its future", func() {
		t := tracker("a", "a", "b", "c")
		t.RecordAck(100*ms, "b", 200*ms, 1, nil)
		Expect(t.InContact(150 * ms)).To(BeFalse())
	})
	It("does not use reports that are older than their validity", func() {
		t := tracker("a", "a", "b", "c")
		t.advanceThrough(0, 600*ms)
		t.RecordAck(600*ms, "b", 590*ms, 1, []SilenceReport{{"c", 510 * ms}})
		lost, by := t.ReportedSilentByMajority(600*ms, "c")
		Expect(lost).To(BeTrue())
		Expect(by).To(Equal(540 * ms))
		lost, _ = t.ReportedSilentByMajority(1591*ms, "c")
		Expect(lost).To(BeFalse())
	})
	It("does not take its own pause for the silence of others", func() {
		t := tracker("a", "a", "b", "c")
		t.advanceThrough(0, 200*ms)
		Expect(t.Advance(5 * time.Second)).To(BeFalse())
		Expect(t.SilenceReports(5 * time.Second)).To(BeEmpty())
	})
	It("reports a member that is heard but says that it is out of contact, and lets it return", func() {
		t := tracker("a", "a", "b", "c")
		reported, returned := false, false
		for now := lease.Instant(0); now < 10*time.Second; now += 250 * ms {
			ack := t.RecordHeartbeat(now, "b", false)
			t.advanceThrough(now, now+240*ms)
			for _, s := range t.SilenceReports(now + 240*ms) {
				reported = reported || s.ID == "b"
			}
			returned = returned || reported && ack
		}
		Expect(reported).To(BeTrue())
		Expect(returned).To(BeTrue())
	})
	It("offers no member that restarted, is silent or says that it is out of contact", func() {
		t := tracker("a", "a", "b", "c")
		t.RecordHeartbeat(10*ms, "b", true)
		Expect(t.Ready(20*ms, "b")).To(BeTrue())
		t.RecordHeartbeat(260*ms, "b", false)
		Expect(t.Ready(270*ms, "b")).To(BeFalse())
		Expect(t.Ready(600*ms, "c")).To(BeFalse())
	})
})

// TestSilentIsOutOfContact guards against windows that do not fit together: a
// member that another one finds silent to a majority must not be in contact at
// that moment nor for the rest of the reports' validity, whatever is lost,
// delayed or paused.
func TestSilentIsOutOfContact(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e"}
	rapid.Check(t, func(t *rapid.T) {
		trackers := map[string]*Tracker{}
		for _, id := range ids {
			trackers[id] = tracker(id, ids...)
		}
		type event struct {
			at time.Duration
			do func()
		}
		var queue []event
		now := time.Duration(0)
		delay := func() time.Duration { return time.Duration(rapid.IntRange(0, 400).Draw(t, "delay")) * ms }
		paused := map[string]time.Duration{}
		for now < 4*time.Second {
			now += 50 * ms
			if rapid.IntRange(0, 19).Draw(t, "pause") == 0 {
				paused[rapid.SampledFrom(ids).Draw(t, "who")] = now + 3*delay()
			}
			late := queue[:0]
			for _, e := range queue {
				if e.at <= now {
					e.do()
				} else {
					late = append(late, e)
				}
			}
			queue = late
			for _, id := range ids {
				tr := trackers[id]
				if now < paused[id] {
					continue
				}
				tr.Advance(now)
				if now%(250*ms) != 0 {
					continue
				}
				sent, contact := now, tr.InContact(now)
				for _, to := range ids {
					if to == id || rapid.IntRange(0, 2).Draw(t, "lost") == 0 {
						continue
					}
					there, back := delay(), delay()
					queue = append(queue, event{now + there, func() {
						if now >= paused[to] && trackers[to].RecordHeartbeat(now, id, contact) {
							silent := trackers[to].SilenceReports(now)
							queue = append(queue, event{now + back, func() { tr.RecordAck(now, to, sent, 1, silent) }})
						}
					}})
				}
			}
			for _, judge := range ids {
				for _, id := range ids {
					if lost, by := trackers[judge].ReportedSilentByMajority(now, id); now >= paused[judge] && lost {
						if trackers[id].InContact(now) || by > now {
							t.Fatalf("%v: %s finds %s silent (out of contact by %v), which is in contact until %v",
								now, judge, id, by, trackers[id].ContactUntil())
						}
					}
				}
			}
		}
	})
}
