package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
)

// runLevel makes the log one level more verbose at each SIGUSR1 and one level less
// verbose at each SIGUSR2, until the context ends.
func runLevel(ctx context.Context, log hclog.Logger) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	defer signal.Stop(signals)
	return changeLevel(ctx, log, signals)
}

// changeLevel changes the log level at each signal until the context ends. The
// change is logged at level info, or at the new level if that is higher.
func changeLevel(ctx context.Context, log hclog.Logger, signals <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-signals:
			to := nextLevel(log.GetLevel(), s == syscall.SIGUSR1)
			log.SetLevel(to)
			log.Log(max(to, hclog.Info), "log level changed", "level", to.String())
		}
	}
}

// nextLevel returns the next level, more verbose or less, within trace to error.
func nextLevel(l hclog.Level, more bool) hclog.Level {
	if more {
		return max(l-1, hclog.Trace)
	}
	return min(l+1, hclog.Error)
}
