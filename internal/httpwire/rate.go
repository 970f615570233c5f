package httpwire

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// MaxRate bounds a rate, in requests per second. No server takes as many, so that a limit above it restricts nothing.
const MaxRate = 1e6

// ParseRate parses the values of a header with a rate in requests per second. Of several values the lowest is used, and
// one above MaxRate is limited to it. It returns false if there is no valid value. The error lists values that are
// malformed or above MaxRate; the returned rate is valid nevertheless.
func ParseRate(values []string) (perSecond float64, ok bool, err error) {
	var unusable []string
	for _, value := range values {
		v, parseErr := strconv.ParseFloat(strings.TrimSpace(value), 64)
		isNumber := parseErr == nil || errors.Is(parseErr, strconv.ErrRange)
		valid := isNumber && !math.IsNaN(v) && v >= 0
		if !valid || v > MaxRate {
			unusable = append(unusable, value)
		}
		if valid && (!ok || v < perSecond) {
			perSecond, ok = min(v, MaxRate), true
		}
	}
	if len(unusable) > 0 {
		err = fmt.Errorf("invalid or excessive rates %.100q, expected a number of requests per second from 0 to %g", unusable, MaxRate)
	}
	return perSecond, ok, err
}
