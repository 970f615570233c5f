package settings_test

import (
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/boragegate/boragegate/finding"
	"github.com/boragegate/boragegate/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const validSettings = `{
	"instance": "i1", "zone": "z1", // comment
	"listen": {"caller": "0.0.0.0:7001", "peer": "10.0.0.1:7002", "forward": "10.0.0.1:7003", "operator": "127.0.0.1:7004"},
	"store": {"module": "store.memory", "config": {"a": 1,}},
	"tls": {"caller": {"mode": "plain"}, "internal": {"mode": "plain"}, "operator": {"mode": "plain"}},
}`

const invalidSettings = `{
	"instance": "I 1", "zonne": "z1",
	"listen": {"caller": "0.0.0.0:7001", "peer": "0.0.0.0:7002", "forward": "0.0.0.0:7001", "operator": "localhost:7004"},
	"store": {"module": "store.htp"},
	"tls": {"caller": {}, "internal": {"mode": "files", "cert_file": "a"}, "operator": {"mode": "plain", "key_file": "k"}},
	"timeouts": {"shutdown": "1s", "idle": 5, "store": "-1s"},
	"log": {"level": "loud", "events_per_second": 0},
	"operators": [{"name": "anna"}, {"name": "anna", "token_sha256": "secret"}],
}`

// TestFindings guards against errors in settings that are reported one at a time
// or without their line, column and path.
func TestFindings(t *testing.T) {
	o := settings.Options{StoreModules: []string{"store.http", "store.memory"}}
	overrides := []settings.Override{{Origin: "flag --set timeouts.read_header", Path: "timeouts.read_header", Value: "x"}}
	_, err := settings.ParseDaemon("bad.jsonc", []byte(invalidSettings), overrides, o)
	_, err2 := settings.ParseTool("tool.jsonc", []byte(`{"output": "xml", "confirm_share": 2, "tls": {"mode": "files"}, "addresss": ""}`), nil)
	goldie.New(t).Assert(t, "findings", []byte(fmt.Sprintln(err)+fmt.Sprintln(err2)))
}

var _ = Describe("Load", func() {
	It("lets environment variables override the file and flags override both", func() {
		path := filepath.Join(GinkgoT().TempDir(), "s.jsonc")
		Expect(os.WriteFile(path, []byte(validSettings), 0o600)).To(Succeed())
		d, err := settings.LoadDaemon(path,
			[]string{"HOME=/", "BORAGEGATED_ZONE=z2", "BORAGEGATED_TIMEOUTS_SHUTDOWN=9s", "BORAGEGATED_LOG_EVENTS_PER_SECOND=5"},
			[]string{"zone=z3", "listen.caller=10.0.0.1:80"}, settings.Options{})
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Zone).To(Equal("z3"))
		Expect(time.Duration(d.Timeouts.Shutdown)).To(Equal(9 * time.Second))
		Expect(d.Log.EventsPerSecond).To(Equal(5))
		Expect(d.Advertise.Caller).To(Equal("10.0.0.1:80"), "advertised addresses default to the overridden listen addresses")
		Expect(string(d.Store.Config)).To(Equal(`{"a":1}`), "modules receive JSON without comments and trailing commas")
	})

	It("rejects variables and flags that name no setting, so that a misspelled name is reported", func() {
		_, err := settings.ParseOverrides(settings.DefaultDaemon(), settings.DaemonEnvPrefix, []string{"BORAGEGATED_ZONNE=z"}, []string{"log.levl=debug", "x"})
		Expect(err).To(MatchError(And(ContainSubstring("expected BORAGEGATED_ZONE"), ContainSubstring("log.level=value"))))
	})

	It("uses the defaults for a tool without a file and reports a missing file that is required", func() {
		Expect(settings.LoadTool("", true, nil, nil)).To(Equal(settings.DefaultTool()))
		_, err := settings.LoadTool("/nonexistent/x", false, nil, nil)
		Expect(err).To(MatchError(os.ErrNotExist))
	})

	It("reports findings of a store module under the path of its configuration", func() {
		o := settings.Options{CheckStore: func(settings.Store) error {
			return finding.List{{Path: "a", Message: "is wrong"}}
		}}
		_, err := settings.ParseDaemon("s", []byte(validSettings), nil, o)
		Expect(err).To(MatchError("s:4:48: store.config.a: is wrong"))
	})
})

var _ = Describe("OperatorTokens", func() {
	It("reads tokens and rejects those that are too short or used by two operators", func() {
		path := filepath.Join(GinkgoT().TempDir(), "token")
		Expect(os.WriteFile(path, []byte("0123456789abcdef\n"), 0o600)).To(Succeed())
		d := settings.Daemon{Operators: []settings.Operator{{Name: "anna", TokenFile: path}}}
		sum := sha256.Sum256([]byte("0123456789abcdef"))
		Expect(d.OperatorTokens()).To(Equal(map[[32]byte]string{sum: "anna"}))
		d.Operators = append(d.Operators, settings.Operator{Name: "bea", TokenSHA256: fmt.Sprintf("%x", sum)})
		_, err := d.OperatorTokens()
		Expect(err).To(MatchError(ContainSubstring("anna and bea have the same token")))
		Expect(os.WriteFile(path, []byte("short\n"), 0o600)).To(Succeed())
		_, err = d.OperatorTokens()
		Expect(err).To(MatchError(And(ContainSubstring("has 5 bytes"), Not(ContainSubstring("short")))))
	})
})
