package main

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"magnoliahitch/standin/internal/serve"
)

type upstreamCommand struct {
	Servers []string      `long:"server" description:"name=address of a server; may be repeated" required:"true"`
	Work    time.Duration `long:"work" description:"time that a request takes" default:"5ms"`
	Slots   int           `long:"slots" description:"requests that a server runs at once" default:"3"`
	ctx     context.Context
}

// Execute serves the upstream servers until the context ends.
func (c *upstreamCommand) Execute([]string) error {
	g, ctx := errgroup.WithContext(c.ctx)
	for _, s := range c.Servers {
		name, addr, ok := strings.Cut(s, "=")
		if !ok {
			return errors.Errorf("--server %s: want name=address", s)
		}
		u := serve.New(name, c.Slots, c.Work)
		g.Go(func() error { return serveHTTP(ctx, addr, u.Handler()) })
	}
	return g.Wait()
}
