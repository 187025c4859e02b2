package client

import (
	"fmt"
	"strings"
	"time"

	"magnoliahitch/steer/config"
)

// maxHistory is the largest number of changes in the response of a host.
const maxHistory = 1000

type historyCommand struct {
	session *session
	Limit   int `long:"limit" description:"number of changes, newest first" default:"20" value-name:"N"`
}

// Execute prints the latest changes, newest first.
func (c *historyCommand) Execute([]string) error {
	changes, err := c.session.history(c.Limit)
	if err != nil {
		return err
	}
	return c.session.print(changes, func() { c.session.printHistory(changes) })
}

type historyResponse struct {
	Changes []config.Change `json:"changes"`
}

// history requests the latest changes, newest first.
func (s *session) history(limit int) ([]config.Change, error) {
	var a historyResponse
	err := s.get(fmt.Sprint("/v1/history?limit=", limit), &a)
	return a.Changes, err
}

func (s *session) printHistory(changes []config.Change) {
	rows := [][]string{{"REVISION", "AT", "WHO", "WHY", "WHAT"}}
	for _, ch := range changes {
		rows = append(rows, []string{fmt.Sprint(ch.Revision), ch.At.Format(time.RFC3339), ch.Author, ch.Reason, recordNames(ch)})
	}
	s.table(rows...)
}

// maxNames is the number of records that a line of the history names.
const maxNames = 4

// recordNames names the records that the change puts and deletes.
func recordNames(ch config.Change) string {
	var names []string
	next, err := (&config.Config{}).WithChange(config.Change{Revision: 1, Puts: ch.Puts})
	if err == nil {
		for _, d := range config.Diff(&config.Config{}, next) {
			names = append(names, fmt.Sprintf("%s %s", d.Kind, d.Name))
		}
	}
	for _, r := range ch.Deletes {
		names = append(names, fmt.Sprintf("-%s %s", r.Kind, r.Name))
	}
	if len(names) > maxNames {
		names = append(names[:maxNames], fmt.Sprintf("and %d more", len(names)-maxNames))
	}
	return strings.Join(names, ", ")
}
