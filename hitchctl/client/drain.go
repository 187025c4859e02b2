package client

import (
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/steer/config"
)

func drainCommands(s *session) []Command {
	return []Command{
		{"declare", "take a server, failure domain or region out of work", &drainDeclare{changeOptions: changeOptions{session: s}}},
		{"list", "list drains and their progress", &drainList{session: s}},
		{"cancel", "give a drained target work again", &removeCommand{changeOptions: changeOptions{session: s}, kind: config.KindDrain}},
	}
}

type drainDeclare struct {
	changeOptions
	Server    string        `long:"server" description:"server to drain" value-name:"NAME"`
	Domain    string        `long:"domain" description:"failure domain to drain" value-name:"NAME"`
	Region    string        `long:"region" description:"region to drain" value-name:"NAME"`
	CapRate   float64       `long:"cap-rate" description:"cap of the shifted traffic in requests/s" value-name:"N"`
	CapMbps   float64       `long:"cap-mbps" description:"cap of the shifted traffic in Mbit/s" value-name:"N"`
	StepShare float64       `long:"step-share" description:"part of a region's traffic that each step sends away; the default is 0.25" value-name:"N"`
	Step      time.Duration `long:"step" description:"least time between two steps; the default is 1s" value-name:"TIME"`
	For       time.Duration `long:"for" description:"planned length; the drain itself ends when it is cancelled" value-name:"TIME"`
	Args      nameArgument  `positional-args:"true"`
}

// record returns the drain that the options declare. Exactly one target must be
// given.
func (c *drainDeclare) record() (config.Drain, error) {
	d := config.Drain{Name: c.Args.Name, CapRate: c.CapRate, CapMbps: c.CapMbps, StepShare: c.StepShare, StepMs: int(c.Step.Milliseconds())}
	given := 0
	for kind, target := range map[config.TargetKind]string{config.TargetServer: c.Server, config.TargetDomain: c.Domain, config.TargetRegion: c.Region} {
		if target != "" {
			d.TargetKind, d.Target = kind, target
			given++
		}
	}
	if given != 1 {
		return d, withExitCode(ExitUsage, errors.New("want one of --server, --domain and --region"))
	}
	if c.For > 0 {
		d.Until = time.Now().Add(c.For).UTC().Format(time.RFC3339)
	}
	return d, nil
}

// Execute declares the drain, and with --wait waits until the target is drained.
// A drain of that name must not exist, unless --write-id repeats its declaration.
func (c *drainDeclare) Execute([]string) error {
	d, err := c.record()
	if err != nil {
		return err
	}
	a, err := c.session.current()
	if err != nil {
		return err
	}
	exists := slices.ContainsFunc(a.Records.Drains, func(o config.Drain) bool { return o.Name == d.Name })
	if exists && c.WriteID == "" {
		return withExitCode(ExitConflict, errors.Errorf("drain %s is declared already; choose another name or cancel it first", d.Name))
	}
	begin := time.Now()
	if err := c.send(a.Revision, config.Records{Drains: []config.Drain{d}}, nil); err != nil || !c.Wait {
		return err
	}
	return c.session.waitDrained(d.Name, c.Timeout-time.Since(begin))
}

// waitDrained waits until the drain's target has no requests in flight. It fails
// if the drain is cancelled meanwhile.
func (s *session) waitDrained(name string, limit time.Duration) error {
	err := s.until(limit, func() (string, error) {
		var a statusResponse
		if err := s.get("/v1/status", &a); err != nil {
			return "", err
		}
		i := slices.IndexFunc(a.Drains, func(d drainStatus) bool { return d.Name == name })
		switch {
		case i < 0:
			return "", withExitCode(ExitConflict, errors.Errorf("drain %s was cancelled", name))
		case a.Drains[i].State == "drained":
			return "", nil
		}
		return fmt.Sprintf("drain %s is %s, %s", name, a.Drains[i].State, a.Drains[i].progress()), nil
	})
	if err == nil && !s.JSON {
		fmt.Fprintf(s.out, "drain %s: drained\n", name)
	}
	return err
}

type drainList struct{ session *session }

// Execute lists the drains with their progress.
func (c *drainList) Execute([]string) error {
	var a statusResponse
	if err := c.session.get("/v1/status", &a); err != nil {
		return err
	}
	return c.session.print(a.Drains, func() { c.session.printDrains(a.Drains) })
}
