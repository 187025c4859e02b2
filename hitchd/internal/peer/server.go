package peer

import (
	"context"
	"net"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go/http3"

	"magnoliahitch/steer/result"
)

// Server serves the peer port, on which other hosts send messages and requests.
type Server struct {
	mux    *http.ServeMux
	server *http3.Server
}

// NewServer returns a server that presents the host's certificate and requires
// clients to present one that the hosts' certificate authority signed.
func NewServer(keys Keys) *Server {
	mux := http.NewServeMux()
	return &Server{mux: mux, server: &http3.Server{
		Handler:    identify(keys, mux),
		TLSConfig:  http3.ConfigureTLSConfig(keys.Server()),
		QUICConfig: quicConfig(),
	}}
}

// peerNameKey is the context key of the peer's name.
type peerNameKey struct{}

// SenderName returns the name in the certificate of the host that sent the request, ""
// if ctx isn't the context of a request to a [Server].
func SenderName(ctx context.Context) string {
	name, _ := ctx.Value(peerNameKey{}).(string)
	return name
}

// identify adds the peer's name to the context of each request. It refuses
// requests of peers whose certificates have expired since the connection was made.
func identify(keys Keys, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, err := keys.Peer(r)
		if err != nil {
			writeError(w, result.NewNotRun(result.ReasonPeer, "identify peer "+r.RemoteAddr, "peer port"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), peerNameKey{}, name)))
	})
}

// Handle registers the handler of messages that match the pattern, which has the
// form of those of [http.ServeMux].
func (s *Server) Handle(pattern string, h http.Handler) { s.mux.Handle(pattern, h) }

// Serve serves the socket until the context ends, then closes all connections.
// After a [Server.Shutdown] it still waits for the end of the context. It
// returns an error only if the server failed before.
func (s *Server) Serve(ctx context.Context, conn net.PacketConn) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err := s.server.Serve(conn)
	if errors.Is(err, http.ErrServerClosed) {
		// Serve returns as soon as a shutdown begins; requests in flight still run.
		<-ctx.Done()
	}
	if err == nil || ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve peers")
}

// Shutdown stops accepting requests and waits until those in flight are complete
// or the context ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }
