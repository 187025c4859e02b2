package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go/http3"
)

// Server answers other hosts.
type Server struct {
	mux    *http.ServeMux
	server *http3.Server
}

// NewServer returns a server that shows and demands certificates of the
// hosts' authority.
func NewServer(keys *tls.Config) *Server {
	mux := http.NewServeMux()
	return &Server{mux: mux, server: &http3.Server{
		Handler:   mux,
		TLSConfig: http3.ConfigureTLSConfig(keys),
	}}
}

// Handle registers the handler of a message. Patterns are those of
// [http.ServeMux].
func (s *Server) Handle(pattern string, h http.Handler) { s.mux.Handle(pattern, h) }

// Serve answers on the connection until the context ends.
func (s *Server) Serve(ctx context.Context, conn net.PacketConn) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err := s.server.Serve(conn)
	if err == nil || ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve peers")
}
