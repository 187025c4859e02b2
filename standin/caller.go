package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

type callerCommand struct {
	Entry   string        `long:"entry" description:"caller address of any entry host" required:"true"`
	Service string        `long:"service" description:"service to call" required:"true"`
	Path    string        `long:"path" description:"path to call" default:"/"`
	Timeout time.Duration `long:"timeout" description:"bound on the whole call" default:"5s"`
	ctx     context.Context
}

// Execute looks up the service, calls it once through the first host and prints the
// host, status, outcome, reason and server of the response.
func (c *callerCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.Timeout)
	defer cancel()
	host, err := lookup(ctx, c.Entry, c.Service)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/service/"+c.Service+c.Path, nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "call host %s", host)
	}
	defer res.Body.Close()
	fmt.Println(host, res.StatusCode, res.Header.Get("Hitch-Outcome"), res.Header.Get("Hitch-Reason"), res.Header.Get("Hitch-Server"))
	return nil
}

type lookupResponse struct {
	Hosts []struct {
		Name string `json:"name"`
		Addr string `json:"addr"`
	} `json:"hosts"`
}

// lookup returns the caller address of the first host in the entry host's lookup
// response.
func lookup(ctx context.Context, entry, service string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/lookup/"+service, nil)
	if err != nil {
		return "", err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", errors.Wrapf(err, "look up at host %s", entry)
	}
	defer res.Body.Close()
	var a lookupResponse
	if err := json.NewDecoder(res.Body).Decode(&a); err != nil {
		return "", errors.Wrapf(err, "look up at host %s", entry)
	}
	if len(a.Hosts) == 0 {
		return "", errors.Errorf("look up at host %s: status %d, no hosts", entry, res.StatusCode)
	}
	return a.Hosts[0].Addr, nil
}

// callOnce calls the service through the host. A status other than 200 is an error.
func callOnce(ctx context.Context, host, service string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/service/"+service+"/ready", nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "call host %s", host)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("call %s at host %s: status %d, %s", service, host, res.StatusCode, res.Header.Get("Hitch-Reason"))
	}
	return nil
}
