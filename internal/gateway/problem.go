package gateway

import (
	"encoding/json"
	"io"
	"strings"
)

const maxProblem = 16 << 10

// readProblem reads the problem of another instance.
func readProblem(r io.Reader) (problem, bool) {
	var p problem
	err := json.NewDecoder(io.LimitReader(r, maxProblem)).Decode(&p)
	return p, err == nil
}

func (p problem) slug() string { return strings.TrimPrefix(p.Type, problemPrefix) }
