package lend

import (
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/vmihailenco/msgpack/v5"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/shift"
)

// BenchmarkAnswer measures the time in which a keeper handles a message with one share request, and
// the sizes of the message and of its response without the transport's headers.
func BenchmarkAnswer(b *testing.B) {
	c := testConfig(b, 0)
	keeper := &testHosts{self: member.Host{Name: "k", Region: "b"}, keeper: member.Host{Name: "k"}}
	lenders := NewLenders(keeper, idleDestination{}, hclog.NewNullLogger())
	lenders.Configure(clock.Now(), c)
	lenders.Acquire(clock.Now(), moveKey, emptyHandover(b, 0.5))
	in := request{Process: "montevideo-a-1/1764813600000000000", Entries: []requestEntry{{
		Kind: moveKey.Kind, Region: moveKey.Region, Name: moveKey.Name, Unit: shift.Requests, Want: 3, ShiftShare: 0.5,
	}}}
	var sent, answered []byte
	for n := uint64(1); b.Loop(); n++ {
		in.Entries[0].Sequence, in.Entries[0].Applied = n, n-1
		sent, _ = msgpack.Marshal(in)
		var q request
		if err := msgpack.Unmarshal(sent, &q); err != nil {
			b.Fatal(err)
		}
		answered, _ = msgpack.Marshal(lenders.respond(q))
	}
	b.ReportMetric(float64(len(sent)), "B/ask")
	b.ReportMetric(float64(len(answered)), "B/grant")
}

// BenchmarkSpendOption measures the time that a shifted request needs to spend from its
// budgets.
func BenchmarkSpendOption(b *testing.B) {
	_, _, spenders, _ := newPair(b, testConfig(b, 1))
	for _, n := range []int{1, 3} {
		var charges []Charge
		for a := range spenders.accounts {
			if len(charges) < n && a.Key.Kind != "link" {
				charges = append(charges, Charge{Account: a, Units: 0})
			}
		}
		b.Run(fmt.Sprint("budgets=", len(charges)), func(b *testing.B) {
			for b.Loop() {
				spenders.Spend(clock.Now(), 0, charges...)
			}
		})
	}
}
