package client

import (
	"context"
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed: no host could be reached, or another failure.
	ExitFailed = 1
	// ExitUsage: the command line or a file is faulty.
	ExitUsage = 2
	// ExitConflict: another change was accepted first.
	ExitConflict = 3
	// ExitRefused: the change has faults or is not allowed.
	ExitRefused = 4
	// ExitPlatform: the platform is down, nothing was changed.
	ExitPlatform = 5
	// ExitTimeout: what was waited for didn't happen in time.
	ExitTimeout = 6
)

// exitError carries the exit code of a failure.
type exitError struct {
	code int
	err  error
}

// Error describes the failure.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the failure.
func (e *exitError) Unwrap() error { return e.err }

func exit(code int, err error) error { return &exitError{code, err} }

// Command is a further command of the command line.
type Command struct {
	Name, Description string
	// Data is what go-flags reads the command's options into.
	Data any
}

// session is one run of the command line.
type session struct {
	ctx context.Context
	out io.Writer
	err io.Writer
	Global
}

// Global are the options of every command.
type Global struct {
	Addr  []string `long:"addr" description:"operator address of a host; may be repeated, the next is tried when one fails" default:"127.0.0.1:8002" env:"HITCH_ADDR" env-delim:"," value-name:"IP:PORT"`
	Token string   `long:"token-file" description:"file with the operators' token" env:"HITCH_TOKEN_FILE" value-name:"FILE"`
	JSON  bool     `long:"json" description:"print JSON for scripts"`
}

const usage = `[options] command

Look first, then change, then wait:

  hitchctl status
  hitchctl profile diff --file latency.ini
  hitchctl profile apply --file latency.ini --reason "shorter queue at night" --wait
  hitchctl drain declare patch-7 --server montevideo-care-1 --reason "patching" --wait
  hitchctl drain cancel patch-7 --reason "patched"

Exit codes: 0 done, 1 failed, 2 usage, 3 another change came first,
4 refused with faults, 5 platform down, 6 timed out waiting.`

// Run runs the command line, with further commands, and returns its exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer, more ...func(*Global) Command) int {
	s := &session{ctx: ctx, out: out, err: errOut}
	p := flags.NewNamedParser("hitchctl", flags.HelpFlag|flags.PassDoubleDash)
	p.Usage = usage
	_, err := p.AddGroup("Options of every command", "", &s.Global)
	if err == nil {
		err = addCommands(p, s, more)
	}
	if err == nil {
		_, err = p.ParseArgs(args)
	}
	return s.finish(err)
}

// finish prints the failure and returns its exit code.
func (s *session) finish(err error) int {
	var fe *flags.Error
	var ee *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Fprintln(s.out, err)
		return ExitOK
	case errors.As(err, &fe):
		fmt.Fprintln(s.err, err)
		return ExitUsage
	}
	fmt.Fprintln(s.err, "hitchctl:", err)
	if errors.As(err, &ee) {
		return ee.code
	}
	return ExitFailed
}

// addCommands adds every command to the parser.
func addCommands(p *flags.Parser, s *session, more []func(*Global) Command) error {
	commands := []Command{
		{"check", "parse and validate a file of records without any host", &checkCommand{session: s}},
		{"lookup", "ask a host which entry hosts serve a service", &lookupCommand{session: s}},
		{"apply", "apply a file of records", &applyCommand{submit: submit{session: s}}},
		{"status", "show what is draining, shifted, without keeper, lagging or down", &statusCommand{session: s}},
		{"history", "show who changed what, when and why", &historyCommand{session: s}},
		{"explain", "show where a request for a service would go and why", &explainCommand{session: s}},
		{"override", "after a restore of the store: write the asked host's configuration over the table's", &overrideCommand{session: s}},
		{"log-level", "change the log level of the host while it runs", &levelCommand{session: s}},
	}
	for _, f := range more {
		commands = append(commands, f(&s.Global))
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.Name, c.Description, "", c.Data); err != nil {
			return err
		}
	}
	groups := []struct {
		name, description string
		commands          []Command
	}{
		{"profile", "list, show, diff, apply and trace profiles", profileCommands(s)},
		{"drain", "declare, list and cancel drains", drainCommands(s)},
		{"move", "declare, list, pause, resume and cancel moves", moveCommands(s)},
		{"route", "list and remove routes; apply adds and changes them", routeCommands(s)},
	}
	for _, g := range groups {
		parent, err := p.AddCommand(g.name, g.description, "", &struct{}{})
		if err != nil {
			return err
		}
		for _, c := range g.commands {
			if _, err := parent.AddCommand(c.Name, c.Description, "", c.Data); err != nil {
				return err
			}
		}
	}
	return nil
}
