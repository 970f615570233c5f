package idempotency

import (
	"encoding/binary"
	"errors"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/boragegate/boragegate/internal/seedtest" // for the same random cases in every run
)

func TestIdempotency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "idempotency")
}

// keyAt returns the n-th key that was issued at t.
func keyAt(t time.Time, n byte) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(t.UnixMilli())<<16)
	id[6], id[8], id[15] = 0x70, 0x80, n
	return id.String()
}

var (
	firstTenure  = Tenure{Term: 1, Epoch: 1}
	secondTenure = Tenure{Term: 1, Epoch: 2}
)

var _ = Describe("Log", func() {
	var (
		clock *clockwork.FakeClock
		log   *Log
	)
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		log = NewLog(Config{MaxRecords: 3, MaxTotalResponseBytes: 10}, clock)
		log.StartTenure(0, firstTenure, clock.Now())
		clock.Advance(time.Minute)
	})
	beginAndRun := func(t Tenure, key string, print uint64) *Attempt {
		GinkgoHelper()
		attempt, _, err := log.Begin(0, t, key, print)
		Expect(err).NotTo(HaveOccurred())
		Expect(attempt.MarkRunning()).To(BeTrue())
		return attempt
	}

	DescribeTable("accepts or rejects a new key by its time of issue",
		// Guards against running a request that may have been run in an earlier tenure.
		func(issued time.Duration, want error) {
			_, _, err := log.Begin(0, firstTenure, keyAt(clock.Now().Add(issued), 1), 0)
			if want == nil {
				Expect(err).NotTo(HaveOccurred())
			} else {
				Expect(err).To(MatchError(want))
			}
		},
		Entry("now", time.Duration(0), nil),
		Entry("in the future within the skew", 2*time.Second, nil),
		Entry("in the future beyond the skew", 2100*time.Millisecond, ErrIssuedInFuture),
		Entry("after the start plus the skew", -57*time.Second, nil),
		Entry("after the start within the skew", -59*time.Second, ErrTooOld),
		Entry("before the start", -61*time.Second, ErrTooOld),
	)

	It("answers a retry according to the state of the first request", func() {
		// Guards against a second run and against the response to another request.
		key := keyAt(clock.Now(), 1)
		attempt := beginAndRun(firstTenure, key, 7)
		retry := func(print uint64) (*Response, error) {
			_, resp, err := log.Begin(0, firstTenure, key, print)
			return resp, err
		}
		_, err := retry(7)
		Expect(err).To(MatchError(ErrInProgress))
		_, err = retry(8)
		Expect(err).To(MatchError(ErrConflict))
		attempt.MarkCompleted(&Response{Status: 201, Body: []byte("x")})
		Expect(retry(7)).To(HaveField("Status", 201))
		_, err = retry(8)
		Expect(err).To(MatchError(ErrConflict))
		_, _, err = log.Begin(0, firstTenure, "not-a-key", 0)
		Expect(err).To(MatchError(ErrMalformed))
	})

	It("rejects keys whose records were evicted", func() {
		// Guards against a second run after the log was full.
		keys := []string{}
		for n := range 4 {
			clock.Advance(time.Second)
			keys = append(keys, keyAt(clock.Now(), byte(n)))
			beginAndRun(firstTenure, keys[n], 0).MarkCompleted(&Response{Body: []byte("12345")})
		}
		Expect(log.Len()).To(Equal(3))
		for n, want := range []error{ErrTooOld, ErrAlreadyRun, nil, nil} {
			_, _, err := log.Begin(0, firstTenure, keys[n], 0)
			Expect(errors.Is(err, want)).To(BeTrue(), "key %d: %v", n, err)
		}
	})

	It("rejects new requests rather than evict records of requests in progress", func() {
		// Guards against the loss of the outcome of a request whose record is evicted while it
		// runs.
		for n := range 3 {
			beginAndRun(firstTenure, keyAt(clock.Now(), byte(n)), 0)
		}
		_, _, err := log.Begin(0, firstTenure, keyAt(clock.Now(), 9), 0)
		Expect(err).To(MatchError(ErrTooManyRecords))
	})

	It("rejects keys older than the retention and drops their records", func() {
		// Guards against a second run after the record was dropped, and against records that are
		// kept for ever.
		key := keyAt(clock.Now(), 1)
		beginAndRun(firstTenure, key, 0).MarkCompleted(nil)
		clock.Advance(DefaultRetention)
		_, _, err := log.Begin(0, firstTenure, key, 0)
		Expect(err).To(MatchError(ErrTooOld))
		Expect(log.Len()).To(BeZero())
	})

	It("exports requests that were run and drops requests that were not sent", func() {
		// Guards against a second run after a planned handover.
		completedKey, unknownKey, pendingKey := keyAt(clock.Now(), 1), keyAt(clock.Now(), 2), keyAt(clock.Now(), 3)
		beginAndRun(firstTenure, completedKey, 7).MarkCompleted(&Response{Status: 201})
		beginAndRun(firstTenure, unknownKey, 7).MarkOutcomeUnknown()
		attempt, _, err := log.Begin(0, firstTenure, pendingKey, 7)
		Expect(err).NotTo(HaveOccurred())

		export, ok := log.Export(0, firstTenure)
		Expect(ok).To(BeTrue())
		Expect(attempt.MarkRunning()).To(BeFalse(), "a pending request must not be run after the export")
		_, ok = log.Export(0, firstTenure)
		Expect(ok).To(BeFalse(), "records are exported only once")

		log.Import(0, secondTenure, export)
		_, resp, err := log.Begin(0, secondTenure, completedKey, 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Status).To(Equal(201))
		_, _, err = log.Begin(0, secondTenure, unknownKey, 7)
		Expect(err).To(MatchError(ErrOutcomeUnknown))
		beginAndRun(secondTenure, pendingKey, 7)
	})
})

// TestAtMostOnce guards against a request that is run twice with the same key, in
// random sequences of handovers, instance failures, clock skew and evictions.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		log := NewLog(Config{MaxRecords: 4, Retention: time.Minute}, clock)
		tenure, runCounts := firstTenure, map[string]int{}
		log.StartTenure(0, tenure, clock.Now())
		var keys []string
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0: // the instance fails, its records are lost, and another one starts a tenure
				tenure.Epoch++
				log = NewLog(Config{MaxRecords: 4, Retention: time.Minute}, clock)
				log.StartTenure(0, tenure, clock.Now())
			case 1: // planned handover
				export, ok := log.Export(0, tenure)
				tenure.Epoch++
				if ok {
					log.Import(0, tenure, export)
				}
			case 2, 3, 4: // new key, from a clock that differs by at most the skew
				skew := time.Duration(rapid.IntRange(-1900, 1900).Draw(t, "skew")) * time.Millisecond
				keys = append(keys, keyAt(clock.Now().Add(skew), byte(len(keys))))
				fallthrough
			default:
				if len(keys) == 0 {
					continue
				}
				key := keys[rapid.IntRange(0, len(keys)-1).Draw(t, "key")]
				attempt, _, err := log.Begin(0, tenure, key, 0)
				if err != nil || attempt == nil || !attempt.MarkRunning() {
					continue
				}
				if runCounts[key]++; runCounts[key] > 1 {
					t.Fatalf("key %s ran twice", key)
				}
				if rapid.Bool().Draw(t, "known") {
					attempt.MarkCompleted(nil)
				} else {
					attempt.MarkOutcomeUnknown()
				}
			}
		}
	})
}
