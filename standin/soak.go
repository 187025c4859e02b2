package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/standin/internal/soak"
)

type soakCommand struct {
	Bin     string        `long:"bin" description:"directory of the programs" default:"bin"`
	Dir     string        `long:"dir" description:"directory for settings and logs" default:"soak-run"`
	Seed    []uint64      `long:"seed" description:"seed of a run; may be repeated; without one a fresh seed is drawn"`
	Net     int           `long:"net" description:"second byte of the loopback addresses; runs side by side need different ones" default:"40"`
	Hosts   int           `long:"hosts" description:"hosts in each of the six failure domains" default:"2"`
	Callers int           `long:"callers" description:"callers in each failure domain" default:"5"`
	Calm    time.Duration `long:"calm" description:"time before the first fault" default:"5s"`
	Faults  time.Duration `long:"faults" description:"time during which faults come" default:"20s"`
	ctx     context.Context
}

// errBroken reports that an invariant was violated in at least one run.
var errBroken = errors.New("invariants were violated")

// Execute runs each seed and prints the violations of invariants. Without a seed it
// uses one from the clock.
func (c *soakCommand) Execute([]string) error {
	if len(c.Seed) == 0 {
		c.Seed = []uint64{uint64(time.Now().UnixNano())}
	}
	broken := false
	for _, seed := range c.Seed {
		o := soak.Options{
			Seed: seed, Bin: c.Bin, Dir: filepath.Join(c.Dir, fmt.Sprint(seed)), Net: c.Net, HostsPerDomain: c.Hosts, CallersPerDomain: c.Callers,
			Calm: c.Calm, Faults: c.Faults,
		}
		if err := os.RemoveAll(o.Dir); err != nil {
			return errors.Wrap(err, "clear directory")
		}
		if err := os.MkdirAll(o.Dir, 0o755); err != nil {
			return errors.Wrap(err, "make directory")
		}
		fmt.Println("seed", seed)
		totals, violations, err := soak.Run(c.ctx, o)
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		for _, v := range violations {
			fmt.Printf("broken %s at %s: request %s, host %s: %s\n", v.Invariant, v.At.Format("15:04:05.000"), v.Request, v.Host, v.Detail)
		}
		fmt.Printf("seed %d: %+v\n", seed, totals)
		broken = broken || len(violations) > 0
	}
	if broken {
		return errBroken
	}
	return nil
}
