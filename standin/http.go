package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// headerTimeout is the timeout for reading a request's header.
const headerTimeout = 5 * time.Second

// serveHTTP serves at the address until the context ends, which closes all
// connections.
func serveHTTP(ctx context.Context, addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve %s", addr)
	}
	return nil
}
