package operator_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/boragegate/boragegate/internal/operator"
	"github.com/boragegate/boragegate/internal/operator/api"
	"github.com/boragegate/boragegate/internal/operator/operatortest"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/store/memory"
	"github.com/boragegate/boragegate/table/tablestore"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

// request sends a request with anna's token. header may be the name and the value of a
// header to set, which can replace the token.
func request(f *operatortest.Fake, method, target, body string, header ...string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, target, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+operatortest.TokenAnna)
	if len(header) == 2 {
		req.Header.Set(header[0], header[1])
	}
	w := httptest.NewRecorder()
	f.Handler.ServeHTTP(w, req)
	return w
}

func decodeProblem(w *httptest.ResponseRecorder) api.Problem {
	var p api.Problem
	Expect(w.Header().Get("Content-Type")).To(Equal(api.ProblemContentType))
	Expect(json.Unmarshal(w.Body.Bytes(), &p)).To(Succeed())
	Expect(p.Status).To(Equal(w.Code))
	return p
}

// TestPage guards against a status page that lacks the load and weight of targets, the
// ownership of partitions or the active versions of instances, that does not escape
// text, or that loads resources from elsewhere.
func TestPage(t *testing.T) {
	RegisterTestingT(t)
	f := operatortest.New()
	f.NotReadyReason = "a <script> reason"
	w := request(f, "GET", "/", "")
	goldie.New(t).Assert(t, "page", w.Body.Bytes())
	Expect(w.Body.String()).NotTo(ContainSubstring("://"))
	Expect(w.Header().Get("Content-Security-Policy")).To(HavePrefix("default-src 'none'"))
}

// TestMetrics guards against unintended changes of the names, labels, values and format
// of the metrics, on which monitoring systems rely.
func TestMetrics(t *testing.T) {
	w := request(operatortest.New(), "GET", "/metrics", "")
	goldie.New(t).Assert(t, "metrics", w.Body.Bytes())
}

// TestReference guards against paths and codes that are missing from the reference
// page.
func TestReference(t *testing.T) {
	page, err := os.ReadFile("../../docs/reference/operator-api.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{
		api.PathTable, api.PathInForce, api.PathHistory, api.PathVersions, api.PathRollback, api.PathStatus, api.PathInstances,
		api.PathForget, api.PathServices, api.PathOwners, api.PathExplain, api.PathEvents, api.PathAudit, api.PathMetrics,
		api.PathHealth, api.PathReady, string(api.CodeBadRequest), string(api.CodeUnauthorized), string(api.CodeForbidden),
		string(api.CodeNotFound), string(api.CodeMethodNotAllowed), string(api.CodeTooLarge), string(api.CodeFindings),
		string(api.CodeConflict), string(api.CodeUnavailable), string(api.CodeOutcomeUnknown), string(api.CodeInternal),
	} {
		if !strings.Contains(string(page), name) {
			t.Errorf("docs/reference/operator-api.md lacks %s", name)
		}
	}
}

const changeBody = `{"base": 1, "table": {"services": [{"name": "route"}],
	"rows": [{"service": "route", "target": "r1", "address": "10.0.1.1:8080", "zone": "buda", "slots": 3}]}}`

