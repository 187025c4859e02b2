package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/standin/internal/stage"
)

type measureCommand struct {
	Bin            string        `long:"bin" description:"directory of the programs" default:"bin"`
	Dir            string        `long:"dir" description:"directory for keys, settings and logs" default:"measure-run"`
	Port           int           `long:"port" description:"first port of the deployment" default:"23000"`
	HostsPerDomain int           `long:"hosts-per-domain" description:"entry hosts in each of the six failure domains" default:"1"`
	For            time.Duration `long:"for" description:"time over which is measured" default:"20s"`
	ctx            context.Context
}

// settleTime is the time before the measurement in which leases and assignments
// become stable.
const settleTime = 10 * time.Second

// Execute measures the overhead of hosts without callers: their processor time and
// resident memory, and the calls to the platform's table.
func (c *measureCommand) Execute([]string) error {
	d := deployments["pall"]
	d.Port, d.HostsPerDomain = c.Port, c.HostsPerDomain
	s, err := startDeployment(c.ctx, c.Bin, c.Dir, d)
	if err != nil {
		return err
	}
	defer s.Close()
	sleep(c.ctx, settleTime)
	before, err := readUsage(c.ctx, s, d)
	if err != nil {
		return err
	}
	sleep(c.ctx, c.For)
	after, err := readUsage(c.ctx, s, d)
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	var share, memory []float64
	for n := range after.processor {
		share = append(share, 100*(after.processor[n]-before.processor[n]).Seconds()/seconds)
		memory = append(memory, float64(after.resident[n])/(1<<20))
	}
	fmt.Printf("hosts %d: processor share median %.2f%% max %.2f%% of a core, resident median %.1f MB max %.1f MB, table %.1f reads/s %.1f writes/s\n",
		len(share), median(share), slices.Max(share), median(memory), slices.Max(memory),
		float64(after.reads-before.reads)/seconds, float64(after.writes-before.writes)/seconds)
	return nil
}

// usage holds, at one time, the cumulative processor time and the resident memory
// in bytes of each host, and the cumulative calls to the table.
type usage struct {
	at            time.Time
	processor     map[string]time.Duration
	resident      map[string]int64
	reads, writes int64
}

// readUsage reads the usage of the hosts from /proc and the calls to the table from
// the platform stand-in.
func readUsage(ctx context.Context, s *stage.Processes, d stage.Deployment) (usage, error) {
	u := usage{at: time.Now(), processor: make(map[string]time.Duration), resident: make(map[string]int64)}
	for _, h := range d.Hosts() {
		pid, err := s.PID(h.Name)
		if err != nil {
			return u, err
		}
		if u.processor[h.Name], u.resident[h.Name], err = readProcess(pid); err != nil {
			return u, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.Platform()+"/standin/counts", nil)
	if err != nil {
		return u, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return u, errors.Wrap(err, "read counts of platform")
	}
	defer res.Body.Close()
	var counts struct {
		Reads  int64 `json:"reads"`
		Writes int64 `json:"writes"`
	}
	err = json.NewDecoder(res.Body).Decode(&counts)
	u.reads, u.writes = counts.Reads, counts.Writes
	return u, err
}

// Units and fields of /proc.
const (
	clockTick = 10 * time.Millisecond
	pageSize  = 4096
	// statFields is the number of fields in /proc/PID/stat between the name in
	// parentheses and utime.
	statFields = 11
)

// readProcess returns the processor time, user and system, and the resident memory
// of a process in bytes.
func readProcess(pid int) (time.Duration, int64, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, errors.Wrap(err, "read processor time")
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < statFields+2 {
		return 0, 0, errors.Errorf("read processor time of process %d: got %d fields, want at least %d", pid, len(fields), statFields+2)
	}
	user, _ := strconv.Atoi(fields[statFields])
	system, _ := strconv.Atoi(fields[statFields+1])
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, 0, errors.Wrap(err, "read memory")
	}
	pages, _ := strconv.ParseInt(strings.Fields(string(statm))[1], 10, 64)
	return time.Duration(user+system) * clockTick, pages * pageSize, nil
}

// median returns the upper median of a list that isn't empty, and sorts the list.
func median(v []float64) float64 {
	slices.Sort(v)
	return v[len(v)/2]
}

// sleep waits for a time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
