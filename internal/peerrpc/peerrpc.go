// Package peerrpc is how instances call each other: connect over HTTP/1.1 with
// plain structs as JSON, signed with the key that all instances share.
//
// # Usage
//
//	caller := peerrpc.NewCaller(key, self, time.Second)
//	client := connect.NewClient[Ask, Answer](caller.HTTP, url, peerrpc.ClientOptions()...)
//	caller.Sign(now, req.Header(), procedure)
package peerrpc

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"pollenspindle.example/pollenspindle/internal/peer"
)

const (
	authField = "Peer-Auth"
	// MaxBytes bounds a message: a configuration of the largest size.
	MaxBytes = 8 << 20
	// idleTime is how long an unused connection is kept.
	idleTime = 8 * time.Second
	// compressFrom is the size from which messages are compressed.
	compressFrom = 4 << 10
)

// Caller signs calls and holds the connections that they use.
type Caller struct {
	Key  peer.Key
	Self string
	HTTP *http.Client
}

// NewCaller returns a caller whose calls dial for up to timeout.
func NewCaller(key peer.Key, self string, timeout time.Duration) *Caller {
	dialer := &net.Dialer{Timeout: timeout}
	return &Caller{Key: key, Self: self, HTTP: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTime, DisableCompression: true,
	}}}
}

// Drop closes idle connections, which may have gone silent.
func (c *Caller) Drop() { c.HTTP.CloseIdleConnections() }

// Sign adds what proves to another instance who calls.
func (c *Caller) Sign(now time.Time, header http.Header, procedure string) {
	header.Set(authField, c.Key.Token(now, c.Self, procedure))
}

// Check returns an error unless the call is signed with the key.
func Check(key peer.Key, now time.Time, header http.Header, procedure string) error {
	if _, err := key.Check(now, header.Get(authField), procedure); err != nil {
		return connect.NewError(connect.CodeUnauthenticated, peer.ErrUnauthenticated)
	}
	return nil
}

// ClientOptions are those of all clients.
func ClientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithCodec(plainJSON{}), connect.WithReadMaxBytes(MaxBytes), connect.WithSendGzip(),
		connect.WithCompressMinBytes(compressFrom),
	}
}

// HandlerOptions are those of all handlers.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCodec(plainJSON{}), connect.WithReadMaxBytes(MaxBytes), connect.WithCompressMinBytes(compressFrom),
	}
}

// plainJSON is the codec for plain structs.
type plainJSON struct{}

func (plainJSON) Name() string { return "json" }

func (plainJSON) Marshal(v any) ([]byte, error) { return json.Marshal(v) }

func (plainJSON) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }
