package client

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"time"

	"magnoliahitch/steer/config"
)

// changeOptions holds the options of commands that change the configuration.
type changeOptions struct {
	session *session
	Author  string        `long:"author" description:"who makes the change" env:"USER" default:"operator" value-name:"NAME"`
	Reason  string        `long:"reason" description:"why the change is made; it stands in the history" required:"true" value-name:"TEXT"`
	WriteID string        `long:"write-id" description:"id of the change; repeat a command whose answer was lost with the id it printed" value-name:"ID"`
	Wait    bool          `long:"wait" description:"return when every live host has the change in force"`
	Timeout time.Duration `long:"timeout" description:"longest time to wait" default:"30s" value-name:"TIME"`
}

type configResponse struct {
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

type changeResponse struct {
	Revision    uint64              `json:"revision"`
	WriteID     string              `json:"writeId"`
	Repeated    bool                `json:"repeated,omitempty"`
	Differences []config.Difference `json:"differences,omitempty"`
}

// current returns the configuration in force on the host that responds.
func (s *session) current() (configResponse, error) {
	var a configResponse
	err := s.get("/v1/config", &a)
	return a, err
}

// send submits a change of the base revision and prints the differences. With
// --wait it waits until the change is in force on every live host. On failure it
// prints the write id, with which the command can be repeated safely.
func (c *changeOptions) send(base uint64, puts config.Records, deletes []config.Ref) error {
	id := c.WriteID
	if id == "" {
		id = rand.Text()
	}
	var a changeResponse
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

// printChange prints an accepted change, or that it was accepted before.
func (s *session) printChange(a changeResponse) {
	if a.Repeated {
		fmt.Fprintf(s.out, "revision %d (accepted before, not made again)\n", a.Revision)
		return
	}
	s.printDifferences(a.Differences)
	fmt.Fprintf(s.out, "revision %d accepted, write id %s\n", a.Revision, a.WriteID)
}

// removeCommand removes a record of one kind: it cancels a drain or a move, or
// removes a route.
type removeCommand struct {
	changeOptions
	kind config.Kind
	Args nameArgument `positional-args:"true"`
}

// Execute removes the named record.
func (c *removeCommand) Execute([]string) error {
	a, err := c.session.current()
	if err != nil {
		return err
	}
	return c.send(a.Revision, config.Records{}, []config.Ref{{Kind: c.kind, Name: c.Args.Name}})
}