var _ = Describe("API", func() {
	var f *operatortest.Fake
	BeforeEach(func() { f = operatortest.New() })

	It("reports an instance that is not ready as live, so that it is not restarted", func() {
		f.NotReadyReason = "no confirmation"
		Expect(request(f, "GET", "/healthz", "").Code).To(Equal(200))
		w := request(f, "GET", "/readyz", "")
		Expect(w.Code).To(Equal(503))
		Expect(w.Body.String()).To(Equal("not ready: no confirmation\n"))
	})

	It("records the operator of the token in the version and the audit trail", func() {
		w := request(f, "PUT", "/v1/table", changeBody, "Authorization", "Bearer "+operatortest.TokenBela)
		Expect(w.Code).To(Equal(200), w.Body.String())
		var a api.ChangeResult
		Expect(json.Unmarshal(w.Body.Bytes(), &a)).To(Succeed())
		Expect(a).To(And(HaveField("Operator", "bela"), HaveField("Version.Version", uint64(2))))
		list, err := f.Audit(GinkgoT().Context(), 0, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(list).To(HaveExactElements(And(HaveField("Operator", "bela"), HaveField("Event", "table.accepted"))))
	})

	DescribeTable("requires a valid token for reads and changes, but not for probes and metrics",
		func(method, target, authorization string, code int) {
			Expect(request(f, method, target, changeBody, "Authorization", authorization).Code).To(Equal(code))
		},
		Entry("no token", "GET", "/v1/table", "", 401),
		Entry("wrong token", "GET", "/v1/table", "Bearer x", 401),
		Entry("empty token", "PUT", "/v1/table", "Bearer ", 401),
		Entry("status page", "GET", "/", "", 401),
		Entry("change with basic authentication", "PUT", "/v1/table", basicAuthorization(), 401),
		Entry("read with basic authentication", "GET", "/v1/table", basicAuthorization(), 200),
		Entry("health probe without a token", "GET", "/healthz", "", 200),
		Entry("metrics without a token", "GET", "/metrics", "", 200),
	)

	It("rejects changes and allows reads without a token when no operators are configured", func() {
		f.Handler = operator.New(operator.Options{Tables: f.Tables, Daemon: f.Daemon})
		Expect(decodeProblem(request(f, "PUT", "/v1/table", changeBody)).Code).To(Equal(api.CodeForbidden))
		Expect(request(f, "GET", "/v1/table", "", "Authorization", "").Code).To(Equal(200))
	})

	DescribeTable("reports errors with a stable code",
		func(method, target, body string, code api.Code) {
			Expect(decodeProblem(request(f, method, target, body)).Code).To(Equal(code))
		},
		Entry("unknown path", "GET", "/v2", "", api.CodeNotFound),
		Entry("wrong method", "DELETE", "/v1/table", "", api.CodeMethodNotAllowed),
		Entry("body that is not JSON", "PUT", "/v1/table", "x", api.CodeBadRequest),
		Entry("body above the size limit", "PUT", "/v1/table", strings.Repeat(" ", 3<<20), api.CodeTooLarge),
		Entry("table with findings", "PUT", "/v1/table", `{"base": 1, "table": {"rows": [{}]}}`, api.CodeFindings),
		Entry("no table", "PUT", "/v1/table", `{"base": 1}`, api.CodeFindings),
		Entry("stale base version", "PUT", "/v1/table", strings.Replace(changeBody, `"base": 1`, `"base": 0`, 1), api.CodeConflict),
		Entry("unknown version", "GET", "/v1/table/versions/9", "", api.CodeNotFound),
		Entry("version that is not a number", "GET", "/v1/table/versions/x", "", api.CodeBadRequest),
		Entry("unknown service", "GET", "/v1/owners?service=x", "", api.CodeNotFound),
		Entry("unknown service in list", "GET", "/v1/services?service=x", "", api.CodeNotFound),
		Entry("missing key", "GET", "/v1/explain?service=route", "", api.CodeBadRequest),
		Entry("limit of 0", "GET", "/v1/events?limit=0", "", api.CodeBadRequest),
		Entry("limit above the maximum", "GET", "/v1/audit?limit=5000", "", api.CodeBadRequest),
		Entry("unknown instance", "POST", "/v1/instances/forget", `{"instances": ["i9"]}`, api.CodeNotFound),
		Entry("rollback to an unknown version", "POST", "/v1/table/rollback", `{"to": 7, "base": 1}`, api.CodeNotFound),
	)

	It("rejects a change with the code unavailable, which tells clients that nothing was changed, when the store is down", func() {
		f.Store.SetFaults(memory.Faults{Down: true})
		Expect(decodeProblem(request(f, "PUT", "/v1/table", changeBody)).Code).To(Equal(api.CodeUnavailable))
	})

	It("reports a change whose outcome is unknown and records it in the audit trail", func() {
		f.Handler = operator.New(operator.Options{
			Tables: unknownOutcomeTables{f.Tables}, Daemon: f.Daemon,
			Tokens: map[[32]byte]string{sha256.Sum256([]byte(operatortest.TokenAnna)): "anna"},
		})
		Expect(decodeProblem(request(f, "PUT", "/v1/table", changeBody))).To(And(HaveField("Code", api.CodeOutcomeUnknown), HaveField("Version", uint64(2))))
		list, _ := f.Audit(GinkgoT().Context(), 0, 1)
		Expect(list).To(HaveExactElements(HaveField("Event", "table.outcome_unknown")))
	})

	It("reports which instances lag behind and why", func() {
		Expect(request(f, "PUT", "/v1/table", changeBody).Code).To(Equal(200))
		f.LaggingReads = 1
		var got api.ActiveVersions
		Expect(json.Unmarshal(request(f, "GET", "/v1/table/in-force", "").Body.Bytes(), &got)).To(Succeed())
		Expect(got.Everywhere).To(BeFalse())
		Expect(got.Instances[2].Reason).To(Equal("still uses version 1: no heartbeat, last heard 1.5 s ago"))
		Expect(got.Instances[0].InForce).To(BeTrue())
	})
})

// unknownOutcomeTables reports the outcome of every change as unknown.
type unknownOutcomeTables struct{ operator.Tables }

func (unknownOutcomeTables) Apply(context.Context, tablestore.Request) (*tablestore.Result, error) {
	return nil, &tablestore.OutcomeUnknownError{Version: 2, Writer: "w", Cause: store.ErrUnavailable}
}

func basicAuthorization() string {
	req, _ := http.NewRequest(http.MethodGet, "/", nil) //nolint:noctx // only for its header
	req.SetBasicAuth("anna", operatortest.TokenAnna)
	return req.Header.Get("Authorization")
}
