// Package seedtest gives property tests a fixed seed, so that every run of the
// tests checks the same cases and has the same verdict. Test packages import it
// for its effect; the flag -rapid.seed overrides it.
package seedtest

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// seed is any value but 0, which stands for a random seed.
const seed = "1"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
