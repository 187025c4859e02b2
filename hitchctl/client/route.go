package client

import (
	"cmp"
	"fmt"
	"strings"

	"magnoliahitch/steer/config"
)

func routeCommands(s *session) []Command {
	return []Command{
		{"list", "list the routes of host names and paths", &routeList{session: s}},
		{"remove", "remove a route; requests go to the next shorter prefix, or are refused", &removeCommand{changeOptions: changeOptions{session: s}, kind: config.KindRoute}},
	}
}

type routeList struct{ session *session }

// Execute lists the routes.
func (c *routeList) Execute([]string) error {
	a, err := c.session.current()
	if err != nil {
		return err
	}
	return c.session.print(a.Records.Routes, func() { c.session.printRoutes(a.Records.Routes) })
}

func (s *session) printRoutes(list []config.Route) {
	fmt.Fprintln(s.out, "routes:", len(list))
	for _, r := range list {
		fmt.Fprintf(s.out, "  %s: %s%s to %s, regions %s, affinity %s\n", r.Name, r.Host, r.Prefix, strings.Join(r.Parts, ", "),
			cmp.Or(strings.Join(r.Regions, ", "), "all"), cmp.Or(r.Affinity, "none"))
	}
}
