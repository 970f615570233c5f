// Package docstest_test runs the commands that are shown in the documentation.
package docstest_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// scriptTimeout is the time limit of all commands together. With it the tests of
// the package take less than 40 s.
const scriptTimeout = 35 * time.Second

var (
	codeBlockPattern = regexp.MustCompile("(?ms)^```(sh|jsonc)\n(.*?)^```$")
	fileNamePattern  = regexp.MustCompile("`([a-z]+\\.jsonc)`")
	portPattern      = regexp.MustCompile(`127\.0\.0\.1:(\d{4})\b`)
)

func TestDocs(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes on fixed ports")
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "docs")
}

func readPage(root, page string) string {
	data, err := os.ReadFile(filepath.Join(root, page))
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

// shellScript joins the sh and jsonc code blocks of a page into one shell script,
// in their order. The script writes a jsonc block to the file that is named first
// in the paragraph before the block.
func shellScript(page string) string {
	var b strings.Builder
	end := 0
	for _, m := range codeBlockPattern.FindAllStringSubmatchIndex(page, -1) {
		text, body := page[end:m[0]], page[m[4]:m[5]]
		end = m[1]
		if page[m[2]:m[3]] == "sh" {
			b.WriteString(body)
			continue
		}
		paragraphs := strings.Split(strings.TrimSpace(text), "\n\n")
		name := fileNamePattern.FindStringSubmatch(paragraphs[len(paragraphs)-1])
		Expect(name).NotTo(BeNil(), "no file name in the paragraph before the jsonc block: %s", body)
		fmt.Fprintf(&b, "cat > %s <<'END'\n%sEND\n", name[1], body)
	}
	return b.String()
}

// expectPortsFree fails the test if another program uses one of the ports.
func expectPortsFree(ports []string) {
	for _, p := range ports {
		ln, err := net.Listen("tcp", "127.0.0.1:"+p)
		Expect(err).NotTo(HaveOccurred(), "port %s, which the tutorial uses, is in use by another program", p)
		Expect(ln.Close()).To(Succeed())
	}
}

// run runs the script with sh -e in dir and returns its output. All its
// processes share a process group, which is killed when the script ends.
func run(dir, script string) (string, error) {
	out, err := os.Create(filepath.Join(dir, "output"))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = out.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "sh", "-ec", "set -x\n"+script)
	cmd.Dir, cmd.Stdout, cmd.Stderr = dir, out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	Expect(cmd.Start()).To(Succeed())
	defer func() { _ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }()
	runErr := cmd.Wait()
	text, err := os.ReadFile(out.Name())
	Expect(err).NotTo(HaveOccurred())
	return string(text), runErr
}

// Guards against pages whose commands fail when they are run as shown; without curl the
// curl commands are left out. The demo of the README runs concurrently with the tutorial
// to save time. It uses free ports, so the two do not conflict.
var _ = It("the commands of the demo, of sections 2 to 5 of the tutorial and of the page about the table succeed", func() {
	root, err := filepath.Abs("../..")
	Expect(err).NotTo(HaveOccurred())
	_, page, found := strings.Cut(readPage(root, "docs/tutorial.md"), "\n## 2. ")
	Expect(found).To(BeTrue())
	page, _, found = strings.Cut(page, "\n## 6. ") // section 6 needs eight machines
	Expect(found).To(BeTrue())

	var ports []string
	for _, m := range portPattern.FindAllStringSubmatch(page, -1) {
		ports = append(ports, m[1])
	}
	for _, i := range []string{"1", "2", "3"} {
		for _, l := range []string{"1", "2", "3", "4"} {
			ports = append(ports, "71"+i+l) // shown as 71${i}1 in a loop
		}
	}
	expectPortsFree(ports)

	dir := GinkgoT().TempDir()
	text := shellScript(page) + "PATH=$PWD/bin:$PATH\nEDITOR='sed -i s/here/there/'\n" + shellScript(readPage(root, "docs/operators/table.md"))
	Expect(text).To(ContainSubstring("go build -o bin/"))
	text = strings.Replace(text, "go build -o bin/", "go build -C '"+root+"' -o '"+dir+"/bin/'", 1)
	_, curlErr := exec.LookPath("curl")
	if curlErr != nil {
		text = strings.ReplaceAll(text, "\ncurl ", "\n: curl ")
	}
	demo := regexp.MustCompile("`(go run [^`]* --duration [^`]*)`").FindStringSubmatch(readPage(root, "README.md"))
	Expect(demo).NotTo(BeNil())
	out, err := run(dir, "(cd '"+root+"'; exec "+demo[1]+") &\ndemo=$!\n"+text+"\nwait $demo\n")
	Expect(err).NotTo(HaveOccurred(), "%s", out)
	Expect(out).To(ContainSubstring("one owner per key"))
	Expect(out).To(MatchRegexp(`(?m)^key "district-7".*\n(.*\n)*.*\br1\b`))
	if curlErr == nil {
		Expect(out).To(ContainSubstring("HTTP/1.1 200 OK"))
	}
	Expect(out).To(ContainSubstring("in force on all 3 instances"))
	Expect(out).To(ContainSubstring("+ row route/r16"))
})
