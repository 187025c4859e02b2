package main

import (
	"context"
	"io"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"magnoliahitch/standin/internal/serve"
)

type upstreamCommand struct {
	Servers []string      `long:"server" description:"name=address of a server; may be repeated" required:"true"`
	Work    time.Duration `long:"work" description:"time that a request takes" default:"5ms"`
	Runs    string        `long:"runs" description:"file to which each run is appended"`
	ctx     context.Context
}

// Execute serves the upstream servers until the context ends or one of them fails.
func (c *upstreamCommand) Execute([]string) error {
	runs := io.Discard
	if c.Runs != "" {
		f, err := os.OpenFile(c.Runs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return errors.Wrap(err, "open runs")
		}
		defer f.Close()
		runs = f
	}
	g, ctx := errgroup.WithContext(c.ctx)
	for _, s := range c.Servers {
		name, addr, ok := strings.Cut(s, "=")
		if !ok {
			return errors.Errorf("--server %s: want name=address", s)
		}
		u := serve.New(name, c.Work, runs)
		g.Go(func() error { return serveHTTP(ctx, addr, u.Handler()) })
	}
	return g.Wait()
}
