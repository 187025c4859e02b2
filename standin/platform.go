package main

import (
	"context"

	"magnoliahitch/standin/internal/store"
)

type platformCommand struct {
	Listen string `long:"listen" description:"address of the platform" default:"127.0.0.1:7000"`
	ctx    context.Context
}

// Execute serves the platform stand-in until the context ends.
func (c *platformCommand) Execute([]string) error {
	return serveHTTP(c.ctx, c.Listen, store.New().Handler())
}
