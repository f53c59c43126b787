// Package instancelist is the client of the platform's list of live and leaving instances. The list
// lags: a listed instance may have crashed, and one that has just started may be missing.
//
// # Usage
//
//	client := instancelist.NewClient("http://127.0.0.1:7000", nil)
//	instances, err := client.List(ctx)
package instancelist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/controlcost"
	"pollenspindle.example/pollenspindle/internal/httptransport"
)

const (
	// timeout limits a call. The platform responds within milliseconds, but may be slow for a long
	// time. Callers that need a shorter timeout set it in their context.
	timeout = 8 * time.Second
	// maxListBytes limits the list; 350 instances take about 50 KB.
	maxListBytes = 4 << 20
	// maxHeadBytes limits the head of an answer.
	maxHeadBytes = 64 << 10
)

// ErrUnavailable means that the list could not be read.
var ErrUnavailable = merry.Sentinel("instance list unavailable")

// State tells live instances from leaving ones.
type State string

// The states of an instance.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one entry of the list. Addresses are host:port by IP number.
type Instance struct {
	ID          string `json:"id"`
	Address     string `json:"address"`
	PeerAddress string `json:"peerAddress"`
	Zone        string `json:"zone"`
	State       State  `json:"state"`
}

// Client reads the list. It is safe for concurrent use.
type Client struct {
	base      string
	transport httptransport.Transport
	meter     *controlcost.Meter
}

// NewClient returns a client of the platform at baseURL. meter counts its bytes and may be nil.
func NewClient(baseURL string, meter *controlcost.Meter) *Client {
	return &Client{
		base: baseURL,
		transport: httptransport.Transport{Transport: &http.Transport{
			DialContext: controlcost.Dial, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxHeadBytes,
		}},
		meter: meter,
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// List reads the list once.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var exchange controlcost.Exchange
	defer func() { c.meter.AddBytes(exchange.Bytes()) }()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { exchange.Begin(info.Conn, info.Reused) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/instances", http.NoBody)
	if err != nil {
		return nil, merry.Wrap(ErrUnavailable, merry.WithCause(err))
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		// The connection may have gone silent for good, so the next call dials a new one.
		c.transport.CloseIdleConnections()
		return nil, merry.Wrap(ErrUnavailable, merry.WithCause(err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, merry.Wrap(ErrUnavailable, merry.AppendMessagef("status %d", resp.StatusCode))
	}
	var list struct {
		Instances []Instance `json:"instances"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&list); err != nil {
		return nil, merry.Wrap(ErrUnavailable, merry.WithCause(err))
	}
	return list.Instances, nil
}
