package main

import (
	"context"
	"errors"
	"reflect"
	"testing"
	"time"

	"magnoliahitch/hitchd/internal/admin"
	"magnoliahitch/hitchd/internal/keep"
	"magnoliahitch/hitchd/internal/lend"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/shift"
	"magnoliahitch/steer/slots"
)

// reportStub implements all interfaces of a reporter for host a. The other host, b,
// sends the response, or the request to it fails with the error.
type reportStub struct {
	response reportResponse
	err      error
}

func (reportStub) Self() member.Host      { return member.Host{Name: "a"} }
func (reportStub) Live() []member.Host    { return []member.Host{{Name: "a"}, {Name: "b"}} }
func (reportStub) Config() *config.Config { return &config.Config{Revision: 5} }

func (reportStub) Cells(time.Time) []keep.CellState {
	return []keep.CellState{{Servers: []slots.ServerState{{Server: "s1", Busy: 1, Held: 2}}}}
}

func (reportStub) States(time.Time) []lend.State {
	k := place.Key{Kind: place.Shift, Region: "r", Name: "move/m"}
	return []lend.State{
		{Key: k, Unit: shift.Requests, Cap: 50, Lent: 20, Share: 0.1, Goal: 0.5},
		{Key: k, Unit: shift.Bytes, Cap: 5e6, Lent: 25e5},
		{Key: place.Key{Kind: place.Link, Name: "l"}, Unit: shift.Bytes, Cap: 9},
	}
}

func (s reportStub) Call(_ context.Context, _ member.Host, _ string, _, out any) error {
	*out.(*reportResponse) = s.response
	return s.err
}

func TestReportAddsUpCountsOfHosts(t *testing.T) {
	for _, tt := range []struct {
		name    string
		stub    reportStub
		missing []string
		busy    map[string]int
	}{
		{"both", reportStub{response: reportResponse{Revision: 5, InFlight: map[string]int{"s2": 4}}}, nil, map[string]int{"s1": 3, "s2": 4}},
		{"one with older revision", reportStub{response: reportResponse{Revision: 4, InFlight: map[string]int{"s2": 0}}}, []string{"b"}, map[string]int{"s1": 3}},
		{"one unreachable", reportStub{err: errors.New("no response")}, []string{"b"}, map[string]int{"s1": 3}},
	} {
		s := tt.stub
		got := newReporter(s, s, s, s, s).Report(t.Context())
		want := admin.Report{Unreachable: tt.missing, InFlight: tt.busy, Shifts: []admin.Shift{
			{Name: "move/m", LentRate: 20, CapRate: 50, LentMbps: 20, CapMbps: 40, Share: 0.1, Goal: 0.5},
		}}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, want)
		}
	}
}
