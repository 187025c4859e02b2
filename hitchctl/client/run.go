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
	// ExitFailed reports that no host could be reached, or another failure.
	ExitFailed = 1
	// ExitUsage reports a faulty command line or file.
	ExitUsage = 2
	// ExitConflict reports that another change was accepted first.
	ExitConflict = 3
	// ExitRefused reports that the change has faults or is not allowed.
	ExitRefused = 4
	// ExitPlatform reports that the platform is down and nothing was changed.
	ExitPlatform = 5
	// ExitTimeout reports that an awaited condition wasn't met in time.
	ExitTimeout = 6
)

// exitError is an error with the exit code that it leads to.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

func withExitCode(code int, err error) error { return &exitError{code, err} }

// Command is a command of the command line.
type Command struct {
	Name, Description string
	// Options is the struct into which go-flags parses the command's options.
	Options any
}

// session holds the context, output streams and global options of one run.
type session struct {
	ctx context.Context
	out io.Writer
	err io.Writer
	Global
}

// Global holds the options that every command has.
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

// Run parses the arguments, executes the command and returns the exit code.
// The functions in extra add commands of other packages.
func Run(ctx context.Context, args []string, out, errOut io.Writer, extra ...func(*Global) Command) int {
	s := &session{ctx: ctx, out: out, err: errOut}
	p := flags.NewNamedParser("hitchctl", flags.HelpFlag|flags.PassDoubleDash)
	p.Usage = usage
	_, err := p.AddGroup("Options of every command", "", &s.Global)
	if err == nil {
		err = addCommands(p, s, extra)
	}
	if err == nil {
		_, err = p.ParseArgs(args)
	}
	return s.finish(err)
}

// finish prints the error, if there is one, and returns the exit code.
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

// addCommands adds the commands, the extra ones and the groups of subcommands to
// the parser.
func addCommands(p *flags.Parser, s *session, extra []func(*Global) Command) error {
	commands := []Command{
		{"check", "parse and validate a file of records without any host", &checkCommand{session: s}},
		{"lookup", "ask a host which entry hosts serve a service", &lookupCommand{session: s}},
		{"apply", "apply a file of records", &applyCommand{changeOptions: changeOptions{session: s}}},
		{"status", "show what is draining, shifted, without keeper, lagging or down", &statusCommand{session: s}},
		{"history", "show who changed what, when and why", &historyCommand{session: s}},
		{"explain", "show where a request for a service would go and why", &explainCommand{session: s}},
		{"override", "after a restore of the store: write the asked host's configuration over the table's", &overrideCommand{session: s}},
		{"log-level", "change the log level of the host while it runs", &levelCommand{session: s}},
	}
	for _, f := range extra {
		commands = append(commands, f(&s.Global))
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.Name, c.Description, "", c.Options); err != nil {
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
			if _, err := parent.AddCommand(c.Name, c.Description, "", c.Options); err != nil {
				return err
			}
		}
	}
	return nil
}
