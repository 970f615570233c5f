package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

var _ = Describe("load generator", func() {
	serve := func(h http.HandlerFunc) string {
		s := httptest.NewServer(http.StripPrefix("/svc", h))
		DeferCleanup(s.Close)
		return s.URL
	}

	It("counts responses by outcome, target and correctness", func() {
		// Guards against counting responses to other requests or truncated responses as good.
		var n atomic.Int64
		url := serve(func(w http.ResponseWriter, r *http.Request) {
			switch n.Add(1) % 5 {
			case 0:
				w.Header().Set(headerOutcome, "not-run")
				w.WriteHeader(http.StatusServiceUnavailable)
			case 1:
				r.URL.Path += "0"
				Echo("t1").ServeHTTP(w, r)
			case 2:
				w.Header().Set("Content-Length", "100")
				_, _ = w.Write([]byte("{"))
			default:
				Echo("t1").ServeHTTP(w, r)
			}
		})
		res, err := Run(context.Background(), Config{URLs: []string{url}, Service: "svc", Rate: 1000, Duration: 100 * time.Millisecond}, io.Discard)
		Expect(err).NotTo(HaveOccurred())
		Expect(res).To(And(
			HaveField("Scheduled", BeEquivalentTo(100)), HaveField("Good", BeEquivalentTo(40)),
			HaveField("Mismatched", BeEquivalentTo(20)), HaveField("Broken", BeEquivalentTo(20)),
			HaveField("Outcomes", HaveKeyWithValue("not-run", BeEquivalentTo(20))), HaveField("Targets", HaveKeyWithValue("t1", BeEquivalentTo(40))),
		))
	})

	It("does not wait for a slow server", func() {
		// Guards against a closed loop, in which a slow server delays later requests and so hides latency.
		release := make(chan struct{})
		url := serve(func(w http.ResponseWriter, r *http.Request) {
			<-release
			Echo("t1").ServeHTTP(w, r)
		})
		time.AfterFunc(100*time.Millisecond, func() { close(release) })
		res, err := Run(context.Background(), Config{URLs: []string{url}, Service: "svc", Rate: 1000, Duration: 50 * time.Millisecond, MaxOutstanding: 30}, io.Discard)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Scheduled).To(BeEquivalentTo(50))
		Expect(res.Skipped).To(BeEquivalentTo(20))
		Expect(res.Latency.Max).To(BeNumerically(">=", 90_000))
	})

	It("prints the result as JSON and fails on a mismatch", func() {
		url := serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"path":"/other"}`) })
		var out bytes.Buffer
		cmd := Command()
		cmd.SetOut(&out)
		cmd.SetErr(io.Discard)
		cmd.SetArgs([]string{"--url", url, "--service", "svc", "--rate", "100", "--duration", "20ms"})
		Expect(cmd.Execute()).To(MatchError(ErrMismatched))
		var res Result
		Expect(json.NewDecoder(&out).Decode(&res)).To(Succeed())
		Expect(res.Mismatched).To(BeEquivalentTo(2))
	})

	It("reports all errors of a configuration", func() {
		err := Config{Rate: -1, HotKeyFraction: 2}.withDefaults().Validate()
		for _, text := range []string{"url:", "service:", "rate:", "duration:", "hot-share:"} {
			Expect(err).To(MatchError(ContainSubstring(text)))
		}
	})
})
