// Command trials plays the cases of the review in review/6 to review/10 that are scripts. It starts the project's entry
// instances as processes of their own, on loopback addresses, with stand-ins of the platform's store, of targets and of
// clients, and checks the rule that the case names. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// trial plays a case. It returns an error if the case could not run.
type trial func(d *deployment) error

var trials = map[string]trial{
	"foreign-entry":  foreignEntry,
	"restored-first": restoredBeforeFirst,
	"many-fields":    manyFields,
	"malformed":      malformedAnswer,
	"lost-behind":    lostBehind,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || trials[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trials CASE FOLDER")
		return 2
	}
	if _, err := os.Stat(filepath.Join("target", "boragegate-edge")); err != nil {
		fmt.Fprintln(os.Stderr, "run it in the repository, after the build of the deploy file:", err)
		return 2
	}
	d, err := newDeployment(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	d.watchdog = time.AfterFunc(115*time.Second, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		d.close()
		os.Exit(2)
	})
	defer d.close()
	d.record("case %s, trouble %v", os.Args[1], d.trouble)
	if err := trials[os.Args[1]](d); err != nil {
		d.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	d.mu.Lock()
	broken := d.broken
	d.mu.Unlock()
	if len(broken) > 0 {
		fmt.Printf("broken %d times; the first: %s\n", len(broken), broken[0])
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
