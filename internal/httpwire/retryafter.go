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
// server that is left alone for longer is replaced.
const MaxRetryAfter = 10 * time.Minute

// ParseRetryAfter reads how long the sender of an answer wants to be left alone, 0 if it does
// not say. The value is a number of seconds, which may have a fraction, or a date. Of
// several values the longest counts. The error names those that are not used as they
// are; the time is that of the others.
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
		return longest, fmt.Errorf("retry-after %.100q", unusable)
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
	// Beyond the bound, the product would overflow.
	return time.Duration(min(seconds, 2*MaxRetryAfter.Seconds()) * float64(time.Second)), true
}
