package route

import (
	"testing"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/lend"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/retry"
)

// Each change of the share granted the retries of a new window.
func TestRetriesCountAcrossChangesOfTheShare(t *testing.T) {
	n := &fakeNetwork{}
	s := lend.NewSpenders(clock.Now(), n, nil, nil, hclog.NewNullLogger())
	router := New(n, n, n, s, n, func(share float64) RetryBudget { return retry.NewBudget(share) }, hclog.NewNullLogger())
	now, taken := clock.Now(), 0
	for i := range 20 {
		c, err := (&config.Config{}).WithChange(config.Change{Revision: 1, Puts: config.Records{
			Regions: []config.Region{{Name: "a"}}, Services: []config.Service{{Name: "care", Profile: "p"}},
			Profiles: []config.Profile{{Name: "p", QueueWaitMs: 100, MaxHosts: 1, RetryShare: 0.1 + float64(i%2)/10}},
		}})
		if err != nil {
			t.Fatal(err)
		}
		router.Configure(c)
		budget := router.state.Load().budgets["care"]
		budget.CountRequest(now)
		for budget.Take(now) {
			taken++
		}
	}
	if taken > 4 {
		t.Errorf("%d retries of 20 requests in one window, want at most 4", taken)
	}
}
