package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/platform"
	"magnoliahitch/standin/internal/stage"
)

// Ports of the hosts. All hosts use the same ones, as each has its own IP address.
const (
	frontPort  = 8641
	readyPort  = 8640
	lookupPort = 8644
	seedPort   = 8649
	peerPort   = 7620
)

// restartDelay is the minimum time between the exit of a process and its
// restart. It is also the interval of readiness checks.
const restartDelay = 300 * time.Millisecond

// Host is an entry host: a process of hitchd that is restarted whenever it exits.
type Host struct {
	Name, Region, Domain string
	// IP is the host's own loopback address. Addr is the address that lookups
	// return for it, Lookup that of its directory service.
	IP, Addr, Lookup string
	settings         string
	front, store     *Link

	ledger       *Ledger
	processes    *stage.Processes
	disturbances *Disturbances

	mu              sync.Mutex
	starts          int
	endedAt         time.Time
	extraDowntime   time.Duration
	pauses          int
	endDisturbances []func(time.Time)
}

// settingsTemplate is the template of the settings file that the platform gives a host.
const settingsTemplate = `node_name: %q
zone: %q
region: %q
ip: %q
zones: {%s}
listen: {front: "%s:%d", readiness: "%s:%d", directory: "%s:%d", control: "%s:%d"}
seeds: [%s]
internal_ports: [%d, %d]
bootstrap: false
limits: {cpu_share: 1, cores: 1, memory_mb: 206}
bounds: {grace_s: %g, drain_s: %g, apply_s: %g, contact_s: %g, retry_budget_ratio: %g, budget_slack: %g, warmup_overrun: %g, warmup_slack: %g, ttl_max_s: 5}
platform: {address: %q}
`

// writeSettings writes the host's settings.
func (h *Host) writeSettings(dir string, domains []domain, seeds []string, b Bounds) error {
	var zones []string
	for _, d := range domains {
		zones = append(zones, fmt.Sprintf("%s: %s", d.name, d.region))
	}
	text := fmt.Sprintf(settingsTemplate, h.Name, h.Domain, h.Region, h.IP, strings.Join(zones, ", "), h.IP, frontPort, h.IP, readyPort, h.IP, lookupPort,
		h.IP, seedPort, strings.Join(seeds, ", "), peerPort, peerPort+1, b.StopTimeout.Seconds(), b.Drain.Seconds(), b.Apply.Seconds(), b.QuietPeriod.Seconds(), b.RetryShare, b.RetrySlack, b.WarmUpOverrun, b.WarmUpSlack, h.store.Addr())
	h.settings = filepath.Join(dir, h.Name+".yaml")
	if err := os.WriteFile(h.settings, []byte(text), 0o644); err != nil {
		return errors.Wrap(err, "write settings of "+h.Name)
	}
	return nil
}

// run starts the process and restarts it whenever it exits, until the context ends.
func (h *Host) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := h.processes.StartWith([]string{platform.SettingsVar + "=" + h.settings}, h.Name, "hitchd"); err != nil {
			return err
		}
		h.started(time.Now())
		// Wait's error says how the process exited, which its log shows as well.
		_ = h.processes.Wait(ctx, h.Name)
		if ctx.Err() != nil {
			return nil
		}
		sleep(ctx, h.ended(time.Now()))
	}
	return nil
}

func (h *Host) started(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	h.endedAt, h.extraDowntime, h.pauses = time.Time{}, 0, 0
	for _, f := range h.endDisturbances {
		f(now)
	}
	h.endDisturbances = nil
}

// ended records the exit of the process and returns the delay until its next start.
func (h *Host) ended(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endedAt = now
	if len(h.endDisturbances) == 0 {
		h.ledger.Exited(now, h.Name)
	}
	return restartDelay + h.extraDowntime
}

// Starts returns how often the host's process was started; it identifies the current start.
func (h *Host) Starts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts
}

// downFor returns the time since the process exited, 0 while it runs.
func (h *Host) downFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.endedAt.IsZero() {
		return 0
	}
	return now.Sub(h.endedAt)
}

// disturb records the part as disturbed until the host's next start, which
// is delayed by at least the downtime. It reports false when the host is down already.
func (h *Host) disturb(part string, down time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.endedAt.IsZero() {
		return false
	}
	h.extraDowntime = max(h.extraDowntime, down)
	h.endDisturbances = append(h.endDisturbances, h.disturbances.Disturb(time.Now(), part))
	return true
}

// Kill sends SIGKILL to the process, which is restarted after the downtime. It
// does nothing when the process is down.
func (h *Host) Kill(down time.Duration) error {
	if !h.disturb(partHost(h.Name), down) {
		return nil
	}
	return h.signal(syscall.SIGKILL)
}

// signal sends a signal to the process. It is no error if the process has exited meanwhile.
func (h *Host) signal(sig syscall.Signal) error {
	if err := h.processes.Signal(h.Name, sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// Stop sends SIGTERM to the process, and SIGKILL if it still runs after the timeout.
func (h *Host) Stop(ctx context.Context, timeout time.Duration) error {
	if !h.disturb(partPlanned(h.Name), 0) {
		return nil
	}
	starts := h.Starts()
	if err := h.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(timeout):
	}
	if h.Starts() != starts || h.downFor(time.Now()) > 0 {
		return nil
	}
	fmt.Printf("%s did not stop within %s\n", h.Name, timeout)
	return h.signal(syscall.SIGKILL)
}

// Pause suspends the process with SIGSTOP and resumes it with SIGCONT after d,
// unless another pause is in progress then or the process was restarted.
func (h *Host) Pause(ctx context.Context, d time.Duration) error {
	for _, part := range []string{partHost(h.Name), partProcess(h.Name)} {
		end := h.disturbances.Disturb(time.Now(), part)
		defer func() { end(time.Now()) }()
	}
	return h.suspend(ctx, d)
}

// A starved process gets from leastShare to mostShare of each starvePeriod.
const (
	starvePeriod          = 100 * time.Millisecond
	leastShare, mostShare = 0.03, 0.3
)

// Starve lets the process run in short turns only for the duration d. Share, from 0 to 1, is
// how much of the processor it lacks.
func (h *Host) Starve(ctx context.Context, d time.Duration, share float64) error {
	end := h.disturbances.Disturb(time.Now(), partSlow(h.Name))
	defer func() { end(time.Now()) }()
	turn := time.Duration((mostShare - share*(mostShare-leastShare)) * float64(starvePeriod))
	for until := time.Now().Add(d); time.Now().Before(until) && ctx.Err() == nil; sleep(ctx, turn) {
		if err := h.suspend(ctx, starvePeriod-turn); err != nil {
			return err
		}
	}
	return nil
}

// suspend stops the process and lets it go on after d, unless another pause is in progress
// then or the process was restarted.
func (h *Host) suspend(ctx context.Context, d time.Duration) error {
	starts := h.countPause(1)
	if err := h.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
	if h.Starts() != starts || h.countPause(-1) != starts {
		return nil
	}
	h.mu.Lock()
	last := h.pauses <= 0
	h.mu.Unlock()
	if !last {
		return nil
	}
	return h.signal(syscall.SIGCONT)
}

// countPause adds by to the number of pauses in progress and returns the host's number of starts.
func (h *Host) countPause(by int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pauses += by
	return h.starts
}

// Reload sends SIGHUP to the process.
func (h *Host) Reload() error {
	end := h.disturbances.Disturb(time.Now(), partPlanned(h.Name))
	defer func() { end(time.Now()) }()
	return h.signal(syscall.SIGHUP)
}
