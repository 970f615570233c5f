package boragegate_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate"
	"github.com/boragegate/boragegate/finding"
)

func TestModules(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "modules")
}

var errProvision = errors.New("no connection")

type testModule struct {
	Size    int    `json:"size"`
	Label   string `json:"label"`
	FailAt  string `json:"fail_at"`
	calls   []string
	cleaned bool
}

func (m *testModule) Provision(context.Context) error {
	m.calls = append(m.calls, "provision")
	if m.FailAt == "provision" {
		return errProvision
	}
	return nil
}

func (m *testModule) Validate() error {
	m.calls = append(m.calls, "validate")
	if m.FailAt == "validate" {
		return finding.List{{Path: "size", Message: "too small", Expected: "at least 1"}}
	}
	return nil
}

func (m *testModule) Cleanup() error { m.cleaned = true; return nil }

var lastCreated *testModule

func init() {
	boragegate.Register(boragegate.Module{ID: "sample.one", New: func() any { lastCreated = &testModule{Size: 7}; return lastCreated }})
}

var _ = Describe("registry", func() {
	DescribeTable("panics on invalid registrations, which would make a module unavailable",
		func(m boragegate.Module) { Expect(func() { boragegate.Register(m) }).To(Panic()) },
		Entry("duplicate", boragegate.Module{ID: "sample.one", New: func() any { return nil }}),
		Entry("without namespace", boragegate.Module{ID: "one", New: func() any { return nil }}),
		Entry("upper case", boragegate.Module{ID: "Sample.one", New: func() any { return nil }}),
		Entry("without constructor", boragegate.Module{ID: "sample.two"}),
	)

	It("names the nearest module in the error for an unknown ID, so that a typing error is noticed", func() {
		_, err := boragegate.Lookup("sample.won")
		var unknown *boragegate.UnknownModuleError
		Expect(errors.As(err, &unknown)).To(BeTrue())
		Expect(unknown.Nearest).To(Equal("sample.one"))
		_, err = boragegate.Lookup("x.y")
		Expect(err).To(MatchError(`unknown module "x.y"`))
		Expect(boragegate.Modules("sample")).To(Equal([]string{"sample.one"}))
	})
})

var _ = Describe("load", func() {
	It("keeps the defaults of absent fields and runs the lifecycle steps in order", func() {
		got, err := boragegate.LoadAs[*testModule](context.Background(), "sample.one", json.RawMessage(`{"label":"a"}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Size).To(Equal(7))
		Expect(got.calls).To(Equal([]string{"provision", "validate"}))
		Expect(boragegate.Unload(got)).To(Succeed())
		Expect(got.cleaned).To(BeTrue())
	})

	It("reports all invalid fields with their paths, not only the first", func() {
		_, err := boragegate.Load(context.Background(), "sample.one", json.RawMessage(`{"lable":"a","size":"big","label":3}`))
		var list finding.List
		Expect(errors.As(err, &list)).To(BeTrue())
		Expect(list).To(ConsistOf(
			finding.Finding{Path: "lable", Message: "unknown field", Expected: "label"},
			finding.Finding{Path: "size", Message: "found string", Expected: "int"},
			finding.Finding{Path: "label", Message: "found number", Expected: "string"},
		))
	})

	DescribeTable("cleans up and reports findings when a lifecycle step fails, so that no resource leaks",
		func(raw, message string, cause error) {
			_, err := boragegate.Load(context.Background(), "sample.one", json.RawMessage(raw))
			var list finding.List
			Expect(errors.As(err, &list)).To(BeTrue())
			Expect(list[0].Message).To(Equal(message))
			Expect(lastCreated.cleaned).To(BeTrue())
			if cause != nil {
				Expect(err).To(MatchError(cause))
			}
		},
		Entry("provision", `{"fail_at":"provision"}`, "no connection", errProvision),
		Entry("validate", `{"fail_at":"validate"}`, "too small", nil),
	)

	It("returns an error for a module of another type, which it releases, and for a configuration that is not an object", func() {
		_, err := boragegate.LoadAs[error](context.Background(), "sample.one", nil)
		Expect(err).To(MatchError(ContainSubstring("is not of type error")))
		Expect(lastCreated.cleaned).To(BeTrue())
		_, err = boragegate.Load(context.Background(), "sample.one", json.RawMessage(`[]`))
		Expect(err).To(MatchError(ContainSubstring("a JSON object")))
	})
})
