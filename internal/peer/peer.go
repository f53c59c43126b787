// Package peer implements the calls between instances: a Connect client and server on a listener of
// their own, with HTTP/2 over plain TCP.
//
// Each call is authenticated with the key that all instances share. There is one connection to each
// peer. A connection that stops responding is detected by pings and dropped, so that the next call
// opens a new one.
//
// # Usage
//
//	key, err := peer.NewKey(settings.PeerKey)
//	server := peer.NewServer(handler, key, scope, peer.WithTracing(tracer), peer.WithMetering(costs))
//	go server.Serve(ctx, listener)
//
//	pool := peer.NewPool("i1", key, scope, peer.WithMetering(costs))
//	defer pool.Close()
//	res, err := pool.Client("127.0.0.1:9080").Heartbeat(ctx, req)
package peer

import (
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"
)

const (
	// maxMessageBytes limits one message. The largest is the complete configuration in the first
	// FetchConfig: 2,000 servers of some 300 bytes each and 290 workspaces.
	maxMessageBytes = 4 << 20
	// maxHeadBytes limits the head of a message.
	maxHeadBytes = 64 << 10
	// compressMinBytes is the size from which answers are compressed: those with the configuration
	// or the roster. Compressing heartbeat answers, which have some 100 bytes, takes more CPU time
	// than answering the heartbeats and about a megabyte of memory for the compressor, and saves
	// nothing.
	compressMinBytes = 4 << 10
	// pingAfter and pingTimeout detect a connection that a network device between the two ends has
	// dropped: it delivers nothing although new ones work. It is closed before the second
	// heartbeat after the last answer, which is due after two seconds and then uses a new
	// connection. So a single lost heartbeat can't cost an instance its lease of three seconds. A
	// working connection is never pinged, because it has a heartbeat each second: pings from both
	// ends after one second would cost 68 bytes per second for each connection.
	pingAfter   = 1250 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
	dialTimeout = 500 * time.Millisecond
	// clientIdleTimeout closes unused connections. Heartbeats keep the connections to the required
	// peers open. Open connections to all others of 350 instances would cost more for pings than
	// all heartbeats, and so would the connections to a random peer each second if they stayed open
	// for long. Opening one again costs a round trip. serverIdleTimeout is the much longer timeout
	// of the server, for clients that disappeared.
	clientIdleTimeout = 1500 * time.Millisecond
	serverIdleTimeout = time.Minute
	// readHeaderTimeout limits how long the server waits for the headers of a request.
	readHeaderTimeout = 2 * time.Second
	// maxStreams limits the concurrent calls of one peer; further calls wait in the client.
	maxStreams = 1000
)

var (
	// ErrKey means that the shared key is malformed.
	ErrKey = merry.Sentinel("peer key is not base64 of 32 bytes")
	// ErrUnauthenticated means that a call has no valid token.
	ErrUnauthenticated = merry.Sentinel("peer not authenticated")
	// ErrUnreachable means that a peer didn't answer. The call may have taken effect.
	ErrUnreachable = merry.Sentinel("peer unreachable")
	// ErrRejected means that the peer answered with an error.
	ErrRejected = merry.Sentinel("peer rejected the call")
)

// convertError converts an error of Connect into one of this package.
func convertError(err error) error {
	if err == nil {
		return nil
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated:
		return merry.Prepend(ErrUnauthenticated, err.Error())
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled, connect.CodeUnknown:
		return merry.Prepend(ErrUnreachable, err.Error())
	default:
		return merry.Prepend(ErrRejected, err.Error())
	}
}

// IsUnreachable reports whether err means that a peer didn't answer.
func IsUnreachable(err error) bool { return errors.Is(err, ErrUnreachable) }

// protocols allows only HTTP/2 without TLS.
func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// clientHTTP2Config returns the HTTP/2 configuration of clients, which send pings.
func clientHTTP2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		SendPingTimeout:  pingAfter,
		PingTimeout:      pingTimeout,
		WriteByteTimeout: pingAfter + pingTimeout,
	}
}

// serverHTTP2Config returns the HTTP/2 configuration of the server. It needs no pings: resources of
// a client that disappeared are freed at the end of the call, within a second, or after
// serverIdleTimeout.
func serverHTTP2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams,
		WriteByteTimeout:     pingAfter + pingTimeout,
	}
}
