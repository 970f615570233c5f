// Package seedtest sets a fixed seed for property tests, so that every run checks the
// same cases and has the same result. Test packages import it for this side effect;
// the flag -rapid.seed overrides the seed.
package seedtest

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag rapid.seed
)

// seed may be any value except 0, which selects a random seed.
const seed = "1"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
