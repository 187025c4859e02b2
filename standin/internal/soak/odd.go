package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/platform"
)

// missing is the value of a field that an odd record lacks.
type missing struct{}

// oddRecords are records of another writer, which name no server. Each is a change of a
// record that is good otherwise.
var oddRecords = []map[string]any{
	{"address": "127.0.0.1:70000"},
	{"address": "0.0.0.0:0"},
	{"address": 7},
	{"max_concurrency": 1e30},
	{"max_concurrency": math.MaxInt64},
	{"warmup_left_s": 1e300},
	{"born": math.MaxInt64},
	{"born": "yesterday"},
	{"sequence": -1},
	{"service": nil},
	{"state": "resting"},
	{"zone": []any{}},
	{"version": missing{}, "warmup_left_s": missing{}, "born": missing{}},
	{"version": missing{}},
	{"version": 1},
	{"warmup_left_s": missing{}},
	{"warmup_left_s": nil},
	{"born": missing{}},
	{"sequence": missing{}},
	{"State": "ready"},
}

// encodeOdd returns the odd record with the number, which is a change of the good record.
func encodeOdd(good []byte, number int) []byte {
	n := number % (len(oddRecords) + 1)
	if n == len(oddRecords) {
		return []byte(strings.Repeat("[", 100000))
	}
	var fields map[string]any
	if err := json.Unmarshal(good, &fields); err != nil {
		panic(err)
	}
	maps.Copy(fields, oddRecords[n])
	maps.DeleteFunc(fields, func(_ string, v any) bool { return v == any(missing{}) })
	out, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return out
}

// writeOdd writes an odd record, with the id of no server, and removes it at the end of
// the fault. At its address listens a program of the other writer, which is no server.
func (f *fleet) writeOdd(ctx context.Context, e Event) {
	address, end, err := startOther(f.world.ip(120, 1) + ":0")
	if err != nil {
		fmt.Printf("could not start the program of an odd record: %v\n", err)
		return
	}
	defer end()
	f.mu.Lock()
	s := f.endpoints[int(e.Target)%len(f.endpoints)]
	record := f.record(s, s.server, address)
	f.mu.Unlock()
	id := fmt.Sprintf("odd-%d", e.Target)
	if _, err := f.store.Put(ctx, platform.ServerTable, id, encodeOdd(record, int(e.Target>>8))); err != nil {
		fmt.Printf("could not write an odd record: %v\n", err)
	}
	sleep(ctx, e.For)
	f.unregister(id)
}

// startOther starts a program at the address that is no server: it answers each request with
// status 404. It returns the address with the port, and a function that ends the program.
func startOther(address string) (string, func(), error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return "", nil, errors.Wrap(err, "listen")
	}
	s := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second}
	go func() {
		// It ends with an error when the program does.
		_ = s.Serve(l)
	}()
	return l.Addr().String(), func() { _ = s.Close() }, nil
}
