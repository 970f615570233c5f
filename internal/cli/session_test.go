package cli_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/spf13/cobra"

	"github.com/boragegate/boragegate/internal/cli"
	"github.com/boragegate/boragegate/internal/operator/operatortest"
	"github.com/boragegate/boragegate/internal/settings"
)

// session runs commands against a fake instance. It records the command lines, standard
// output, error output and exit codes in one text, as a terminal shows them.
type session struct {
	t      *testing.T
	fake   *operatortest.Fake
	server *httptest.Server
	// addresses are the addresses of all servers. They differ between runs, so assert
	// replaces them.
	addresses []string
	dir       string
	out       bytes.Buffer
	env       cli.Env
	now       time.Time
}

func newSession(t *testing.T) *session {
	s := &session{t: t, fake: operatortest.New(), dir: t.TempDir()}
	s.startServer(s.fake.Handler)
	s.writeFile("token", operatortest.TokenAnna)
	s.env = cli.Env{
		In: strings.NewReader(""), Out: &s.out, Err: &s.out,
		Environ: []string{"BORAGEGATE_TOKEN_FILE=" + filepath.Join(s.dir, "token")},
		Now:     func() time.Time { return s.now },
		Sleep:   func(_ context.Context, d time.Duration) { s.now = s.now.Add(d) },
	}
	return s
}

func (s *session) startServer(h http.Handler) {
	s.server = httptest.NewServer(h)
	s.t.Cleanup(s.server.Close)
	s.addresses = append(s.addresses, s.server.Listener.Addr().String())
}

func (s *session) writeFile(name, content string) {
	if err := os.WriteFile(filepath.Join(s.dir, name), []byte(content), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// run runs one command line and returns its exit code. Arguments that name files of
// the session are replaced by their paths.
func (s *session) run(line string) int {
	env := s.env
	env.Environ = append([]string{"BORAGEGATE_ADDRESS=" + s.server.Listener.Addr().String()}, env.Environ...)
	cmd := cli.NewWithEnv("1.0.0", env)
	args := strings.Fields(line)
	for i, arg := range args {
		path := filepath.Join(s.dir, arg)
		if _, err := os.Stat(path); err == nil {
			args[i] = path
		}
	}
	cmd.SetArgs(args)
	fmt.Fprintf(&s.out, "$ boragegate %s\n", line)
	code := cli.Execute(cmd)
	fmt.Fprintf(&s.out, "[exit %d]\n\n", code)
	return code
}

func (s *session) assert(name string) {
	text := strings.ReplaceAll(s.out.String(), s.dir+"/", "")
	for _, a := range s.addresses {
		text = strings.ReplaceAll(text, a, "ADDRESS")
	}
	goldie.New(s.t).Assert(s.t, name, []byte(text))
}

// tableFile returns operatortest.FirstTable with the given version. pairs are texts to
// replace and their replacements, as for strings.NewReplacer.
func tableFile(version int, pairs ...string) string {
	text := strings.NewReplacer(pairs...).Replace(operatortest.FirstTable)
	return strings.Replace(text, "{", fmt.Sprintf("{\n  \"version\": %d,", version), 1)
}

// TestTableSession guards against unintended changes of the output and exit codes of
// the commands with which an operator changes the table: get, check, diff, apply, wait,
// edit, rollback and history, with a conflict and a merge.
func TestTableSession(t *testing.T) {
	s := newSession(t)
	s.writeFile("mine.jsonc", tableFile(1, `"weight": 2`, `"weight": 3`))
	s.writeFile("theirs.jsonc", tableFile(1, `"weight": 2`, `"weight": 4`))
	s.writeFile("other.jsonc", tableFile(1, `"r1", "address": "10.0.1.1:8080"`, `"r1", "address": "10.0.1.9:8080"`))
	s.run("table get")
	s.run("table check mine.jsonc")
	s.run("table diff mine.jsonc")
	s.fake.LaggingReads = 3
	s.run("table apply mine.jsonc --wait --comment rack-14")
	s.run("table apply mine.jsonc --base 2")
	s.run("table apply theirs.jsonc")
	s.run("table apply other.jsonc --merge")
	s.run("table edit route/r1 weight=1.5")
	s.run("table edit route/r3 --add address=10.0.1.3:8080 zone=pest slots=6")
	s.run("table get --format csv")
	s.writeFile("rows.csv", "service,target,address,zone,slots\nroute,r1,10.0.1.1:8080,buda,6\nroute,r2,10.0.1.2:8080,pest,12\n")
	s.run("table apply rows.csv --yes")
	s.run("table rollback 1")
	s.run("table history --limit 4")
	s.run("table diff --from 1 --to 2 -o json")
	s.run("table wait")
	s.run("audit --limit 2")
	s.assert("table")
}

// TestStateSession guards against unintended changes of the text and JSON output of
// the commands that show state, of shell completion and of "instances forget".
func TestStateSession(t *testing.T) {
	s := newSession(t)
	for _, line := range []string{
		"status", "instances", "services", "owners route", "explain route district-7", "events", "events --limit 1 -o json",
		"services route -o json", "__complete table edit route/", "__complete owners r", "instances forget i3 --yes", "audit", "version",
	} {
		s.run(line)
	}
	s.assert("state")
}

// TestErrorSession guards against changes of the exit codes and error messages on
// which scripts and operators rely.
func TestErrorSession(t *testing.T) {
	s := newSession(t)
	s.writeFile("bad.jsonc", tableFile(1, `"slots": 6, "weight": 2`, `"slots": 0, "wieght": 2`))
	s.writeFile("drain.jsonc", tableFile(1, `"slots": 6, "weight": 2`, `"slots": 6, "drain": true`))
	s.writeFile("partitions.jsonc", tableFile(1, `"divided": true`, `"divided": true, "partitions": 64`))
	check := func(want int, line string) {
		t.Helper()
		if got := s.run(line); got != want {
			t.Errorf("%s: exit code %d, want %d", line, got, want)
		}
	}
	check(cli.ExitUsage, "tabel")
	check(cli.ExitUsage, "table aply x")
	check(cli.ExitUsage, "table apply")
	check(cli.ExitUsage, "status --frob")
	check(cli.ExitUsage, "status -o xml")
	check(cli.ExitUsage, "table edit route/r9 weight=2")
	check(cli.ExitUsage, "table rollback first")
	check(cli.ExitFindings, "table check bad.jsonc")
	check(cli.ExitFindings, "table check --offline bad.jsonc -o json")
	check(cli.ExitFindings, "table check partitions.jsonc")
	check(cli.ExitFindings, "table edit route/r1 slots=many")
	check(cli.ExitError, "table check none.jsonc")
	check(cli.ExitNotConfirmed, "table apply drain.jsonc")
	s.env.Interactive, s.env.In = true, strings.NewReader("n\n")
	check(cli.ExitNotConfirmed, "table apply drain.jsonc")
	s.env.In = strings.NewReader("y\n")
	check(cli.ExitOK, "table apply drain.jsonc")
	s.fake.LaggingReads = 1000
	check(cli.ExitNotActive, "table wait 2 --timeout 2s")
	check(cli.ExitNotActive, "table wait 2 --timeout 1s -o json")
	check(cli.ExitError, "explain none k")
	check(cli.ExitError, "table get --version 9")
	check(cli.ExitUnavailable, "--address 127.0.0.1:1 status")
	s.writeFile("token", "not-the-token-of-anybody")
	check(cli.ExitRefused, "status")
	s.writeFile("token", "short")
	check(cli.ExitError, "status")
	s.assert("errors")
}

// TestLostResponse guards against a change that is reported as failed although it was
// made, and against one that is reported as made although its outcome is unknown.
// The server cuts the connection after the request, so the client gets no response.
func TestLostResponse(t *testing.T) {
	s := newSession(t)
	s.writeFile("mine.jsonc", tableFile(1, `"weight": 2`, `"weight": 3`))
	// dropResponse cuts the connection instead of responding to a change. The instance
	// gets the change only if applyChange is set.
	dropResponse := func(applyChange bool) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				s.fake.Handler.ServeHTTP(w, r)
				return
			}
			if applyChange {
				s.fake.Handler.ServeHTTP(httptest.NewRecorder(), r)
			}
			panic(http.ErrAbortHandler)
		})
	}
	s.startServer(dropResponse(false))
	if got := s.run("table apply mine.jsonc"); got != cli.ExitOutcomeUnknown {
		t.Errorf("exit code %d for an unknown outcome", got)
	}
	s.startServer(dropResponse(true))
	if got := s.run("table apply mine.jsonc"); got != cli.ExitOK {
		t.Errorf("exit code %d for a change that was made", got)
	}
	s.assert("lost")
}

