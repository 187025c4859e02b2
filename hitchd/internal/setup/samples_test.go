package setup

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"magnoliahitch/links/certs"
	"magnoliahitch/steer/config"
)

const samplesDir = "../../../samples"

// deployment holds the expected values of a sample: the connections of each
// server and the capacity of each link between regions.
type deployment struct {
	name        string
	connections int
	mbps        float64
}

var deployments = []deployment{{"pall", 650, 4000}, {"lens", 700, 300}}

// Expected sizes of both deployments.
const (
	sampleHosts      = 18
	sampleRegions    = 3
	sampleServices   = 4
	serversOfService = 12
	sampleSlots      = 3
)

func readSample(t *testing.T, d deployment, file string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(samplesDir, d.name, file))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestSampleRecordsHaveTheSizesOfTheDeployments(t *testing.T) {
	for _, d := range deployments {
		records, err := config.Parse(readSample(t, d, "records.ini"))
		if err != nil {
			t.Fatalf("%s: %v", d.name, err)
		}
		c, err := (&config.Config{}).WithChange(config.Change{Revision: 1, Puts: records})
		if err != nil {
			t.Fatal(err)
		}
		if got := c.Faults(); len(got) != 0 {
			t.Errorf("%s: got faults %v, want none", d.name, got)
		}
		if got, want := len(c.Regions), sampleRegions; got != want {
			t.Errorf("%s: got %d regions, want %d", d.name, got, want)
		}
		if got, want := len(c.Services), sampleServices; got != want {
			t.Errorf("%s: got %d services, want %d", d.name, got, want)
		}
		if got, want := len(c.Links), sampleRegions*(sampleRegions-1); got != want {
			t.Errorf("%s: got %d links, want %d", d.name, got, want)
		}
		for n, l := range c.Links {
			if l.Mbps != d.mbps {
				t.Errorf("%s: link %s: got %v Mbit/s, want %v", d.name, n, l.Mbps, d.mbps)
			}
		}
		checkServers(t, d, c)
	}
}

func checkServers(t *testing.T, d deployment, c *config.Config) {
	t.Helper()
	count := make(map[string]int)
	addrs := make(map[string]bool)
	for n, s := range c.Servers {
		count[s.Service]++
		addrs[s.Addr] = true
		if s.Slots != sampleSlots || s.Connections != d.connections {
			t.Errorf("%s: server %s: got %d slots, %d connections, want %d, %d", d.name, n, s.Slots, s.Connections, sampleSlots, d.connections)
		}
	}
	for n := range c.Services {
		if got, want := count[n], serversOfService; got != want {
			t.Errorf("%s: service %s: got %d servers, want %d", d.name, n, got, want)
		}
	}
	if got, want := len(addrs), len(c.Servers); got != want {
		t.Errorf("%s: got %d addresses of servers, want %d", d.name, got, want)
	}
}

// hostRow matches a row of the table of hosts in the comments of a sample: name,
// region, failure domain and IP address.
var hostRow = regexp.MustCompile(`(?m)^#   ([a-z]+-[ab]-\d) +([a-z]+) +([a-z]+-[ab]) +([0-9.]+)$`)

func TestSampleSettingsOfEachHostLoad(t *testing.T) {
	for _, d := range deployments {
		text := readSample(t, d, "host.ini")
		rows := hostRow.FindAllSubmatch(text, -1)
		if got, want := len(rows), sampleHosts; got != want {
			t.Fatalf("%s: got %d hosts, want %d", d.name, got, want)
		}
		t.Run(d.name, func(t *testing.T) {
			t.Chdir(t.TempDir())
			if err := os.Mkdir("keys", 0o700); err != nil {
				t.Fatal(err)
			}
			if err := certs.MakeCA(time.Now(), "keys", time.Hour); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile("keys/operator.token", []byte("a-token-of-sixteen-bytes"), 0o600); err != nil {
				t.Fatal(err)
			}
			for _, r := range rows {
				loadSample(t, text, r, rows[0])
			}
		})
	}
}

// loadSample loads the sample settings, in which the values of the first host are
// replaced by those of the row's host.
func loadSample(t *testing.T, text []byte, row, first [][]byte) {
	t.Helper()
	name := string(row[1])
	if err := certs.MakeHost(time.Now(), "keys", name, nil, time.Hour); err != nil {
		t.Fatal(err)
	}
	for _, line := range []struct{ key, suffix string }{
		{"name = ", ""}, {"cert = keys/", ".pem"}, {"key = keys/", ".key"},
	} {
		text = regexp.MustCompile(`(?m)^`+line.key+string(first[1])+line.suffix+`$`).
			ReplaceAll(text, []byte(line.key+name+line.suffix))
	}
	for key, i := range map[string]int{"region": 2, "domain": 3} {
		text = regexp.MustCompile(`(?m)^`+key+` = .*$`).ReplaceAll(text, []byte(key+" = "+string(row[i])))
	}
	text = regexp.MustCompile(`= `+regexp.QuoteMeta(string(first[4]))+`:`).ReplaceAll(text, []byte("= "+string(row[4])+":"))
	s, err := load(t, ".", string(text))
	if err != nil {
		t.Fatalf("host %s: %v", name, err)
	}
	if got, want := s.Host.Name, name; got != want {
		t.Errorf("got host %s, want %s", got, want)
	}
	if got, want := s.Listen.Peer, string(row[4])+":8001"; got != want {
		t.Errorf("host %s: got peer %s, want %s", name, got, want)
	}
}
