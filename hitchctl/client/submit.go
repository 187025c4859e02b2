package client

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"time"

	"magnoliahitch/steer/config"
)

// submit are the options of commands that change the configuration.
type submit struct {
	session *session
	Author  string        `long:"author" description:"who makes the change" env:"USER" default:"operator" value-name:"NAME"`
	Reason  string        `long:"reason" description:"why the change is made; it stands in the history" required:"true" value-name:"TEXT"`
	WriteID string        `long:"write-id" description:"id of the change; repeat a command whose answer was lost with the id it printed" value-name:"ID"`
	Wait    bool          `long:"wait" description:"return when every live host has the change in force"`
	Timeout time.Duration `long:"timeout" description:"longest time to wait" default:"30s" value-name:"TIME"`
}

type configAnswer struct {
	Revision uint64         `json:"revision"`
	Records  config.Records `json:"records"`
}

type changeRequest struct {
	Base    uint64         `json:"base"`
	WriteID string         `json:"writeId"`
	Author  string         `json:"author"`
	Reason  string         `json:"reason"`
	Puts    config.Records `json:"puts"`
	Deletes []config.Ref   `json:"deletes"`
	DryRun  bool           `json:"dryRun"`
}

type changeAnswer struct {
	Revision    uint64              `json:"revision"`
	WriteID     string              `json:"writeId"`
	Repeated    bool                `json:"repeated,omitempty"`
	Differences []config.Difference `json:"differences,omitempty"`
}

// current returns the configuration in force on the host that answers.
func (s *session) current() (configAnswer, error) {
	var a configAnswer
	err := s.get("/v1/config", &a)
	return a, err
}

// send makes a change to the base revision, prints what it did and waits when
// asked to.
func (c *submit) send(base uint64, puts config.Records, deletes []config.Ref) error {
	id := c.WriteID
	if id == "" {
		id = rand.Text()
	}
	var a changeAnswer
	err := c.session.call(http.MethodPost, "/v1/changes", changeRequest{
		Base: base, WriteID: id, Author: c.Author, Reason: c.Reason, Puts: puts, Deletes: deletes,
	}, &a)
	if err != nil {
		fmt.Fprintln(c.session.err, "write id", id)
		return err
	}
	if err := c.session.print(a, func() { c.session.printChange(a) }); err != nil || !c.Wait {
		return err
	}
	return c.session.waitInForce(a.Revision, c.Timeout)
}

// printChange prints an accepted change.
func (s *session) printChange(a changeAnswer) {
	if a.Repeated {
		fmt.Fprintf(s.out, "revision %d (accepted before, not made again)\n", a.Revision)
		return
	}
	s.printDifferences(a.Differences)
	fmt.Fprintf(s.out, "revision %d accepted, write id %s\n", a.Revision, a.WriteID)
}

// removeCommand removes a record of a kind: it cancels a drain or a move.
type removeCommand struct {
	submit
	kind config.Kind
	Args nameArgument `positional-args:"true"`
}

// Execute removes the record.
func (c *removeCommand) Execute([]string) error {
	a, err := c.session.current()
	if err != nil {
		return err
	}
	return c.send(a.Revision, config.Records{}, []config.Ref{{Kind: c.kind, Name: c.Args.Name}})
}
