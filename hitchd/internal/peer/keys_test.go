package peer

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/certs"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

// refusal is a server's report of a peer that it refused.
type refusal struct {
	addr, name string
	err        error
}

// makeAuthority makes a development certificate authority in a new directory.
func makeAuthority(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := certs.MakeCA(time.Now(), dir, 100*time.Hour); err != nil {
		t.Fatal(err)
	}
	return dir
}

// makeHost makes a key pair of the named host that is valid for an hour.
func makeHost(t *testing.T, dir, name string) certs.Files {
	t.Helper()
	if err := certs.MakeHost(time.Now(), dir, name, nil, time.Hour); err != nil {
		t.Fatal(err)
	}
	return certs.HostFiles(dir, name)
}

func openKeys(t *testing.T, f certs.Files, options ...certs.Option) *certs.Keys {
	t.Helper()
	k, err := certs.Open(f, options...)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// serveNames starts a server that responds with the sender's name. It returns the
// server's address.
func serveNames(t *testing.T, keys Keys) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(keys)
	s.Handle("POST /name", MessageHandler(func(r *http.Request, _ string) (string, error) { return SenderName(r.Context()), nil }))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- s.Serve(ctx, conn) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return conn.LocalAddr().String()
}

// requestName requests the name under which the host identifies this client.
func requestName(t *testing.T, keys Keys, to member.Host) (string, error) {
	t.Helper()
	c := NewClient(keys)
	defer c.Close()
	var got string
	err := c.Call(t.Context(), to, "/name", "", &got)
	return got, err
}

func TestPeerIsIdentifiedByCertificate(t *testing.T) {
	dir := makeAuthority(t)
	addr := serveNames(t, openKeys(t, makeHost(t, dir, "norte-a-1")))
	client := openKeys(t, makeHost(t, dir, "litoral-a-1"))
	got, err := requestName(t, client, member.Host{Name: "norte-a-1", PeerAddr: addr})
	if want := "litoral-a-1"; err != nil || got != want {
		t.Fatalf("got %q, %v, want %q", got, err, want)
	}
	_, err = requestName(t, client, member.Host{Name: "norte-b-1", PeerAddr: addr})
	if err == nil || !strings.Contains(err.Error(), "norte-b-1") {
		t.Fatalf("another host at the address: got %v, want an error that names norte-b-1", err)
	}
}

func TestPeerWithUnknownAuthorityOrExpiredKeyIsRefusedAndReported(t *testing.T) {
	dir, otherDir := makeAuthority(t), makeAuthority(t)
	refused := make(chan refusal, 1)
	report := certs.WithRefused(func(addr, name string, err error) { refused <- refusal{addr, name, err} })
	later := certs.WithTime(func() time.Time { return time.Now().Add(90 * time.Minute) })

	files := makeHost(t, dir, "norte-a-1")
	trustsBoth := makeHost(t, otherDir, "litoral-a-1")
	trustsBoth.CA = otherDir + "/both.pem"
	concatFiles(t, trustsBoth.CA, dir+"/ca.pem", otherDir+"/ca.pem")
	expired := makeHost(t, dir, "norte-b-1")
	if err := certs.MakeHost(time.Now(), dir, "norte-a-1", nil, 9*time.Hour); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		client certs.Files
		server []certs.Option
		want   string
	}{
		{"unknown authority", trustsBoth, []certs.Option{report}, "unknown authority"},
		{"expired", expired, []certs.Option{report, later}, "expired"},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr := serveNames(t, openKeys(t, files, c.server...))
			keys := openKeys(t, c.client)
			if _, err := requestName(t, keys, member.Host{Name: "norte-a-1", PeerAddr: addr}); err == nil {
				t.Fatal("got a response, want a refusal")
			}
			var r refusal
			select {
			case r = <-refused:
			default:
				t.Fatal("got no report of the refused peer, want one")
			}
			if !strings.Contains(r.err.Error(), c.want) || !strings.HasPrefix(r.addr, "127.0.0.1:") || r.name == "" {
				t.Errorf("got %+v, want the peer's address and name, and %q", r, c.want)
			}
		})
	}
}

