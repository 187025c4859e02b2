// Command standin provides stand-ins for the platform, the upstream servers and the
// callers, for the demo and the tests. hitchd and hitchctl don't import it.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// exitFailed is the exit code of a command that failed.
const exitFailed = 1

type options struct {
	Platform platformCommand `command:"platform" description:"serve the table and the object store"`
	Upstream upstreamCommand `command:"upstream" description:"serve upstream servers"`
	Caller   callerCommand   `command:"caller" description:"send requests and check their answers"`
	Demo     demoCommand     `command:"demo" description:"run a small deployment and check its outcomes"`
	Measure  measureCommand  `command:"measure" description:"measure what hosts without callers cost"`
	Soak     soakCommand     `command:"soak" description:"run many hosts under random faults and check their invariants"`
	Trace    traceCommand    `command:"trace" description:"draw and record a trace"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var o options
	o.Platform.ctx, o.Upstream.ctx, o.Caller.ctx, o.Demo.ctx, o.Measure.ctx, o.Soak.ctx = ctx, ctx, ctx, ctx, ctx, ctx
	p := flags.NewParser(&o, flags.Default)
	if _, err := p.Parse(); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitFailed)
	}
}
