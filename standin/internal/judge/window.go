package judge

import (
	"slices"
	"strings"
	"time"
)

// peakPerSecond returns the greatest number of times in any window of one
// second.
func peakPerSecond(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	peak, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= time.Second {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}

// serviceOf returns the service of a server named region-service-number.
func serviceOf(server string) string {
	parts := strings.Split(server, "-")
	if len(parts) < 3 {
		return server
	}
	return parts[1]
}
