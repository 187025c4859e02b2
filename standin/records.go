package main

import (
	"fmt"
	"strings"
)

// profileText returns the INI section of a profile. blockTable is the digest of the
// block table.
func profileText(name, queueWaitMs, blockTable string) string {
	return fmt.Sprintf(`[profile %s]
queueWaitMs = %s
reserveShare = 0.2
retryShare = 0.1
hedgeQuantile = 0
shiftRate = %d
shiftMbps = 100
slowStartMs = 1000
ejectShare = 0.5
lookupTtlMs = 1000
blockTable = %s
`, name, queueWaitMs, shiftRate, blockTable)
}

// linkText returns the INI sections of the links between each pair of regions, one
// in each direction.
func linkText(mbps string, regions ...string) string {
	var b strings.Builder
	for _, from := range regions {
		for _, to := range regions {
			if from != to {
				fmt.Fprintf(&b, "\n[link %s-%s]\nfrom = %s\nto = %s\nmbps = %s\nfloorShare = 0.1\n", from, to, from, to, mbps)
			}
		}
	}
	return b.String()
}
