package httpwire

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxRetryAfter bounds a Retry-After: a longer one is more likely a mistake, and a
// server that receives no requests for longer is replaced.
const MaxRetryAfter = 10 * time.Minute

// ParseRetryAfter returns the delay in the Retry-After headers of a response, or 0 if there
// are none. A value is a number of seconds, which may have a fraction, or a date; of
// several values the longest is used. A value above MaxRetryAfter is limited to it, and a
// malformed one is ignored; the error lists both kinds, and the returned delay is valid
// nevertheless.
func ParseRetryAfter(h http.Header, now time.Time) (time.Duration, error) {
	var longest time.Duration
	var unusable []string
	for _, value := range h.Values("Retry-After") {
		d, ok := parseRetryAfterValue(value, now)
		if !ok || d > MaxRetryAfter {
			unusable = append(unusable, value)
		}
		if ok {
			longest = max(longest, min(d, MaxRetryAfter))
		}
	}
	if len(unusable) > 0 {
		return longest, fmt.Errorf("invalid or excessive Retry-After values %.100q", unusable)
	}
	return longest, nil
}

func parseRetryAfterValue(value string, now time.Time) (time.Duration, bool) {
	value = strings.TrimSpace(value)
	if at, err := http.ParseTime(value); err == nil {
		return max(at.Sub(now), 0), true
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, false
	}
	// Without the limit, the conversion to time.Duration could overflow.
	return time.Duration(min(seconds, 2*MaxRetryAfter.Seconds()) * float64(time.Second)), true
}
