package main

import (
	"context"
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

func TestSignalsChangeTheLevelOfEveryLogger(t *testing.T) {
	for _, c := range []struct {
		signal os.Signal
		want   hclog.Level
	}{{syscall.SIGUSR1, hclog.Debug}, {syscall.SIGUSR2, hclog.Warn}} {
		log := hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: io.Discard})
		part := log.Named("part")
		ctx, cancel := context.WithCancel(t.Context())
		signals, done := make(chan os.Signal), make(chan error)
		go func() { done <- changeLevel(ctx, log, signals) }()
		signals <- c.signal
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		if got := part.GetLevel(); got != c.want {
			t.Errorf("%v: got level %v, want %v", c.signal, got, c.want)
		}
	}
}

func TestNextLevelStaysWithinTraceAndError(t *testing.T) {
	for _, c := range []struct {
		from hclog.Level
		more bool
		want hclog.Level
	}{
		{hclog.Info, true, hclog.Debug},
		{hclog.Trace, true, hclog.Trace},
		{hclog.Info, false, hclog.Warn},
		{hclog.Error, false, hclog.Error},
		{hclog.Off, true, hclog.Error},
	} {
		if got := nextLevel(c.from, c.more); got != c.want {
			t.Errorf("nextLevel(%v, %v): got %v, want %v", c.from, c.more, got, c.want)
		}
	}
}

// BenchmarkDecisionLine measures one log line with the fields of a decision.
func BenchmarkDecisionLine(b *testing.B) {
	line := func(l hclog.Logger, i int) {
		l.Info("placement", "request", "r-1", "cell", i, "server", "s1", "waited", time.Duration(i))
	}
	b.Run("off and guarded", func(b *testing.B) {
		l := hclog.New(&hclog.LoggerOptions{Level: hclog.Warn, Output: io.Discard})
		b.ReportAllocs()
		for i := range b.N {
			if l.IsInfo() {
				line(l, i)
			}
		}
	})
	b.Run("off", func(b *testing.B) {
		l := hclog.New(&hclog.LoggerOptions{Level: hclog.Warn, Output: io.Discard})
		b.ReportAllocs()
		for i := range b.N {
			line(l, i)
		}
	})
	for _, json := range []bool{false, true} {
		name := map[bool]string{false: "text", true: "json"}[json]
		b.Run(name, func(b *testing.B) {
			l := hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: io.Discard, JSONFormat: json})
			b.ReportAllocs()
			for i := range b.N {
				line(l, i)
			}
		})
	}
}
