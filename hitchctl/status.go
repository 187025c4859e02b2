package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"

	"magnoliahitch/steer/member"
)

type statusCommand struct {
	client *client
}

type statusAnswer struct {
	Host     string        `json:"host"`
	Revision uint64        `json:"revision"`
	Hosts    []member.Host `json:"hosts"`
}

// Execute prints the status that the host gives.
func (c *statusCommand) Execute([]string) error {
	var a statusAnswer
	if _, err := c.client.call(http.MethodGet, "/v1/status", nil, &a); err != nil {
		return err
	}
	if c.client.JSON {
		return json.NewEncoder(os.Stdout).Encode(a)
	}
	fmt.Println("host", a.Host, "revision", a.Revision)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tREGION\tDOMAIN\tCALLER")
	for _, h := range a.Hosts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", h.Name, h.Region, h.Domain, h.CallerAddr)
	}
	return w.Flush()
}
