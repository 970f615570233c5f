package membership

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/lease"

	_ "github.com/boragegate/boragegate/internal/seedtest" // for the same random cases in every run
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

func newTracker(self string, ids ...string) *Tracker {
	t := New(Config{
		Self: self, ContactWindow: 450 * time.Millisecond, SilenceAfter: 500 * time.Millisecond,
		SuspendFor: 2 * time.Second, ReportValid: time.Second, PauseThreshold: 100 * time.Millisecond,
		NoContactTolerance: 250 * time.Millisecond, GracePeriod: 6 * time.Second,
	})
	t.SetMembers(0, ids)
	return t
}

// advanceThrough calls Advance every 20 ms, the default of ownership.Config.TickInterval.
func (t *Tracker) advanceThrough(from, to lease.Instant) {
	for now := from; now <= to; now += 20 * time.Millisecond {
		t.Advance(now)
	}
}

const ms = time.Millisecond

var _ = Describe("Tracker", func() {
	It("measures contact from the sending of a heartbeat, not from its acknowledgement", func() {
		// Guards against a late acknowledgement that prolongs contact beyond the time at which
		// other members report this one silent.
		t := newTracker("a", "a", "b", "c")
		t.RecordAck(400*ms, "b", 100*ms, 1, nil)
		Expect(t.InContact(549 * ms)).To(BeTrue())
		Expect(t.InContact(550 * ms)).To(BeFalse())
	})
	It("is always in contact as the only member", func() {
		// Guards against a cell with one member that never acts because nobody acknowledges its
		// heartbeats.
		Expect(newTracker("a", "a").InContact(time.Hour)).To(BeTrue())
	})
	It("ignores an acknowledgement of a heartbeat from the future", func() {
		// Guards against a wrong stamp that prolongs contact.
		t := newTracker("a", "a", "b", "c")
		t.RecordAck(100*ms, "b", 200*ms, 1, nil)
		Expect(t.InContact(150 * ms)).To(BeFalse())
	})
	It("ignores silence reports older than ReportValid", func() {
		// Guards against replacing a member that has regained contact since it was reported
		// silent.
		t := newTracker("a", "a", "b", "c")
		t.advanceThrough(0, 600*ms)
		t.RecordAck(600*ms, "b", 590*ms, 1, []SilenceReport{{"c", 510 * ms}})
		isSilent, contactEnd := t.ReportedSilentByMajority(600*ms, "c")
		Expect(isSilent).To(BeTrue())
		Expect(contactEnd).To(Equal(540 * ms))
		isSilent, _ = t.ReportedSilentByMajority(1591*ms, "c")
		Expect(isSilent).To(BeFalse())
	})
	It("does not count a pause of its own process as silence of other members", func() {
		// Guards against a member that reports all others silent after it was paused.
		t := newTracker("a", "a", "b", "c")
		t.advanceThrough(0, 200*ms)
		Expect(t.Advance(5 * time.Second)).To(BeFalse())
		Expect(t.SilenceReports(5 * time.Second)).To(BeEmpty())
	})
	It("reports a member silent that sends heartbeats without contact, and acknowledges its heartbeats again later", func() {
		// Guards against a member without contact that is not replaced, and against one that can
		// never regain contact.
		t := newTracker("a", "a", "b", "c")
		wasReported, ackedAgain := false, false
		for now := lease.Instant(0); now < 10*time.Second; now += 250 * ms {
			ack := t.RecordHeartbeat(now, "b", false)
			t.advanceThrough(now, now+240*ms)
			for _, s := range t.SilenceReports(now + 240*ms) {
				wasReported = wasReported || s.ID == "b"
			}
			ackedAgain = ackedAgain || wasReported && ack
		}
		Expect(wasReported).To(BeTrue())
		Expect(ackedAgain).To(BeTrue())
	})
	It("does not count a member as ready that is silent or reports to be out of contact", func() {
		// Guards against a controller of targets that is silent or out of contact.
		t := newTracker("a", "a", "b", "c")
		t.RecordHeartbeat(10*ms, "b", true)
		Expect(t.IsReady(20*ms, "b")).To(BeTrue())
		t.RecordHeartbeat(260*ms, "b", false)
		Expect(t.IsReady(270*ms, "b")).To(BeFalse())
		Expect(t.IsReady(600*ms, "c")).To(BeFalse())
	})
})

// TestSilentIsOutOfContact guards against time windows that let a member be in contact,
// still or again, while another one has valid silence reports on it from a majority.
// Messages are lost and delayed, and members are paused, at random.
func TestSilentIsOutOfContact(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e"}
	rapid.Check(t, func(t *rapid.T) {
		trackers := map[string]*Tracker{}
		for _, id := range ids {
			trackers[id] = newTracker(id, ids...)
		}
		type event struct {
			at  time.Duration
			run func()
		}
		var queue []event
		now := time.Duration(0)
		delay := func() time.Duration { return time.Duration(rapid.IntRange(0, 400).Draw(t, "delay")) * ms }
		pausedUntil := map[string]time.Duration{}
		for now < 4*time.Second {
			now += 50 * ms
			if rapid.IntRange(0, 19).Draw(t, "pause") == 0 {
				pausedUntil[rapid.SampledFrom(ids).Draw(t, "who")] = now + 3*delay()
			}
			remaining := queue[:0]
			for _, e := range queue {
				if e.at <= now {
					e.run()
				} else {
					remaining = append(remaining, e)
				}
			}
			queue = remaining
			for _, id := range ids {
				tracker := trackers[id]
				if now < pausedUntil[id] {
					continue
				}
				tracker.Advance(now)
				if now%(250*ms) != 0 {
					continue
				}
				sent, contact := now, tracker.InContact(now)
				for _, to := range ids {
					if to == id || rapid.IntRange(0, 2).Draw(t, "lost") == 0 {
						continue
					}
					heartbeatDelay, ackDelay := delay(), delay()
					queue = append(queue, event{now + heartbeatDelay, func() {
						if now >= pausedUntil[to] && trackers[to].RecordHeartbeat(now, id, contact) {
							reports := trackers[to].SilenceReports(now)
							queue = append(queue, event{now + ackDelay, func() { tracker.RecordAck(now, to, sent, 1, reports) }})
						}
					}})
				}
			}
			for _, observer := range ids {
				for _, id := range ids {
					if isSilent, contactEnd := trackers[observer].ReportedSilentByMajority(now, id); now >= pausedUntil[observer] && isSilent {
						if trackers[id].InContact(now) || contactEnd > now {
							t.Fatalf("at %v, a majority reports to %s that %s is silent and out of contact by %v, but its contact ends at %v; want neither time after now",
								now, observer, id, contactEnd, trackers[id].ContactUntil())
						}
					}
				}
			}
		}
	})
}
