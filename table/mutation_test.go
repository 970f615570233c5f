package table_test

import (
	"errors"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/finding"
	"github.com/boragegate/boragegate/table"
)

// TestMutatedInput guards against malformed input that makes Parse panic or return
// an error without findings, and against an accepted table that differs after it
// is encoded and parsed again, as when it is stored.
func TestMutatedInput(t *testing.T) {
	example, err := os.ReadFile("../examples/loomprint/table.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	example = append(example[:900:900], "]}"...)
	rapid.Check(t, func(t *rapid.T) {
		data := append([]byte(nil), example...)
		for range rapid.IntRange(0, 4).Draw(t, "mutations") {
			at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
			end := min(len(data), at+rapid.IntRange(0, 9).Draw(t, "cut"))
			insert := rapid.SampledFrom([]string{"", "{", "}", "[", "]", ",", ":", `"`, "//", "/*", "null", "-1", "1e999", "\xff", "\n", `"rows"`}).Draw(t, "insert")
			data = append(data[:at:at], append([]byte(insert), data[end:]...)...)
		}
		parsed, err := table.Parse("mutated", data)
		var list finding.List
		if err != nil {
			if !errors.As(err, &list) || len(list) == 0 || parsed != nil {
				t.Fatalf("unexpected error %v", err)
			}
			return
		}
		encoded, err := table.Encode(parsed)
		if err != nil {
			t.Fatal(err)
		}
		again, err := table.Parse("encoded", encoded)
		if err != nil || !table.Diff(parsed, again).Empty() {
			t.Fatalf("encoded form differs: %v", err)
		}
	})
}
