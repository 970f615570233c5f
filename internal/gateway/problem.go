package gateway

import (
	"encoding/json"
	"io"
	"strings"
)

// maxProblemBytes limits how much of another instance's error response is read.
const maxProblemBytes = 16 << 10

// readProblem decodes the problem in the response of another instance. It returns
// false if the body is not valid JSON.
func readProblem(r io.Reader) (problem, bool) {
	var p problem
	err := json.NewDecoder(io.LimitReader(r, maxProblemBytes)).Decode(&p)
	return p, err == nil
}

func (p problem) slug() string { return strings.TrimPrefix(p.Type, problemPrefix) }
