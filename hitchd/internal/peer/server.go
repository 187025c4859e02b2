package peer

import (
	"context"
	"net"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go/http3"

	"magnoliahitch/steer/result"
)

// Server answers other hosts.
type Server struct {
	mux    *http.ServeMux
	server *http3.Server
}

// NewServer returns a server that shows the host's certificate and demands
// one of the hosts' authority.
func NewServer(keys Keys) *Server {
	mux := http.NewServeMux()
	return &Server{mux: mux, server: &http3.Server{
		Handler:    identify(keys, mux),
		TLSConfig:  http3.ConfigureTLSConfig(keys.Server()),
		QUICConfig: quicConfig(),
	}}
}

// nameKey is the context key of the peer's name.
type nameKey struct{}

// Name returns the name of the host that sent the message, as its certificate
// proves it.
func Name(ctx context.Context) string {
	name, _ := ctx.Value(nameKey{}).(string)
	return name
}

// identify passes on requests of hosts whose certificates are still valid.
func identify(keys Keys, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, err := keys.Peer(r)
		if err != nil {
			writeError(w, result.Refuse(result.ReasonPeer, "identify peer "+r.RemoteAddr, "peer port"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), nameKey{}, name)))
	})
}

// Handle registers the handler of a message. Patterns are those of
// [http.ServeMux].
func (s *Server) Handle(pattern string, h http.Handler) { s.mux.Handle(pattern, h) }

// Serve answers on the connection until the context ends.
func (s *Server) Serve(ctx context.Context, conn net.PacketConn) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err := s.server.Serve(conn)
	if errors.Is(err, http.ErrServerClosed) {
		// Requests in flight go on after a shutdown.
		<-ctx.Done()
	}
	if err == nil || ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve peers")
}

// Shutdown takes no new requests and waits for those in flight until the
// context ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }
