package judge

import (
	"slices"
	"strings"
	"time"
)

// peakPerSecond returns the largest number of times in any window of one second.
// It sorts times in place.
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

// serviceOf returns the service of a server named REGION-SERVICE-NUMBER. A name
// with fewer parts is returned as it is.
func serviceOf(server string) string {
	parts := strings.Split(server, "-")
	if len(parts) < 3 {
		return server
	}
	return parts[1]
}
