package main

import (
	"fmt"
	"net/http"
	"os"

	"github.com/go-faster/errors"

	"magnoliahitch/steer/config"
)

type applyCommand struct {
	client *client
	File   string `long:"file" short:"f" description:"file of records in INI" required:"true"`
	Author string `long:"author" description:"who makes the change" env:"USER" default:"operator"`
	Reason string `long:"reason" description:"why the change is made" required:"true"`
}

type configAnswer struct {
	Revision uint64 `json:"revision"`
}

type changeRequest struct {
	Base   uint64         `json:"base"`
	Author string         `json:"author"`
	Reason string         `json:"reason"`
	Puts   config.Records `json:"puts"`
}

type changeAnswer struct {
	Revision uint64         `json:"revision"`
	Error    string         `json:"error"`
	Faults   []config.Fault `json:"faults"`
}

// Execute applies the file's records to the current revision.
func (c *applyCommand) Execute([]string) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read records")
	}
	records, err := config.Parse(text)
	if err != nil {
		return errors.Wrapf(err, "file %s", c.File)
	}
	var current configAnswer
	if _, err := c.client.call(http.MethodGet, "/v1/config", nil, &current); err != nil {
		return err
	}
	var a changeAnswer
	code, err := c.client.call(http.MethodPost, "/v1/changes", changeRequest{
		Base:   current.Revision,
		Author: c.Author,
		Reason: c.Reason,
		Puts:   records,
	}, &a)
	if err != nil {
		return err
	}
	if code != http.StatusOK {
		for _, f := range a.Faults {
			fmt.Fprintln(os.Stderr, f)
		}
		return errors.Errorf("change not accepted: %s", a.Error)
	}
	fmt.Println("revision", a.Revision)
	return nil
}
