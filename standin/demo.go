package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/standin/internal/stage"
)

// startTimeout bounds the time until every host serves.
const startTimeout = 30 * time.Second

type demoCommand struct {
	Bin  string `long:"bin" description:"directory of the programs" default:"bin"`
	Dir  string `long:"dir" description:"directory for keys, settings and logs" default:"demo-run"`
	Port int    `long:"port" description:"first port of the deployment" default:"17000"`
	ctx  context.Context
}

// smallPall is the pall lending deployment in small.
var smallPall = stage.Deployment{
	Regions: []string{"montevideo", "litoral", "norte"},
	Services: []stage.Service{
		{Name: "inventory", Profile: "latency", Class: "interactive"},
		{Name: "reservations", Profile: "latency", Class: "booking"},
		{Name: "care", Profile: "latency", Class: "interactive"},
		{Name: "returns", Profile: "latency", Class: "booking"},
	},
	ServersPerCell: 2,
	HostsPerDomain: 1,
	Profiles: `[profile latency]
queueWaitMs = 200
reserveShare = 0.2
retryShare = 0.1
shiftRate = 100
shiftMbps = 100
slowStartMs = 1000
ejectShare = 0.5
lookupTtlMs = 1000
`,
}

// Execute runs the deployment and checks its outcomes.
func (c *demoCommand) Execute([]string) error {
	if err := os.RemoveAll(c.Dir); err != nil {
		return errors.Wrap(err, "clear demo directory")
	}
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return errors.Wrap(err, "make demo directory")
	}
	s := stage.New(c.ctx, c.Bin, c.Dir)
	defer s.Close()
	d := smallPall
	d.Port = c.Port
	if err := s.Write(d); err != nil {
		return err
	}
	if err := s.StartAll(d); err != nil {
		return err
	}
	if err := waitServing(c.ctx, s, d); err != nil {
		return err
	}
	return callEach(c.ctx, d)
}

// waitServing applies the records and waits until every host serves them.
func waitServing(ctx context.Context, s *stage.Stage, d stage.Deployment) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	hosts := d.Hosts()
	if err := until(ctx, func() error {
		_, err := s.Operate(hosts[0], "apply", "--file", s.RecordsFile(), "--reason", "first configuration")
		return err
	}); err != nil {
		return errors.Wrap(err, "apply records")
	}
	for _, h := range hosts {
		if err := until(ctx, func() error {
			_, err := lookup(ctx, h.Caller, d.Services[0].Name)
			return err
		}); err != nil {
			return errors.Wrapf(err, "wait for host %s", h.Name)
		}
	}
	return nil
}

// pollInterval is the time between two tries of a condition.
const pollInterval = 100 * time.Millisecond

// until tries f until it succeeds or the context ends.
func until(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// callEach calls each service through each host.
func callEach(ctx context.Context, d stage.Deployment) error {
	for _, h := range d.Hosts() {
		for _, s := range d.Services {
			if err := callOnce(ctx, h.Caller, s.Name); err != nil {
				return err
			}
		}
	}
	fmt.Println("each service answered through each host: pass")
	return nil
}

func callOnce(ctx context.Context, host, service string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/service/"+service+"/item?size=100", nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "call host %s", host)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK || res.ContentLength != 100 {
		return errors.Errorf("call %s at host %s: status %d, %s", service, host, res.StatusCode, res.Header.Get("Hitch-Reason"))
	}
	return nil
}
