package stage

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
)

// Offsets from the first port of a deployment, and the number of ports of a host.
const (
	hostPort     = 100
	upstreamPort = 400
	portsPerHost = 3
)

// Deployment describes a small deployment on loopback addresses.
type Deployment struct {
	Regions  []string
	Services []Service
	// ServersPerCell is the number of servers of each service in each region.
	ServersPerCell int
	// HostsPerDomain is the number of entry hosts in each failure domain.
	HostsPerDomain int
	// Profiles returns the INI text of the profiles and links. The profiles refer to
	// the block table by its digest.
	Profiles func(blockTable string) string
	// Routes is the INI text of the routes.
	Routes string
	// Port is the first port of the deployment on loopback.
	Port int
}

// Service is a service of a deployment.
type Service struct {
	Name, Profile, Class string
}

// Host is an entry host of a deployment.
type Host struct {
	Name, Region, Domain       string
	Caller, Peer, OperatorAddr string
}

// Hosts returns the entry hosts with their addresses.
func (d Deployment) Hosts() []Host {
	var out []Host
	for _, r := range d.Regions {
		for _, dom := range domains(r) {
			for i := range d.HostsPerDomain {
				p := d.Port + hostPort + len(out)*portsPerHost
				out = append(out, Host{
					Name:         fmt.Sprintf("%s-%d", dom, i+1),
					Region:       r,
					Domain:       dom,
					Caller:       address(p),
					Peer:         address(p + 1),
					OperatorAddr: address(p + 2),
				})
			}
		}
	}
	return out
}

// Server is an upstream server of a deployment.
type Server struct {
	Name, Service, Region, Domain, Addr string
}

// Servers returns the upstream servers with their addresses.
func (d Deployment) Servers() []Server {
	var out []Server
	for _, r := range d.Regions {
		for _, s := range d.Services {
			for i := range d.ServersPerCell {
				out = append(out, Server{
					Name:    fmt.Sprintf("%s-%s-%d", r, s.Name, i+1),
					Service: s.Name,
					Region:  r,
					Domain:  domains(r)[i%2],
					Addr:    address(d.Port + upstreamPort + len(out)),
				})
			}
		}
	}
	return out
}

// Platform returns the base address of the platform stand-in.
func (d Deployment) Platform() string { return "http://" + address(d.Port) }

// domains returns the two failure domains of a region.
func domains(region string) []string { return []string{region + "-a", region + "-b"} }

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// Records returns the INI text of the deployment's configuration.
func (d Deployment) Records(blockTable string) string {
	var b strings.Builder
	b.WriteString(d.Profiles(blockTable))
	b.WriteString(d.Routes)
	for _, r := range d.Regions {
		fmt.Fprintf(&b, "\n[region %s]\ndomains = %s\n", r, strings.Join(domains(r), ","))
	}
	for _, s := range d.Services {
		fmt.Fprintf(&b, "\n[service %s]\nprofile = %s\nclass = %s\ndeadlineMs = 3000\n", s.Name, s.Profile, s.Class)
	}
	for _, s := range d.Servers() {
		fmt.Fprintf(&b, "\n[server %s]\nservice = %s\nregion = %s\ndomain = %s\naddr = %s\nslots = 3\nconnections = 650\n",
			s.Name, s.Service, s.Region, s.Domain, s.Addr)
	}
	return b.String()
}

// settingsText is the format of a host's settings file.
const settingsText = `[host]
name = %s
region = %s
domain = %s

[listen]
caller = %s
peer = %s
operator = %s

[platform]
table = %s
objects = %s

[keys]
ca = %s
cert = %s
key = %s
operatorToken = %s

[log]
level = info
json = false
`

// WriteFiles writes the keys, the operators' token, the records and the settings of every
// host to the deployment's directory.
func (s *Processes) WriteFiles(d Deployment) error {
	keys := filepath.Join(s.Dir, "keys")
	args := []string{"keys", "--dir", keys}
	for _, h := range d.Hosts() {
		args = append(args, "--host", h.Name)
	}
	if _, err := s.Run("hitchctl", args...); err != nil {
		return err
	}
	if err := os.WriteFile(s.TokenFile(), []byte("demo-operator-token\n"), 0o600); err != nil {
		return errors.Wrap(err, "write token")
	}
	digest, err := d.BlockDigest()
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.RecordsFile(), []byte(d.Records(digest)), 0o644); err != nil {
		return errors.Wrap(err, "write records")
	}
	for _, h := range d.Hosts() {
		text := fmt.Sprintf(settingsText, h.Name, h.Region, h.Domain, h.Caller, h.Peer, h.OperatorAddr,
			d.Platform(), d.Platform(), filepath.Join(keys, "ca.pem"),
			filepath.Join(keys, h.Name+".pem"), filepath.Join(keys, h.Name+".key"), s.TokenFile())
		if err := os.WriteFile(s.settingsFile(h), []byte(text), 0o644); err != nil {
			return errors.Wrapf(err, "write settings of %s", h.Name)
		}
	}
	return nil
}

// TokenFile returns the path of the operators' token.
func (s *Processes) TokenFile() string { return filepath.Join(s.Dir, "operator.token") }

// RecordsFile returns the path of the configuration records.
func (s *Processes) RecordsFile() string { return filepath.Join(s.Dir, "records.ini") }

func (s *Processes) settingsFile(h Host) string { return filepath.Join(s.Dir, h.Name+".ini") }

// StartAll starts the platform, the upstream servers and the entry hosts.
func (s *Processes) StartAll(d Deployment) error {
	if err := s.Start("platform", "standin", "platform", "--listen", address(d.Port)); err != nil {
		return err
	}
	for _, u := range d.Servers() {
		if err := s.StartServer(u); err != nil {
			return err
		}
	}
	for _, h := range d.Hosts() {
		if err := s.StartHost(h); err != nil {
			return err
		}
	}
	return nil
}

// StartServer starts one upstream server, which appends its runs to a file.
func (s *Processes) StartServer(u Server) error {
	return s.Start(u.Name, "standin", "upstream", "--server", u.Name+"="+u.Addr,
		"--runs", filepath.Join(s.Dir, u.Name+".runs"))
}

// StartHost starts one entry host.
func (s *Processes) StartHost(h Host) error {
	return s.Start(h.Name, "hitchd", "--config", s.settingsFile(h))
}

// RunHitchctl runs hitchctl against the host and returns its output.
func (s *Processes) RunHitchctl(h Host, args ...string) ([]byte, error) {
	return s.Run("hitchctl", append([]string{"--addr", h.OperatorAddr, "--token-file", s.TokenFile()}, args...)...)
}
