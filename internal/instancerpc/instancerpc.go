// Package instancerpc provides the clients and handler options for calls between instances: Connect
// over HTTP/1.1 with plain structs as JSON, signed with the key that all instances share.
//
// # Usage
//
//	c := instancerpc.NewClient(key, self, time.Second)
//	rpc := connect.NewClient[Request, Response](c.HTTP, url, instancerpc.ClientOptions()...)
//	c.Sign(now, req.Header(), procedure)
package instancerpc

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/httptransport"
	"pollenspindle.example/pollenspindle/internal/peer"
)

const (
	authHeader = "Peer-Auth"
	// MaxBytes limits a message; the largest is a configuration of the maximum size.
	MaxBytes = 8 << 20
	// MaxHeadBytes limits the head of a message.
	MaxHeadBytes = 64 << 10
	// idleTimeout is how long an unused connection is kept open.
	idleTimeout = 8 * time.Second
	// compressMinBytes is the size from which messages are compressed: a compressor takes longer to
	// set up than a smaller message takes to send.
	compressMinBytes = 16 << 10
)

// Client signs calls to other instances and holds the connections for them.
type Client struct {
	Key  peer.Key
	Self string
	HTTP *http.Client
}

// NewClient returns a client whose calls wait up to timeout for a connection.
func NewClient(key peer.Key, self string, timeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: timeout}
	return &Client{Key: key, Self: self, HTTP: &http.Client{Transport: limitedTransport{httptransport.Transport{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: MaxHeadBytes,
	}}}}}
}

// ErrTooLarge means that a message exceeds [MaxBytes].
var ErrTooLarge = merry.Sentinel("message of another instance too large")

// limitedTransport ends the connection of an answer that exceeds [MaxBytes], instead of reading it to its end.
type limitedTransport struct{ httptransport.Transport }

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.Transport.RoundTrip(r)
	if err == nil {
		res.Body = &limitedBody{res.Body, MaxBytes}
	}
	return res, err
}

type limitedBody struct {
	io.ReadCloser
	remaining int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		return 0, merry.Wrap(ErrTooLarge)
	}
	return n, err
}

// CloseIdleConnections closes idle connections, which may be broken without notice.
func (c *Client) CloseIdleConnections() { c.HTTP.CloseIdleConnections() }

// Sign adds the token that authenticates the call to the other instance.
func (c *Client) Sign(now time.Time, header http.Header, procedure string) {
	header.Set(authHeader, c.Key.Token(now, c.Self, procedure))
}

// Verify returns an error unless the call is signed with the key.
func Verify(key peer.Key, now time.Time, header http.Header, procedure string) error {
	if _, err := key.Check(now, header.Get(authHeader), procedure); err != nil {
		return connect.NewError(connect.CodeUnauthenticated, peer.ErrUnauthenticated)
	}
	return nil
}

// ClientOptions returns the options of all Connect clients.
func ClientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithCodec(jsonCodec{}), connect.WithReadMaxBytes(MaxBytes), connect.WithSendGzip(),
		connect.WithCompressMinBytes(compressMinBytes),
	}
}

// HandlerOptions returns the options of all Connect handlers.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCodec(jsonCodec{}), connect.WithReadMaxBytes(MaxBytes), connect.WithCompressMinBytes(compressMinBytes),
	}
}

// jsonCodec is the codec for plain structs.
type jsonCodec struct{}

func (jsonCodec) Name() string { return "json" }

func (jsonCodec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }

func (jsonCodec) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }
