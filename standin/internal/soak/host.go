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

// Ports of the hosts, which have addresses of their own.
const (
	frontPort  = 8641
	readyPort  = 8640
	lookupPort = 8644
	seedPort   = 8649
	peerPort   = 7620
)

// restartDelay is the time until an ended process is started again.
const restartDelay = 300 * time.Millisecond

// Host is an entry host: a process of hitchd that is started again whenever it ends.
type Host struct {
	Name, Region, Domain string
	// IP is the host's own loopback address, Addr and Lookup are where callers reach it.
	IP, Addr, Lookup string
	settings         string
	front, store     *Link

	stage *stage.Stage
	calm  *Calm

	mu       sync.Mutex
	life     int
	deadAt   time.Time
	down     time.Duration
	paused   int
	restored []func(time.Time)
}

// settingsForm is the platform's settings file.
const settingsForm = `node_name: %q
zone: %q
region: %q
ip: %q
zones: {%s}
listen: {front: "%s:%d", readiness: "%s:%d", directory: "%s:%d", control: "%s:%d"}
seeds: [%s]
internal_ports: [%d, %d]
bootstrap: false
limits: {cpu_share: 1, cores: 1, memory_mb: 206}
bounds: {grace_s: %g, retry_budget_ratio: %g, warmup_overrun: %g, warmup_slack: %g, ttl_max_s: 5}
platform: {address: %q}
`

// write writes the host's settings.
func (h *Host) write(dir string, domains []domain, seeds []string, b Bounds) error {
	var zones []string
	for _, d := range domains {
		zones = append(zones, fmt.Sprintf("%s: %s", d.name, d.region))
	}
	text := fmt.Sprintf(settingsForm, h.Name, h.Domain, h.Region, h.IP, strings.Join(zones, ", "), h.IP, frontPort, h.IP, readyPort, h.IP, lookupPort,
		h.IP, seedPort, strings.Join(seeds, ", "), peerPort, peerPort+1, b.Stop.Seconds(), b.RetryShare, b.ColdOverrun, b.ColdSlack, h.store.Addr())
	h.settings = filepath.Join(dir, h.Name+".yaml")
	if err := os.WriteFile(h.settings, []byte(text), 0o644); err != nil {
		return errors.Wrap(err, "write settings of "+h.Name)
	}
	return nil
}

// run keeps the process running until the context ends.
func (h *Host) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := h.stage.StartWith([]string{platform.SettingsVar + "=" + h.settings}, h.Name, "hitchd"); err != nil {
			return err
		}
		h.started(time.Now())
		// Wait's error is how the process ended, which the log tells.
		_ = h.stage.Wait(ctx, h.Name)
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
	h.life++
	h.deadAt, h.down, h.paused = time.Time{}, 0, 0
	for _, f := range h.restored {
		f(now)
	}
	h.restored = nil
}

// ended records the end of the process and returns the time until its next start.
func (h *Host) ended(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deadAt = now
	if len(h.restored) == 0 {
		fmt.Printf("%s ended by itself\n", h.Name)
	}
	return restartDelay + h.down
}

// Life returns the number of starts of the host.
func (h *Host) Life() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life
}

// deadFor returns how long the process has been dead, 0 while it runs.
func (h *Host) deadFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.deadAt.IsZero() {
		return 0
	}
	return now.Sub(h.deadAt)
}

// disturb marks the host until its next start.
func (h *Host) disturb(part string, down time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.deadAt.IsZero() {
		return false
	}
	h.down = max(h.down, down)
	h.restored = append(h.restored, h.calm.Disturb(time.Now(), part))
	return true
}

// Kill kills the process, which stays down for the time.
func (h *Host) Kill(down time.Duration) error {
	if !h.disturb(partHost(h.Name), down) {
		return nil
	}
	return h.signal(syscall.SIGKILL)
}

// signal sends a signal to the process, unless that ended meanwhile.
func (h *Host) signal(sig syscall.Signal) error {
	if err := h.stage.Signal(h.Name, sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// Stop stops the process as planned, and kills it when it takes too long.
func (h *Host) Stop(ctx context.Context, limit time.Duration) error {
	if !h.disturb(partPlanned(h.Name), 0) {
		return nil
	}
	life := h.Life()
	if err := h.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(limit):
	}
	if h.Life() != life || h.deadFor(time.Now()) > 0 {
		return nil
	}
	fmt.Printf("%s did not stop within %s\n", h.Name, limit)
	return h.signal(syscall.SIGKILL)
}

// Pause stops the process from running for the time.
func (h *Host) Pause(ctx context.Context, d time.Duration) error {
	end := h.calm.Disturb(time.Now(), partHost(h.Name))
	defer func() { end(time.Now()) }()
	life := h.pause(1)
	if err := h.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
	if h.Life() != life || h.pause(-1) != life {
		return nil
	}
	h.mu.Lock()
	last := h.paused <= 0
	h.mu.Unlock()
	if !last {
		return nil
	}
	return h.signal(syscall.SIGCONT)
}

// pause counts the pauses that overlap and returns the host's life.
func (h *Host) pause(by int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.paused += by
	return h.life
}

// Reload sends SIGHUP.
func (h *Host) Reload() error {
	end := h.calm.Disturb(time.Now(), partPlanned(h.Name))
	defer func() { end(time.Now()) }()
	return h.signal(syscall.SIGHUP)
}
