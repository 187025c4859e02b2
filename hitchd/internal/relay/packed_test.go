package relay

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"magnoliahitch/hitchd/internal/watch"
	"magnoliahitch/links/clock"
	"magnoliahitch/links/plat"
)

// fill gives the relay tables with the number of servers.
func fill(r *Relay, now time.Time, servers int) {
	rnd := rand.New(rand.NewPCG(1, 1))
	u := watch.Update{
		Operator: watch.TableUpdate{Version: 9, Full: true, Rows: []plat.Change{{Row: plat.Row{Key: "config", Version: 8, Value: []byte("xyz")}}}},
		Servers:  watch.TableUpdate{Version: 9, Full: true},
	}
	for i := range servers {
		value := fmt.Sprintf(`{"service":"ziwu%d","address":"10.%d.64.%d:8162","zone":"north-a","version":"v1","max_concurrency":5,"state":"ready","warmup_left_s":0,"sequence":%d,"born":17908385%05d}`,
			i%4, i%9, i%250, rnd.IntN(100), rnd.IntN(100000))
		u.Servers.Rows = append(u.Servers.Rows, plat.Change{Row: plat.Row{Key: fmt.Sprintf("i-%010x", rnd.Uint64()>>24), Version: int64(i % 9), Value: []byte(value)}})
	}
	r.watch.Adopt(now, u)
}

// A host without tables gets a packed copy that is as old as its source's, and a
// later poll only changes.
func TestPackedCopy(t *testing.T) {
	first, second := newRelay(host("a", "x")), newRelay(host("b", "x"))
	s := httptest.NewServer(first.Handler())
	defer s.Close()
	now := clock.Now()
	fill(first, now.Add(-time.Second), 50)
	a := host("a", "x")
	a.PeerAddr = strings.TrimPrefix(s.URL, "http://")
	for range 2 {
		// The second host gets the same copy, some time after it was encoded.
		second = newRelay(host("b", "x"))
		if err := second.poll(t.Context(), a); err != nil {
			t.Fatal(err)
		}
		st := second.watch.State()
		if st.Fleet.Len() != 50 || !st.Ready() {
			t.Fatalf("%d servers, ready %v, want 50", st.Fleet.Len(), st.Ready())
		}
		if age := clock.Now().Sub(st.ServersRead); age < time.Second || age > 3*time.Second {
			t.Errorf("age of the table = %v, want 1 s as at the source, and the time since", age)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if got := first.respond(clock.Now(), pollRequest{Self: host("b", "x"), Versions: second.watch.Versions(), Packed: true}); got.Packed != nil || len(got.Update.Servers.Rows) != 0 {
		t.Errorf("later poll gets a copy of %d bytes and %d rows, want none", len(got.Packed), len(got.Update.Servers.Rows))
	}
}

// A host of an older version, which doesn't know packed copies, gets a plain one.
func TestPlainCopyForOlderHosts(t *testing.T) {
	r := newRelay(host("a", "x"))
	fill(r, clock.Now(), 50)
	if got := r.respond(clock.Now(), pollRequest{Self: host("b", "x")}); got.Packed != nil || len(got.Update.Servers.Rows) != 50 {
		t.Errorf("copy of %d bytes and %d rows, want 50 rows", len(got.Packed), len(got.Update.Servers.Rows))
	}
}

// After a restart of all hosts a source sends copies to its whole domain at once: 33
// hosts and 3,008 servers, over a link of 20 Mbit/s. The copies must be there within
// copyTimeout, and encoding them must not take a slow source longer than one copy.
func TestRushOfCopies(t *testing.T) {
	const (
		servers  = 3008
		hosts    = 33
		linkRate = 20e6 / 8
	)
	r := newRelay(host("a", "x"))
	now := clock.Now()
	fill(r, now, servers)
	total := 0
	for i := range hosts {
		a := r.respond(now, pollRequest{Self: host(fmt.Sprint(i), "x"), Packed: true})
		data, err := msgpack.Marshal(a)
		if err != nil {
			t.Fatal(err)
		}
		total += len(data)
		if &a.Packed[0] != &r.packer.data[0] {
			t.Fatalf("copy for host %d was encoded again", i)
		}
	}
	if took := time.Duration(float64(total) / linkRate * float64(time.Second)); took > copyTimeout {
		t.Errorf("%d copies of %d bytes in all take %v at 20 Mbit/s, want %v at most", hosts, total, took, copyTimeout)
	}
}

// A damaged or endless copy is an error, not a table.
func TestDamagedCopy(t *testing.T) {
	r := newRelay(host("a", "x"))
	fill(r, clock.Now(), 50)
	data, _, err := r.packer.pack(clock.Now(), r.watch.Versions(), r.watch.Since)
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(data) - 1 {
		if _, err := unpack(data[:n]); err == nil {
			t.Fatalf("%d of %d bytes are a copy, want an error", n, len(data))
		}
	}
}
