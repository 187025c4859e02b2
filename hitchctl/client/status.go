package client

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
)

type statusCommand struct{ session *session }

type statusResponse struct {
	Host      string     `json:"host"`
	Revision  uint64     `json:"revision"`
	Current   bool       `json:"current"`
	CurrentAt *time.Time `json:"currentAt,omitempty"`
	Fork      string     `json:"fork,omitempty"`
	Platform  struct {
		State string     `json:"state"`
		Since *time.Time `json:"since,omitempty"`
	} `json:"platform"`
	Hosts       []hostStatus  `json:"hosts"`
	Drains      []drainStatus `json:"drains"`
	Moves       []config.Move `json:"moves"`
	ShiftsKnown bool          `json:"shiftsKnown"`
	Shifts      []shift       `json:"shifts"`
	Cells       int           `json:"cells"`
	Keeperless  []place.Key   `json:"keeperless"`
}

type hostStatus struct {
	member.Host
	Revision uint64 `json:"revision"`
	Known    bool   `json:"known"`
	Lagging  bool   `json:"lagging"`
}

type drainStatus struct {
	config.Drain
	Name     string `json:"name"`
	State    string `json:"state"`
	InFlight int    `json:"inFlight"`
	Overdue  bool   `json:"overdue"`
}

// progress returns the number of requests that the drain waits for, if known.
func (d drainStatus) progress() string {
	if d.State == "unknown" {
		return "work in flight not known"
	}
	return fmt.Sprintf("%d in flight", d.InFlight)
}

type shift struct {
	Name     string  `json:"name"`
	LentRate float64 `json:"lentRate"`
	CapRate  float64 `json:"capRate"`
	LentMbps float64 `json:"lentMbps"`
	CapMbps  float64 `json:"capMbps"`
	Share    float64 `json:"share"`
	Goal     float64 `json:"goal"`
}

// Execute prints the status that the host reports.
func (c *statusCommand) Execute([]string) error {
	var a statusResponse
	if err := c.session.get("/v1/status", &a); err != nil {
		return err
	}
	return c.session.print(a, func() { c.session.printStatus(a) })
}

func (s *session) printStatus(a statusResponse) {
	fmt.Fprintf(s.out, "asked %s: revision %d, %s\n", a.Host, a.Revision, currentText(a))
	if a.Fork != "" {
		fmt.Fprintln(s.out, "FORK:", a.Fork)
	}
	fmt.Fprintln(s.out, "platform:", a.Platform.State, since(a.Platform.Since))
	s.printHosts(a.Hosts)
	fmt.Fprintf(s.out, "cells: %d, without keeper: %d\n", a.Cells, len(a.Keeperless))
	for _, k := range a.Keeperless {
		fmt.Fprintln(s.out, "  ", k)
	}
	s.printDrains(a.Drains)
	s.printMoves(a.Moves)
	known := ""
	if !a.ShiftsKnown {
		known = "or more, as not every host told"
	}
	fmt.Fprintln(s.out, "shifts:", len(a.Shifts), known)
	for _, v := range a.Shifts {
		fmt.Fprintf(s.out, "  %s: at %g of %g, lent %g of %g requests/s, %g of %g Mbit/s\n",
			v.Name, v.Share, v.Goal, v.LentRate, v.CapRate, v.LentMbps, v.CapMbps)
	}
}

// currentText reports whether the host's configuration is known to be current,
// and otherwise since when it isn't.
func currentText(a statusResponse) string {
	switch {
	case a.Current:
		return "current"
	case a.CurrentAt == nil:
		return "NOT KNOWN TO BE CURRENT"
	}
	return "NOT KNOWN TO BE CURRENT " + since(a.CurrentAt)
}

func since(t *time.Time) string {
	if t == nil {
		return ""
	}
	return "since " + t.Format(time.RFC3339)
}

// printHosts prints the number of live hosts and names those whose revision lags
// or isn't known.
func (s *session) printHosts(hosts []hostStatus) {
	var lagging []string
	for _, h := range hosts {
		switch {
		case !h.Known:
			lagging = append(lagging, h.Name+" (no answer)")
		case h.Lagging:
			lagging = append(lagging, fmt.Sprintf("%s (revision %d)", h.Name, h.Revision))
		}
	}
	fmt.Fprintf(s.out, "hosts: %d live, %d lagging %s\n", len(hosts), len(lagging), strings.Join(lagging, ", "))
}

func (s *session) printDrains(list []drainStatus) {
	fmt.Fprintln(s.out, "drains:", len(list))
	for _, d := range list {
		until := "until cancelled"
		if d.Until != "" {
			until = "planned until " + d.Until
		}
		if d.Overdue {
			until += " (OVERDUE)"
		}
		fmt.Fprintf(s.out, "  %s: %s %s, %s, %s, %s\n", d.Name, d.TargetKind, d.Target, d.State, d.progress(), until)
	}
}

func (s *session) printMoves(list []config.Move) {
	fmt.Fprintln(s.out, "moves:", len(list))
	for _, m := range list {
		state := "running"
		if m.Paused {
			state = "paused"
		}
		fmt.Fprintf(s.out, "  %s: %s from %s to %s, share %g, %s\n", m.Name, m.Service, m.From, m.To, m.Share, state)
	}
}

type levelCommand struct {
	session *session
	Args    struct {
		Level string `positional-arg-name:"LEVEL" required:"true"`
	} `positional-args:"true"`
}

type levelRequest struct {
	Level string `json:"level"`
}

// Execute changes the log level of the host that responds.
func (c *levelCommand) Execute([]string) error {
	var a levelRequest
	if err := c.session.call(http.MethodPut, "/v1/log", levelRequest{c.Args.Level}, &a); err != nil {
		return err
	}
	return c.session.print(a, func() { fmt.Fprintln(c.session.out, "log level", a.Level) })
}