// TestHelp guards against a command that has no example or is missing from the reference
// page, and against unintended changes of the help.
func TestHelp(t *testing.T) {
	s := newSession(t)
	page, err := os.ReadFile("../../docs/reference/cli.md")
	if err != nil {
		t.Fatal(err)
	}
	var walk func(c *cobra.Command)
	walk = func(c *cobra.Command) {
		if c.Example == "" {
			t.Errorf("%s has no example", c.CommandPath())
		}
		path := strings.TrimPrefix(c.CommandPath(), "boragegate ")
		if !c.HasSubCommands() && !strings.Contains(string(page), "`"+path) {
			t.Errorf("docs/reference/cli.md lacks %s", path)
		}
		s.run(strings.TrimPrefix(c.CommandPath()+" --help", "boragegate "))
		for _, sub := range c.Commands() {
			walk(sub)
		}
	}
	walk(cli.NewWithEnv("1.0.0", s.env))
	s.assert("help")
}

// TestDaemonCheck guards against a check command that accepts settings with findings,
// and one that ignores --set.
func TestDaemonCheck(t *testing.T) {
	s := newSession(t)
	s.writeFile("settings.jsonc", `{"instance": "i1"}`)
	cmd := cli.NewDaemonCheckCommand(settings.Options{})
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	cmd.SetErr(&s.out)
	cmd.SetArgs([]string{filepath.Join(s.dir, "settings.jsonc"), "--set", "zone=pest"})
	if got := cli.Execute(cmd); got != cli.ExitFindings || !strings.Contains(s.out.String(), "store.module") || strings.Contains(s.out.String(), " zone:") {
		t.Errorf("exit code %d:\n%s", got, s.out.String())
	}
}

// TestColor guards against colour sequences that break the alignment of columns.
func TestColor(t *testing.T) {
	s := newSession(t)
	s.run("instances")
	withoutColors := s.out.String()
	s.out.Reset()
	s.env.Color = true
	s.run("instances")
	colorsRemoved := strings.NewReplacer("\x1b[31m", "", "\x1b[1m", "", "\x1b[0m", "").Replace(s.out.String())
	if colorsRemoved == s.out.String() || colorsRemoved != withoutColors {
		t.Errorf("with colours removed:\n%s\nwithout colours:\n%s", colorsRemoved, withoutColors)
	}
}
