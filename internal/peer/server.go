package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/connlimit"
	"pollenspindle.example/pollenspindle/internal/httplisten"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1/peerv1connect"
)

// closeTimeout limits how long a server that is shutting down waits for calls in progress. No
// call takes longer than the wait of a queued Acquire.
const closeTimeout = 2 * time.Second

// Server answers the calls of peers.
type Server struct {
	http    *http.Server
	mux     *http.ServeMux
	options connect.HandlerOption
	scope   tally.Scope
	// connections is nil for no limit.
	connections *connlimit.Account
}

// NewServer returns a server that passes authenticated calls to handler. The further options, such
// as [WithTracing], are applied after the authentication.
func NewServer(handler peerv1connect.PeerServiceHandler, key Key, scope tally.Scope, extra ...connect.HandlerOption) *Server {
	options := connect.WithHandlerOptions(append([]connect.HandlerOption{
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(compressMinBytes),
		connect.WithInterceptors(authenticate(key)),
	}, extra...)...)
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(handler, options))
	return &Server{
		mux:     mux,
		options: options,
		scope:   scope,
		http: &http.Server{
			Handler:           withoutDate(RequireToken(key, time.Now, mux)),
			Protocols:         serverProtocols(),
			HTTP2:             serverHTTP2Config(),
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       serverIdleTimeout,
			MaxHeaderBytes:    maxHeadBytes,
		},
	}
}

// LimitConnections bounds what the connections of peers hold. It is called before [Server.Serve].
func (s *Server) LimitConnections(account *connlimit.Account) { s.connections = account }

// Handle serves a path by a handler that authenticates its callers itself. Unlike the calls of the
// service, requests may use HTTP/1.1, whose connections can be upgraded.
func (s *Server) Handle(path string, handler http.Handler) { s.mux.Handle(path, handler) }

func serverProtocols() *http.Protocols {
	p := protocols()
	p.SetHTTP1(true)
	return p
}

// withoutDate omits the Date header from answers. It changes each second, so in the answer to a
// heartbeat it would take more bytes than all other headers.
func withoutDate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}

// Serve serves calls on listener until ctx ends, then waits for those in progress.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	served := make(chan error, 1)
	limited := httplisten.New(countingListener{listener, newByteCounter(s.scope)}, httplisten.Options{
		Account: s.connections, Class: connlimit.Internal, MaxHeadBytes: maxHeadBytes, HTTP2: true,
	})
	s.http.ConnState = limited.ConnState
	go func() { served <- s.http.Serve(limited) }()
	select {
	case err := <-served:
		return merry.Prepend(err, "serve peers")
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if err := s.http.Shutdown(closing); err != nil {
		_ = s.http.Close()
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return merry.Prepend(err, "serve peers")
	}
	return nil
}
