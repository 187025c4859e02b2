package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/standin/internal/judge"
	"magnoliahitch/standin/internal/play"
	"magnoliahitch/standin/internal/serve"
	"magnoliahitch/standin/internal/stage"
	"magnoliahitch/standin/internal/trace"
)

// startTimeout is the longest time until every host serves every service.
const startTimeout = 30 * time.Second

type demoCommand struct {
	Bin        string `long:"bin" description:"directory of the programs" default:"bin"`
	Dir        string `long:"dir" description:"directory for keys, settings and logs" default:"demo-run"`
	Port       int    `long:"port" description:"first port of the deployment" default:"17000"`
	Trace      string `long:"trace" description:"recorded trace" default:"traces/demo.jsonl"`
	Deployment string `long:"deployment" description:"pall or lens" default:"pall"`
	ctx        context.Context
}

// errOutcomes reports that a measure was out of the bounds of its outcome.
var errOutcomes = errors.New("not every outcome is as expected")

// Execute runs the deployment, replays the trace and checks its expected outcomes.
func (c *demoCommand) Execute([]string) error {
	lines, err := readTrace(c.Trace)
	if err != nil {
		return err
	}
	d, ok := deployments[c.Deployment]
	if !ok {
		return errors.Errorf("--deployment %s: want pall or lens", c.Deployment)
	}
	d.Port = c.Port
	s, err := startDeployment(c.ctx, c.Bin, c.Dir, d)
	if err != nil {
		return err
	}
	defer s.Close()
	injector := &faultInjector{stage: s, deployment: d, signalledKeepers: make(map[string]string)}
	result := play.Run(c.ctx, lines, callers(d), injector)
	if err := c.ctx.Err(); err != nil {
		return errors.Wrap(err, "replay trace")
	}
	return report(lines, s, injector, result)
}

// startDeployment starts a deployment with its files in an empty directory, and
// waits until every host serves. It deletes what dir contains. The calling code
// ends the processes with Close.
func startDeployment(ctx context.Context, bin, dir string, d stage.Deployment) (*stage.Processes, error) {
	if err := os.RemoveAll(dir); err != nil {
		return nil, errors.Wrap(err, "clear directory")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "make directory")
	}
	s := stage.New(ctx, bin, dir)
	for _, step := range []func() error{
		func() error { return s.WriteFiles(d) },
		func() error { return s.StartAll(d) },
		func() error { return waitServing(ctx, s, d) },
	} {
		if err := step(); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

// callers returns the callers of each region. They send lookups to the hosts of
// their own region first.
func callers(d stage.Deployment) map[string]*play.Caller {
	out := make(map[string]*play.Caller)
	for _, r := range d.Regions {
		var local, remote []string
		for _, h := range d.Hosts() {
			if h.Region == r {
				local = append(local, h.Caller)
			} else {
				remote = append(remote, h.Caller)
			}
		}
		out[r] = play.NewCaller(r, d.CallerIP(r), append(local, remote...))
	}
	return out
}

// report writes the callers' records and prints tables of the latencies and
// outcomes. It fails if a fault couldn't be applied or an outcome isn't as expected.
func report(lines []trace.Line, s *stage.Processes, injector *faultInjector, result play.Result) error {
	e, err := collectEvidence(s, injector, result)
	if err != nil {
		return err
	}
	if err := writeRecords(filepath.Join(s.Dir, "records.jsonl"), result.Records); err != nil {
		return err
	}
	verdicts, err := judge.Check(lines, e)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tANSWERED\tP50\tP99\tP99.9\t")
	latencies := judge.Latencies(e)
	for _, n := range slices.Sorted(maps.Keys(latencies)) {
		h := latencies[n]
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t\n", n, h.TotalCount(), micros(h.ValueAtQuantile(50)), micros(h.ValueAtQuantile(99)), micros(h.ValueAtQuantile(99.9)))
	}
	fmt.Fprintln(w, "\nOUTCOME\tSERVICE\tGOT\tWANT\t")
	failed := false
	for _, v := range verdicts {
		verdict := "pass"
		if !v.Pass {
			verdict, failed = "FAIL", true
		}
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%s\t%s\n", v.Outcome.Measure, v.Outcome.Service, v.Got, want(v.Outcome), verdict)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, ev := range result.Events {
		if ev.Err != nil {
			return errors.Wrapf(ev.Err, "fault %s %s", ev.Fault.Kind, ev.Fault.Target)
		}
	}
	if failed {
		return errOutcomes
	}
	return nil
}

// writeRecords writes the callers' records as JSON lines, for the analysis of a
// failed outcome.
func writeRecords(path string, records []play.Record) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write records")
	}
	defer f.Close()
	e := json.NewEncoder(f)
	for _, r := range records {
		if err := e.Encode(r); err != nil {
			return errors.Wrap(err, "write records")
		}
	}
	return f.Close()
}

// micros converts a number of microseconds.
func micros(v int64) time.Duration { return time.Duration(v) * time.Microsecond }

// want describes the bounds of an outcome.
func want(o trace.Outcome) string {
	switch {
	case o.Min != nil && o.Max != nil:
		return fmt.Sprintf("%g to %g", *o.Min, *o.Max)
	case o.Min != nil:
		return fmt.Sprintf("at least %g", *o.Min)
	case o.Max != nil:
		return fmt.Sprintf("at most %g", *o.Max)
	}
	return "anything"
}

// collectEvidence reads the runs that the upstream servers recorded. A server
// without a file has no runs.
func collectEvidence(s *stage.Processes, injector *faultInjector, result play.Result) (judge.Evidence, error) {
	e := judge.Evidence{
		Result:       result,
		Runs:         make(map[string][]serve.Run),
		Regions:      make(map[string]string),
		Services:     make(map[string]string),
		StopFailures: int(injector.stopFailures.Load()),
		ShiftRate:    shiftRate,
	}
	for _, u := range injector.deployment.Servers() {
		e.Regions[u.Name], e.Services[u.Name] = u.Region, u.Service
		f, err := os.Open(filepath.Join(s.Dir, u.Name+".runs"))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return e, errors.Wrap(err, "open runs")
		}
		e.Runs[u.Name], err = judge.ReadRuns(f)
		_ = f.Close()
		if err != nil {
			return e, err
		}
	}
	return e, nil
}

// waitServing uploads the block table, applies the records and waits until a call of
// every service through every host succeeds.
func waitServing(ctx context.Context, s *stage.Processes, d stage.Deployment) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	hosts := d.Hosts()
	if err := until(ctx, func() error { return d.UploadBlockTable(ctx) }); err != nil {
		return err
	}
	if err := until(ctx, func() error {
		_, err := s.RunHitchctl(hosts[0], "apply", "--file", s.RecordsFile(), "--reason", "first configuration")
		return err
	}); err != nil {
		return errors.Wrap(err, "apply records")
	}
	for _, h := range hosts {
		for _, u := range d.Services {
			if err := until(ctx, func() error { return callOnce(ctx, h.Caller, u.Name) }); err != nil {
				return errors.Wrapf(err, "wait for host %s", h.Name)
			}
		}
	}
	return nil
}

// pollInterval is the time between two calls of a polled function.
const pollInterval = 100 * time.Millisecond

// until calls f until it succeeds. When the context ends first, it returns the error
// of the last call.
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
