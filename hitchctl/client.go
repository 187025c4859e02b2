package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// callTimeout bounds a call to the operator port.
const callTimeout = 10 * time.Second

// client reaches the operator port of a host.
type client struct {
	Addr  string `long:"addr" description:"operator address of any host" default:"127.0.0.1:8002" env:"HITCH_ADDR"`
	Token string `long:"token-file" description:"file with the operators' token" env:"HITCH_TOKEN_FILE"`
	JSON  bool   `long:"json" description:"print JSON"`
}

// call makes one call, and decodes the answer into out whatever its status.
func (c *client) call(method, path string, in, out any) (int, error) {
	token, err := os.ReadFile(c.Token)
	if err != nil {
		return 0, errors.Wrap(err, "read operator token")
	}
	body, err := json.Marshal(in)
	if err != nil {
		return 0, errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequest(method, "http://"+c.Addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	req.Header.Set("Content-Type", "application/json")
	res, err := (&http.Client{Timeout: callTimeout}).Do(req)
	if err != nil {
		return 0, errors.Wrapf(err, "call host %s", c.Addr)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(out); err != nil {
		return res.StatusCode, errors.Wrapf(err, "call host %s: status %d", c.Addr, res.StatusCode)
	}
	return res.StatusCode, nil
}
