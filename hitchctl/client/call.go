package client

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/links/head"
	"magnoliahitch/steer/config"
)

// Limits of a call to a host.
const (
	callTimeout = 10 * time.Second
	// maxResponse is the largest response body that is read, in bytes.
	maxResponse = 64 << 20
)

// problem is an error response in the format of RFC 9457. Winner is the change
// that was accepted first when the status is 409.
type problem struct {
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Reason  string `json:"reason"`
	Current uint64 `json:"current"`
	Winner  *struct {
		Revision uint64    `json:"revision"`
		Author   string    `json:"author"`
		Reason   string    `json:"reason"`
		At       time.Time `json:"at"`
	} `json:"winner"`
	Faults []config.Fault `json:"faults"`
}

// Error returns the detail, the change in force after a conflict, and the faults,
// one per line.
func (p *problem) Error() string {
	var b strings.Builder
	b.WriteString(p.Detail)
	if p.Winner != nil {
		fmt.Fprintf(&b, "\n  in force: revision %d by %s at %s: %s", p.Winner.Revision, p.Winner.Author, p.Winner.At.Format(time.RFC3339), p.Winner.Reason)
	}
	for _, f := range p.Faults {
		b.WriteString("\n  " + f.Error())
	}
	return b.String()
}

// code returns the exit code for the status of the problem.
func (p *problem) code() int {
	switch p.Status {
	case http.StatusConflict:
		return ExitConflict
	case http.StatusUnprocessableEntity:
		return ExitRefused
	case http.StatusServiceUnavailable:
		return ExitPlatform
	case http.StatusBadRequest, http.StatusNotFound:
		return ExitUsage
	}
	return ExitFailed
}

// get sends a GET request to the operator port and decodes the response into out.
func (s *session) get(path string, out any) error { return s.call(http.MethodGet, path, nil, out) }

// call sends a request to the addresses in turn until one gives a definite
// response. The next address is tried with the same body when a host can't be
// reached, when its response can't be decoded, or when it responds 503 (platform
// down or history forked) or 504 (outcome of the change unknown).
func (s *session) call(method, path string, in, out any) error {
	token, err := os.ReadFile(s.Token)
	if err != nil {
		return withExitCode(ExitUsage, errors.Wrap(err, "read operator token (--token-file)"))
	}
	var body []byte
	if in != nil {
		if body, err = json.Marshal(in); err != nil {
			return errors.Wrap(err, "encode request")
		}
	}
	err = errors.New("no address given (--addr)")
	for i, addr := range s.Addr {
		var p *problem
		err = s.callHost(addr, strings.TrimSpace(string(token)), method, path, body, out)
		switch {
		case err == nil:
			return nil
		case errors.As(err, &p) && p.Status != http.StatusServiceUnavailable && p.Status != http.StatusGatewayTimeout:
			return withExitCode(p.code(), err)
		}
		if i < len(s.Addr)-1 {
			fmt.Fprintf(s.err, "trying the next address: %v\n", err)
		}
	}
	var p *problem
	if errors.As(err, &p) {
		return withExitCode(p.code(), err)
	}
	return err
}

// callHost sends the request to one host. A status other than 200 is returned as
// a [problem].
func (s *session) callHost(addr, token, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(s.ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "call host %s", addr)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Content-Type", "application/json")
	res, err := (&http.Client{Timeout: callTimeout}).Do(req)
	if err != nil {
		return errors.Wrapf(err, "call host %s", addr)
	}
	defer res.Body.Close()
	if err := head.Check(res.Header); err != nil {
		return errors.Wrapf(err, "call host %s", addr)
	}
	data, err := io.ReadAll(io.LimitReader(head.Body(res), maxResponse))
	if err != nil {
		return errors.Wrapf(err, "call host %s", addr)
	}
	if res.StatusCode != http.StatusOK {
		p := &problem{Status: res.StatusCode}
		if err := json.Unmarshal(data, p); err != nil || p.Detail == "" {
			p.Detail = fmt.Sprintf("call host %s: status %d", addr, res.StatusCode)
		}
		p.Status = res.StatusCode
		return p
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errors.Wrapf(err, "call host %s", addr)
	}
	return nil
}
