package main

import (
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"magnoliahitch/standin/internal/trace"
)

type traceCommand struct {
	Shape string `long:"shape" description:"name of the trace's shape" default:"demo"`
	Seed  uint64 `long:"seed" description:"seed of the random numbers" default:"1"`
	Out   string `long:"out" description:"file to write" required:"true"`
}

// Execute generates the trace of a shape from the seed and writes it to a file.
func (c *traceCommand) Execute([]string) error {
	generate, ok := trace.Generators[c.Shape]
	if !ok {
		known := slices.Sorted(maps.Keys(trace.Generators))
		return errors.Errorf("--shape %s: want one of %s", c.Shape, strings.Join(known, ", "))
	}
	f, err := os.Create(c.Out)
	if err != nil {
		return errors.Wrap(err, "create trace")
	}
	defer f.Close()
	if err := trace.Write(f, generate(rand.New(rand.NewPCG(c.Seed, 0)))); err != nil {
		return err
	}
	return f.Close()
}

// readTrace reads a trace from a file.
func readTrace(path string) ([]trace.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open trace")
	}
	defer f.Close()
	return trace.Read(f)
}
