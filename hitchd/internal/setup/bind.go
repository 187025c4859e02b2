package setup

import (
	"net"
	"strconv"

	"github.com/go-faster/errors"

	"magnoliahitch/links/certs"
)

// validate returns the faults of values that depend on other values or on the
// contents of files: ports must differ, timeouts and bounds must be consistent, the
// key pair and the token must be usable.
func (s Settings) validate() Faults {
	var out Faults
	add := func(section, key, value, want string) {
		out = append(out, Fault{s.file, section, key, value, want})
	}
	keyOf := map[string]string{}
	for _, p := range s.Listen.ports() {
		if other, ok := keyOf[p.addr]; ok {
			add("listen", p.key, p.addr, "an address other than that of "+other)
		}
		keyOf[p.addr] = p.key
	}
	if s.Caller.HeaderTimeout > s.Caller.IdleTimeout {
		add("caller", "headerTimeout", s.Caller.HeaderTimeout.String(), "at most idleTimeout ("+s.Caller.IdleTimeout.String()+")")
	}
	if s.Caller.MaxHeader < minHeaderSize {
		add("caller", "maxHeader", strconv.Itoa(int(s.Caller.MaxHeader))+"B", "1KiB or more")
	}
	if _, err := certs.Open(s.Keys.Files(), certs.WithName(s.Host.Name)); err != nil {
		add("keys", "cert", s.Keys.Cert, "a key pair for host "+s.Host.Name+" that the authority in ca signed: "+err.Error())
	}
	if _, err := s.Keys.Token(); err != nil {
		add("keys", "operatorToken", s.Keys.OperatorToken, "a file with a token of "+strconv.Itoa(minTokenLength)+" bytes or more")
	}
	return out
}

// minHeaderSize is the smallest limit of headers that can be configured. A smaller
// one would refuse ordinary requests.
const minHeaderSize = Size(1 << 10)

// port is the address of a port and its key in the settings.
type port struct{ key, addr string }

func (l Listen) ports() []port {
	return []port{{"caller", l.Caller}, {"peer", l.Peer}, {"operator", l.Operator}}
}

// Ports are the host's open ports.
type Ports struct {
	Caller, Operator net.Listener
	Peer             net.PacketConn
}

// Bind opens all ports. If some of the addresses can't be bound, it closes the
// others and returns [Faults] with each address that failed.
func (s Settings) Bind() (Ports, error) {
	var p Ports
	var out Faults
	var err error
	add := func(key, value string, err error) {
		if err != nil {
			out = append(out, Fault{s.file, "listen", key, value, "a free address of this host: " + err.Error()})
		}
	}
	p.Caller, err = net.Listen("tcp", s.Listen.Caller)
	add("caller", s.Listen.Caller, err)
	p.Operator, err = net.Listen("tcp", s.Listen.Operator)
	add("operator", s.Listen.Operator, err)
	p.Peer, err = net.ListenPacket("udp", s.Listen.Peer)
	add("peer", s.Listen.Peer, err)
	if len(out) > 0 {
		_ = p.Close()
		return Ports{}, out
	}
	return p, nil
}

// Close closes the ports that are open, nil ones are skipped.
func (p Ports) Close() error {
	var out []error
	if p.Caller != nil {
		out = append(out, p.Caller.Close())
	}
	if p.Operator != nil {
		out = append(out, p.Operator.Close())
	}
	if p.Peer != nil {
		out = append(out, p.Peer.Close())
	}
	return errors.Join(out...)
}
