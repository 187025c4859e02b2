package client

import (
	"fmt"
	"net/http"
	"os"

	"github.com/go-faster/errors"

	"magnoliahitch/steer/config"
)

// parseFile reads and parses a file of records.
func parseFile(name string) (config.Records, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return config.Records{}, withExitCode(ExitUsage, errors.Wrap(err, "read records"))
	}
	r, err := config.Parse(text)
	if err != nil {
		return r, withExitCode(ExitUsage, errors.Wrapf(err, "file %s", name))
	}
	return r, nil
}

type applyCommand struct {
	changeOptions
	File   string `long:"file" short:"f" description:"file of records in INI" required:"true" value-name:"FILE"`
	DryRun bool   `long:"dry-run" description:"show what would change and every fault, and change nothing"`
}

// Execute applies the file's records to the current revision. With --dry-run it
// prints the differences and changes nothing.
func (c *applyCommand) Execute([]string) error {
	r, err := parseFile(c.File)
	if err != nil {
		return err
	}
	current, err := c.session.current()
	if err != nil {
		return err
	}
	if c.DryRun {
		return c.session.dryRun(current.Revision, r)
	}
	return c.send(current.Revision, r, nil)
}

// dryRun prints what the records would change in the base revision.
func (s *session) dryRun(base uint64, puts config.Records) error {
	var a changeResponse
	err := s.call(http.MethodPost, "/v1/changes", changeRequest{
		Base: base, Author: "dry run", Reason: "dry run", Puts: puts, DryRun: true,
	}, &a)
	if err != nil {
		return err
	}
	return s.print(a.Differences, func() { s.printDifferences(a.Differences) })
}

type checkCommand struct {
	session *session
	File    string `long:"file" short:"f" description:"file of records in INI" required:"true" value-name:"FILE"`
}

// Execute validates the file as a complete configuration, without a host.
func (c *checkCommand) Execute([]string) error {
	r, err := parseFile(c.File)
	if err != nil {
		return err
	}
	conf, err := (&config.Config{}).WithChange(config.Change{Revision: 1, Puts: r})
	if err != nil {
		return err
	}
	faults := conf.Faults()
	err = c.session.print(faults, func() {
		if len(faults) == 0 {
			fmt.Fprintln(c.session.out, "no faults")
		}
	})
	if err != nil || len(faults) == 0 {
		return err
	}
	return withExitCode(ExitRefused, &problem{Detail: "file " + c.File + " has faults", Faults: faults})
}

type overrideCommand struct {
	session *session
	Author  string `long:"author" description:"who decides" env:"USER" default:"operator" value-name:"NAME"`
	Reason  string `long:"reason" description:"why; it stands in the history" required:"true" value-name:"TEXT"`
}

// Execute overwrites the history in the table with that of the queried host.
func (c *overrideCommand) Execute([]string) error {
	var a changeResponse
	in := changeRequest{Author: c.Author, Reason: c.Reason}
	if err := c.session.call(http.MethodPost, "/v1/override", in, &a); err != nil {
		return err
	}
	return c.session.print(a, func() { c.session.printChange(a) })
}
