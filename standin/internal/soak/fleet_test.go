package soak

import "testing"

// A server that was selected twice for a fault kept it for the rest of the run, while the ledger
// took it for undisturbed.
func TestServersAreSelectedOnce(t *testing.T) {
	for n := 1; n <= 60; n++ {
		f := &fleet{}
		for range n {
			f.endpoints = append(f.endpoints, &endpoint{})
		}
		for _, share := range []float64{0, 0.5, 0.98, 1} {
			got := f.selectServers(uint32(5*n+3), share)
			distinct := make(map[*endpoint]bool)
			for _, s := range got {
				distinct[s] = true
			}
			if len(distinct) != len(got) || len(got) == 0 {
				t.Errorf("%d servers, share %g: %d of %d selected ones are distinct", n, share, len(distinct), len(got))
			}
		}
	}
}