func TestPeerOnOpenConnectionIsRefusedAfterKeyExpiry(t *testing.T) {
	dir := makeAuthority(t)
	if err := certs.MakeHost(time.Now(), dir, "norte-a-1", nil, 9*time.Hour); err != nil {
		t.Fatal(err)
	}
	shift := make(chan time.Duration, 1)
	shift <- 0
	now := func() time.Time {
		d := <-shift
		shift <- d
		return time.Now().Add(d)
	}
	files := certs.HostFiles(dir, "norte-a-1")
	addr := serveNames(t, openKeys(t, files, certs.WithTime(now)))
	c := NewClient(openKeys(t, makeHost(t, dir, "litoral-a-1")))
	defer c.Close()
	to := member.Host{Name: "norte-a-1", PeerAddr: addr}
	if err := c.Call(t.Context(), to, "/name", "", nil); err != nil {
		t.Fatal(err)
	}
	<-shift
	shift <- 90 * time.Minute
	if err := c.Call(t.Context(), to, "/name", "", nil); err == nil {
		t.Error("got a response after the key expired, want a refusal")
	}
}

func TestReloadedKeysApplyToNewConnections(t *testing.T) {
	dir, next := makeAuthority(t), makeAuthority(t)
	files := makeHost(t, dir, "norte-a-1")
	keys := openKeys(t, files)
	addr := serveNames(t, keys)
	client := openKeys(t, makeHost(t, next, "litoral-a-1"))
	to := member.Host{Name: "norte-a-1", PeerAddr: addr}
	if _, err := requestName(t, client, to); err == nil {
		t.Fatal("got a response from a host of another authority, want a refusal")
	}
	makeHost(t, next, "norte-a-1")
	concatFiles(t, files.CA, next+"/ca.pem")
	if changed, err := keys.Reload(); err == nil || changed {
		t.Fatalf("CA without matching certificate: got %v, %v, want an error and the old keys", changed, err)
	}
	concatFiles(t, files.Cert, next+"/norte-a-1.pem")
	concatFiles(t, files.Key, next+"/norte-a-1.key")
	if changed, err := keys.Reload(); err != nil || !changed {
		t.Fatalf("matching files: got %v, %v, want changed keys", changed, err)
	}
	if _, err := requestName(t, client, to); err != nil {
		t.Fatalf("after the reload: got %v, want a response", err)
	}
}

// concatFiles writes the contents of the files, one after another, to one file.
func concatFiles(t *testing.T, to string, from ...string) {
	t.Helper()
	var out []byte
	for _, f := range from {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, text...)
	}
	if err := os.WriteFile(to, out, 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestRequestWaitingForConnectionIsNotRun cancels a request during the handshake
// with a host that doesn't respond. Nothing was sent, so it may be retried.
func TestRequestWaitingForConnectionIsNotRun(t *testing.T) {
	unresponsive, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	c := NewClient(openKeys(t, makeHost(t, makeAuthority(t), "litoral-a-1")))
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		// The first packet shows that the handshake has begun.
		_, _, _ = unresponsive.ReadFrom(make([]byte, 2048))
		cancel()
	}()
	r := &call.Request{ID: "r", Cell: place.Cell{Region: "norte", Service: "stock"}, Method: http.MethodGet, Path: "/", Header: http.Header{}, Deadline: clock.Now().Add(time.Minute)}
	_, err = c.Forward(ctx, member.Host{Name: "norte-a-1", PeerAddr: unresponsive.LocalAddr().String()}, r)
	if got, want := result.OutcomeOf(err), result.NotRun; got != want {
		t.Errorf("got %v (%v), want %v", got, err, want)
	}
}
