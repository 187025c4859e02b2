package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/standin/internal/stage"
	"magnoliahitch/standin/internal/trace"
)

// Durations of faults.
const (
	// stopLimit is the longest time that a graceful stop may take.
	stopLimit = 30 * time.Second
	// slowStore is the delay of each call to a slow store.
	slowStore = 2 * time.Second
)

// faultInjector applies the faults of a trace to the processes of a deployment. It
// is safe for concurrent use.
type faultInjector struct {
	stage      *stage.Processes
	deployment stage.Deployment
	// stopFailures is the number of graceful stops that failed.
	stopFailures atomic.Int64

	mu sync.Mutex
	// signalledKeepers maps each cell to the host that last got a signal as its
	// keeper, which may have lost the lease since.
	signalledKeepers map[string]string
}

// signalKeeper sends a signal to the keeper of the cell, given as REGION/SERVICE.
func (i *faultInjector) signalKeeper(cell string, sig syscall.Signal) error {
	region, service, _ := strings.Cut(cell, "/")
	out, err := i.runHitchctl("--json", "explain", service, "--region", region)
	if err != nil {
		return err
	}
	var explained struct {
		Keeper string `json:"keeper"`
	}
	if err := json.Unmarshal(out, &explained); err != nil {
		return errors.Wrapf(err, "find keeper of %s", cell)
	}
	i.mu.Lock()
	i.signalledKeepers[cell] = explained.Keeper
	i.mu.Unlock()
	fmt.Printf("%s: keeper %s of %s\n", sig, explained.Keeper, cell)
	return i.stage.Signal(explained.Keeper, sig)
}

// signalledKeeper returns the host that last got a signal as keeper of the cell.
func (i *faultInjector) signalledKeeper(cell string) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.signalledKeepers[cell]
}

// Inject applies one fault. Only a graceful stop is awaited; a signalled or started
// process may react later.
func (i *faultInjector) Inject(ctx context.Context, f trace.Fault) error {
	switch f.Kind {
	case trace.FaultKill:
		return i.stage.Signal(f.Target, syscall.SIGKILL)
	case trace.FaultPause:
		return i.stage.Signal(f.Target, syscall.SIGSTOP)
	case trace.FaultResume:
		return i.stage.Signal(f.Target, syscall.SIGCONT)
	case trace.FaultStop:
		return i.stop(ctx, f.Target)
	case trace.FaultStart:
		return i.start(f.Target)
	case trace.FaultDrain:
		return i.declareDrain(f.Target)
	case trace.FaultCancelDrain:
		_, err := i.runHitchctl("drain", "cancel", "drain-"+f.Target, "--reason", "trace")
		return err
	case trace.FaultStoreDown:
		return i.setStoreFault(ctx, `{"down":true}`)
	case trace.FaultStoreSlow:
		return i.setStoreFault(ctx, fmt.Sprintf(`{"delayMs":%d}`, slowStore.Milliseconds()))
	case trace.FaultStoreUp:
		return i.setStoreFault(ctx, `{}`)
	case trace.FaultKillKeeper:
		return i.signalKeeper(f.Target, syscall.SIGKILL)
	case trace.FaultPauseKeeper:
		return i.signalKeeper(f.Target, syscall.SIGSTOP)
	case trace.FaultResumeKeeper:
		return i.stage.Signal(i.signalledKeeper(f.Target), syscall.SIGCONT)
	case trace.FaultKillRegion:
		return i.killRegion(f.Target)
	}
	return errors.Errorf("apply fault: unknown kind %q", f.Kind)
}

// stop stops a process by SIGTERM and waits until it has exited. An exit code other
// than 0 and a stop that takes longer than stopLimit are failures.
func (i *faultInjector) stop(ctx context.Context, name string) error {
	if err := i.stage.Signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	err := i.stage.Wait(ctx, name)
	if err != nil {
		i.stopFailures.Add(1)
	}
	return err
}

// start starts the named host or upstream server.
func (i *faultInjector) start(name string) error {
	for _, h := range i.deployment.Hosts() {
		if h.Name == name {
			return i.stage.StartHost(h)
		}
	}
	for _, u := range i.deployment.Servers() {
		if u.Name == name {
			return i.stage.StartServer(u)
		}
	}
	return errors.Errorf("start %s: no such host or server", name)
}

// declareDrain declares the drain of a server, a failure domain or a region.
func (i *faultInjector) declareDrain(target string) error {
	path := filepath.Join(i.stage.Dir, "drain-"+target+".ini")
	text := fmt.Sprintf("[drain drain-%s]\ntargetKind = %s\ntarget = %s\ncapRate = %d\ncapMbps = 100\n",
		target, i.targetKind(target), target, shiftRate)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return errors.Wrap(err, "write drain")
	}
	_, err := i.runHitchctl("apply", "--file", path, "--reason", "trace")
	return err
}

// targetKind returns the kind of a drain's target: region, domain or server.
func (i *faultInjector) targetKind(target string) string {
	for _, r := range i.deployment.Regions {
		if r == target {
			return "region"
		}
	}
	for _, h := range i.deployment.Hosts() {
		if h.Domain == target {
			return "domain"
		}
	}
	return "server"
}

// runHitchctl runs hitchctl against the hosts in turn until one run succeeds. It
// returns the output, or the error of the last run.
func (i *faultInjector) runHitchctl(args ...string) ([]byte, error) {
	var last error
	for _, h := range i.deployment.Hosts() {
		out, err := i.stage.RunHitchctl(h, args...)
		if err == nil {
			return out, nil
		}
		last = err
	}
	return nil, last
}

// setStoreFault replaces the faults of the platform stand-in by those in the JSON
// object.
func (i *faultInjector) setStoreFault(ctx context.Context, fault string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, i.deployment.Platform()+"/standin/fault", strings.NewReader(fault))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "set fault at platform")
	}
	return res.Body.Close()
}

// killRegion kills every host and upstream server of a region.
func (i *faultInjector) killRegion(region string) error {
	for _, h := range i.deployment.Hosts() {
		if h.Region == region {
			if err := i.stage.Signal(h.Name, syscall.SIGKILL); err != nil {
				return err
			}
		}
	}
	for _, u := range i.deployment.Servers() {
		if u.Region == region {
			if err := i.stage.Signal(u.Name, syscall.SIGKILL); err != nil {
				return err
			}
		}
	}
	return nil
}
