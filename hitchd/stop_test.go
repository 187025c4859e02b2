package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"magnoliahitch/hitchd/internal/pipe"
	"magnoliahitch/hitchd/internal/setup"
	"magnoliahitch/steer/config"
)

// stopTTL is the time to live of lookup responses in the test.
const stopTTL = 2500 * time.Millisecond

// fakeCellHolder records that the host left the lookup responses and handed over its
// cells.
type fakeCellHolder struct {
	left       atomic.Bool
	handedOver atomic.Bool
}

func (f *fakeCellHolder) Leave() { f.left.Store(true) }

func (f *fakeCellHolder) HandOver(context.Context) error {
	f.handedOver.Store(true)
	return nil
}

// fakeShutdowner records that it was shut down.
type fakeShutdowner struct{ called atomic.Bool }

func (f *fakeShutdowner) Shutdown(context.Context) error {
	f.called.Store(true)
	return nil
}

// fixedView returns a configuration that doesn't change.
type fixedView struct{ config *config.Config }

func (f fixedView) Config() *config.Config { return f.config }

// caller sends requests sequentially until a lookup no longer returns the host. It
// uses a lookup response until its time to live ends.
func caller(addr string, l *fakeCellHolder, failed *atomic.Int64) {
	client := &http.Client{Transport: &http.Transport{}}
	for {
		left, lookupTime := l.left.Load(), time.Now()
		if left {
			return
		}
		for time.Since(lookupTime) < stopTTL {
			res, err := client.Get("http://" + addr)
			if err != nil {
				failed.Add(1)
				return
			}
			_, err = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			if err != nil || res.StatusCode != http.StatusOK {
				failed.Add(1)
			}
		}
	}
}

// TestPlannedStopCutsNoRequest stops a server under load and checks that no request
// fails, and that the stop hands the cells over and shuts the peer server down.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var served, failed atomic.Int64
	warm := make(chan struct{})
	var once sync.Once
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, "first half, ")
		w.(http.Flusher).Flush()
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, "second half")
		if served.Add(1) > 100 {
			once.Do(func() { close(warm) })
		}
	})}
	port := pipe.New(listener)
	port.Attach(server)
	ctx, stop := context.WithCancel(t.Context())
	l, peers := &fakeCellHolder{}, &fakeShutdowner{}
	s := &stopper{
		hosts: l, view: fixedView{&config.Config{}}, callers: server, port: port, peers: peers,
		settings: setup.Settings{Caller: setup.Caller{LookupTTL: stopTTL}, Daemon: setup.Daemon{StopTimeout: time.Minute}},
		log:      hclog.NewNullLogger(),
	}
	var g run.Group
	addServer(&g, server, port, time.Minute)
	addStop(ctx, &g, s)
	done := make(chan error)
	go func() { done <- g.Run() }()
	var callers sync.WaitGroup
	for range 50 {
		callers.Go(func() { caller(listener.Addr().String(), l, &failed) })
	}
	<-warm
	stop()
	callers.Wait()
	if err := <-done; err != nil {
		t.Errorf("got %v, want a stop without an error", err)
	}
	if got := failed.Load(); got != 0 {
		t.Errorf("got %d failed requests of %d, want none", got, served.Load())
	}
	if !l.handedOver.Load() || !peers.called.Load() {
		t.Error("got a stop without a handover of the cells or without a shutdown of the peer server, want both")
	}
}

func TestLookupTTLIsTheLongestOfAllServices(t *testing.T) {
	c := &config.Config{
		Profiles: map[string]config.Profile{"short": {LookupTTLMs: 1000}, "long": {LookupTTLMs: 4000}, "unset": {}},
		Services: map[string]config.Service{"a": {Profile: "short"}, "b": {Profile: "long"}},
	}
	if got, want := lookupTTL(c, 5*time.Second), 4*time.Second; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	c.Services["c"] = config.Service{Profile: "unset"}
	if got, want := lookupTTL(c, 5*time.Second), 5*time.Second; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}
