// Command hitchd is the daemon on each entry host. It answers callers, other
// hosts and operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"

	"magnoliahitch/hitchd/internal/setup"
)

// version is set by the linker.
var version = "development"

type options struct {
	Config  string `long:"config" description:"file with the host's settings" value-name:"FILE"`
	Check   bool   `long:"check" description:"check the settings, report every fault and exit"`
	Version bool   `long:"version" description:"print the version and exit"`
}

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(exitUsage)
	}
	if o.Version {
		fmt.Println("hitchd", version)
		return
	}
	s, err := setup.Load(o.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if o.Check {
		fmt.Println("settings are good")
		return
	}
	log := hclog.New(&hclog.LoggerOptions{
		Name:       s.Host.Name,
		Level:      hclog.LevelFromString(s.Log.Level),
		JSONFormat: s.Log.JSON,
	})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := serve(ctx, s, log); err != nil {
		log.Error("stopped", "error", err)
		os.Exit(exitFailed)
	}
}
