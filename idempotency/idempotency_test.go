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

	_ "github.com/boragegate/boragegate/internal/seedtest" // the same cases in every run
)

func TestIdempotency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "idempotency")
}

// keyAt returns a key that was issued at a time.
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
	run := func(t Tenure, key string, print uint64) *Attempt {
		GinkgoHelper()
		e, _, err := log.Begin(0, t, key, print)
		Expect(err).NotTo(HaveOccurred())
		Expect(e.MarkRunning()).To(BeTrue())
		return e
	}

	DescribeTable("judges a key by its time of issue",
		// Guards against running a request that an earlier tenure may have run.
		func(issued time.Duration, want error) {
			_, _, err := log.Begin(0, firstTenure, keyAt(clock.Now().Add(issued), 1), 0)
			if want == nil {
				Expect(err).NotTo(HaveOccurred())
			} else {
				Expect(err).To(MatchError(want))
			}
		},
		Entry("now", time.Duration(0), nil),
		Entry("ahead within the skew", 2*time.Second, nil),
		Entry("ahead beyond the skew", 2100*time.Millisecond, ErrIssuedInFuture),
		Entry("after the start and the skew", -57*time.Second, nil),
		Entry("after the start within the skew", -59*time.Second, ErrTooOld),
		Entry("before the start", -61*time.Second, ErrTooOld),
	)

	It("answers a repeated request by what became of the first", func() {
		// Guards against a second run and against the answer of another request.
		key := keyAt(clock.Now(), 1)
		e := run(firstTenure, key, 7)
		repeat := func(print uint64) (*Response, error) {
			_, a, err := log.Begin(0, firstTenure, key, print)
			return a, err
		}
		_, err := repeat(7)
		Expect(err).To(MatchError(ErrInProgress))
		_, err = repeat(8)
		Expect(err).To(MatchError(ErrConflict))
		e.MarkCompleted(&Response{Status: 201, Body: []byte("x")})
		Expect(repeat(7)).To(HaveField("Status", 201))
		_, err = repeat(8)
		Expect(err).To(MatchError(ErrConflict))
		_, _, err = log.Begin(0, firstTenure, "not-a-key", 0)
		Expect(err).To(MatchError(ErrMalformed))
	})

	It("refuses the keys that it had to forget", func() {
		// Guards against a second run after the memory was full.
		keys := []string{}
		for n := range 4 {
			clock.Advance(time.Second)
			keys = append(keys, keyAt(clock.Now(), byte(n)))
			run(firstTenure, keys[n], 0).MarkCompleted(&Response{Body: []byte("12345")})
		}
		Expect(log.Len()).To(Equal(3))
		for n, want := range []error{ErrTooOld, ErrAlreadyRun, nil, nil} {
			_, _, err := log.Begin(0, firstTenure, keys[n], 0)
			Expect(errors.Is(err, want)).To(BeTrue(), "key %d: %v", n, err)
		}
	})

	It("refuses new requests rather than forget those in progress", func() {
		for n := range 3 {
			run(firstTenure, keyAt(clock.Now(), byte(n)), 0)
		}
		_, _, err := log.Begin(0, firstTenure, keyAt(clock.Now(), 9), 0)
		Expect(err).To(MatchError(ErrTooManyRecords))
	})

	It("refuses keys beyond the retention and frees their records", func() {
		key := keyAt(clock.Now(), 1)
		run(firstTenure, key, 0).MarkCompleted(nil)
		clock.Advance(DefaultRetention)
		_, _, err := log.Begin(0, firstTenure, key, 0)
		Expect(err).To(MatchError(ErrTooOld))
		Expect(log.Len()).To(BeZero())
	})

	It("hands over what was run and drops what was not sent", func() {
		// Guards against a second run after a planned hand-over.
		done, unknown, pending := keyAt(clock.Now(), 1), keyAt(clock.Now(), 2), keyAt(clock.Now(), 3)
		run(firstTenure, done, 7).MarkCompleted(&Response{Status: 201})
		run(firstTenure, unknown, 7).MarkOutcomeUnknown()
		e, _, err := log.Begin(0, firstTenure, pending, 7)
		Expect(err).NotTo(HaveOccurred())

		x, ok := log.Export(0, firstTenure)
		Expect(ok).To(BeTrue())
		Expect(e.MarkRunning()).To(BeFalse(), "a request that waited must not run after the export")
		_, ok = log.Export(0, firstTenure)
		Expect(ok).To(BeFalse(), "records are handed over once")

		log.Import(0, secondTenure, x)
		_, answer, err := log.Begin(0, secondTenure, done, 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Status).To(Equal(201))
		_, _, err = log.Begin(0, secondTenure, unknown, 7)
		Expect(err).To(MatchError(ErrOutcomeUnknown))
		run(secondTenure, pending, 7)
	})
})

// TestAtMostOnce runs random histories of tenures, hand-overs, losses, clock
// skew and full memory. It guards against a key that runs twice.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		log := NewLog(Config{MaxRecords: 4, Retention: time.Minute}, clock)
		tenure, ran := firstTenure, map[string]int{}
		log.StartTenure(0, tenure, clock.Now())
		var keys []string
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0: // loss
				tenure.Epoch++
				log = NewLog(Config{MaxRecords: 4, Retention: time.Minute}, clock)
				log.StartTenure(0, tenure, clock.Now())
			case 1: // planned hand-over
				x, ok := log.Export(0, tenure)
				tenure.Epoch++
				if ok {
					log.Import(0, tenure, x)
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
				e, _, err := log.Begin(0, tenure, key, 0)
				if err != nil || e == nil || !e.MarkRunning() {
					continue
				}
				if ran[key]++; ran[key] > 1 {
					t.Fatalf("key %s ran twice", key)
				}
				if rapid.Bool().Draw(t, "known") {
					e.MarkCompleted(nil)
				} else {
					e.MarkOutcomeUnknown()
				}
			}
		}
	})
}
