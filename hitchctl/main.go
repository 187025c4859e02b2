// Command hitchctl is the operators' command line.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	client
	Apply  applyCommand  `command:"apply" description:"apply a file of configuration records"`
	Status statusCommand `command:"status" description:"show hosts and the configuration in force"`
	Keys   keysCommand   `command:"keys" description:"make keys for development"`
}

func main() {
	var o options
	o.Apply.client, o.Status.client = &o.client, &o.client
	o.Keys.client = &o.client
	p := flags.NewParser(&o, flags.Default)
	_, err := p.Parse()
	var fe *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
	case errors.As(err, &fe):
		os.Exit(exitUsage)
	default:
		os.Exit(exitFailed)
	}
}
