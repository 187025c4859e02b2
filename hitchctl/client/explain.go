package client

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"

	"magnoliahitch/links/head"
)

type serviceArgument struct {
	Service string `positional-arg-name:"SERVICE" required:"true"`
}

type explainCommand struct {
	session *session
	Region  string          `long:"region" description:"region of the caller; the asked host's own when left out" value-name:"NAME"`
	Block   string          `long:"block" description:"address block of the caller" value-name:"BLOCK"`
	Args    serviceArgument `positional-args:"true"`
}

type explainResponse struct {
	Service    string `json:"service"`
	Region     string `json:"region"`
	Profile    string `json:"profile"`
	Class      string `json:"class"`
	Revision   uint64 `json:"revision"`
	Keeper     string `json:"keeper"`
	Candidates []struct {
		Host   string `json:"host"`
		Domain string `json:"domain"`
	} `json:"candidates"`
	Servers []struct {
		Name   string `json:"name"`
		Domain string `json:"domain"`
		Drain  string `json:"drain,omitempty"`
	} `json:"servers"`
	Moves          []string `json:"moves,omitempty"`
	DecisionsKnown bool     `json:"decisionsKnown"`
	Decisions      []string `json:"decisions,omitempty"`
}

// Execute requests from the host how it would route the request, and prints it.
func (c *explainCommand) Execute([]string) error {
	q := url.Values{"service": {c.Args.Service}, "region": {c.Region}, "block": {c.Block}}
	var a explainResponse
	if err := c.session.get("/v1/explain?"+q.Encode(), &a); err != nil {
		return err
	}
	return c.session.print(a, func() { c.session.printExplain(a) })
}

func (s *session) printExplain(a explainResponse) {
	fmt.Fprintf(s.out, "service %s in region %s: profile %s, class %s, revision %d\n", a.Service, a.Region, a.Profile, a.Class, a.Revision)
	keeper := a.Keeper
	if keeper == "" {
		keeper = "NONE: requests are refused unrun"
	}
	fmt.Fprintln(s.out, "keeper of the cell:", keeper)
	for i, c := range a.Candidates {
		fmt.Fprintf(s.out, "  candidate %d: %s in %s\n", i+1, c.Host, c.Domain)
	}
	for _, v := range a.Servers {
		note := "may be given work"
		if v.Drain != "" {
			note = "no new work: drain " + v.Drain
		}
		fmt.Fprintf(s.out, "  server %s in %s: %s\n", v.Name, v.Domain, note)
	}
	for _, m := range a.Moves {
		fmt.Fprintln(s.out, "  move", m, "concerns the cell")
	}
	if !a.DecisionsKnown {
		fmt.Fprintln(s.out, "shift and queue decisions: not known to this host")
	}
	for _, d := range a.Decisions {
		fmt.Fprintln(s.out, "  ", d)
	}
}

type lookupCommand struct {
	session *session
	Caller  string          `long:"caller-addr" description:"caller address of the host to ask; the asked host's own when left out" value-name:"IP:PORT"`
	Args    serviceArgument `positional-args:"true"`
}

type lookupResponse struct {
	Service string `json:"service"`
	Hosts   []struct {
		Name string `json:"name"`
		Addr string `json:"addr"`
	} `json:"hosts"`
	TTLMs int64 `json:"ttlMs"`
}

// Execute sends a lookup to the caller port, as callers do. Without --caller-addr
// it takes the address from the status of the queried host.
func (c *lookupCommand) Execute([]string) error {
	addr := c.Caller
	if addr == "" {
		var st statusResponse
		if err := c.session.get("/v1/status", &st); err != nil {
			return err
		}
		for _, h := range st.Hosts {
			if h.Name == st.Host {
				addr = h.CallerAddr
			}
		}
	}
	req, err := http.NewRequestWithContext(c.session.ctx, http.MethodGet, "http://"+addr+"/lookup/"+url.PathEscape(c.Args.Service), nil)
	if err != nil {
		return errors.Wrap(err, "look up")
	}
	res, err := (&http.Client{Timeout: callTimeout}).Do(req)
	if err != nil {
		return errors.Wrapf(err, "look up at host %s", addr)
	}
	defer res.Body.Close()
	if err := head.Check(res.Header); err != nil {
		return errors.Wrapf(err, "look up at host %s", addr)
	}
	if res.StatusCode != http.StatusOK {
		return withExitCode(ExitRefused, errors.Errorf("look up %s at host %s: %s", c.Args.Service, addr, res.Header.Get("Hitch-Reason")))
	}
	var a lookupResponse
	if err := json.NewDecoder(head.Body(res)).Decode(&a); err != nil {
		return errors.Wrapf(err, "look up at host %s", addr)
	}
	return c.session.print(a, func() {
		for i, h := range a.Hosts {
			fmt.Fprintf(c.session.out, "%d. %s at %s\n", i+1, h.Name, h.Addr)
		}
		fmt.Fprintf(c.session.out, "good for %d ms\n", a.TTLMs)
	})
}
