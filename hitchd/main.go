// Command hitchd is the daemon on each entry host. It serves callers, other
// hosts and operators, each on a port of its own.
//
// With --config it reads its settings from an INI file, see package setup. Without
// it, it reads those of the platform if the environment names their file, see
// package platform; such a host is called an edge host in this package.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"

	"magnoliahitch/hitchd/internal/setup"
	"magnoliahitch/platform"
)

// version is set by the linker for a release.
var version string

type options struct {
	Config  string `long:"config" description:"file with the host's settings in INI" value-name:"FILE"`
	Check   bool   `long:"check" description:"read the settings and the keys, try to take the ports, report every fault and exit"`
	Version bool   `long:"version" description:"print the version and exit"`
}

// Exit codes.
const (
	exitDone     = 0
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
)

// help is the text below the usage line.
const help = `hitchd is the daemon on each entry host. It serves callers, other hosts and operators on the ports in its settings.

SIGTERM and SIGINT stop it gracefully. SIGHUP makes it reload the keys and the operators' token. SIGUSR1 makes the log more verbose, SIGUSR2 less verbose.

Exit codes: 0 stopped gracefully or no faults found, 1 failed while running, 2 invalid command line, 3 faults in the settings.`

func main() { os.Exit(execute(os.Args[1:])) }

// execute runs the command line and returns the exit code.
func execute(args []string) int {
	var o options
	p := flags.NewNamedParser("hitchd", flags.Default)
	p.Usage = "--config FILE [--check] | --version"
	p.LongDescription = help
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		panic(err)
	}
	_, err := p.ParseArgs(args)
	var fe *flags.Error
	switch {
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		return exitDone
	case err != nil:
		return exitUsage
	case o.Version:
		fmt.Println("hitchd", buildVersion())
		return exitDone
	case o.Config == "" && os.Getenv(platform.SettingsVar) != "":
		return startEdge(os.Getenv(platform.SettingsVar))
	case o.Config == "":
		fmt.Fprintln(os.Stderr, "hitchd: --config FILE is missing; see hitchd --help")
		return exitUsage
	}
	return start(o)
}

// start loads the settings, then checks or runs the daemon, and returns the exit
// code.
func start(o options) int {
	s, err := setup.Load(o.Config)
	if o.Check && err == nil {
		err = checkPorts(s)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if o.Check {
		fmt.Println(o.Config + ": no faults")
		return exitDone
	}
	log := hclog.New(&hclog.LoggerOptions{
		Name:       s.Host.Name,
		Level:      hclog.LevelFromString(s.Log.Level),
		JSONFormat: s.Log.JSON,
	})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err = serve(ctx, s, log)
	var faults setup.Faults
	switch {
	case errors.As(err, &faults):
		fmt.Fprintln(os.Stderr, faults)
		return exitSettings
	case err != nil:
		log.Error("stopped", "error", err)
		return exitFailed
	}
	return exitDone
}

// checkPorts opens the ports and closes them again.
func checkPorts(s setup.Settings) error {
	p, err := s.Bind()
	if err != nil {
		return err
	}
	return p.Close()
}

// buildVersion returns the release, or "development" with the commit that the
// program was built from, if the build recorded it.
func buildVersion() string {
	if version != "" {
		return version
	}
	out := "development"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return out
	}
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			out += " " + s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			out += " modified"
		}
	}
	return out
}
