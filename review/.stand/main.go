// Command stand plays one case of the review: a store, targets and clients, with processes of boragegate-edge between them.
package main

import (
	"fmt"
	"os"
)

func main() { os.Exit(run()) }

// run returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER PROGRAM")
		return 2
	}
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	plays := map[string]func(*world) (int, error){
		"lost":    playLost,
		"endless": playEndless,
		"leaving": playLeaving,
	}
	play := plays[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return 2
	}
	bad, err := play(w)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return 2
	case bad > 0:
		fmt.Println("broken:", bad)
		return 1
	}
	return 0
}
