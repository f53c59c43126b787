// Package pair measures the latency that an entry instance adds to a generation. It sends the
// same requests alternately to an engine directly and through the instance, and compares the
// time to the first token and the transit time of each token from the engine to the caller. The
// engine stand-in must run with stamps, on the same machine.
//
// # Usage
//
//	result, err := pair.Run(ctx, pair.Options{
//		Engine: "127.0.0.1:19001", Instance: "127.0.0.1:8080",
//		Token: "inyange-kigali-flyers", Model: "airworthiness", Pairs: 50, Tokens: 40,
//	})
package pair

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/google/uuid"

	"pollenspindle.example/pollenspindle/internal/eventstream"
	"pollenspindle.example/pollenspindle/internal/httpclient"
)

// Options configure one comparison.
type Options struct {
	Engine   string
	Instance string
	// Token is the bearer token for the instance.
	Token string
	Model string
	// Pairs is the number of requests per path, Tokens the maximum number of tokens of each.
	Pairs  int
	Tokens int
}

// Result holds the latencies of both paths.
type Result struct {
	Direct  PathStats `json:"straight"`
	Relayed PathStats `json:"relayed"`
}

// PathStats holds the latencies of one path, in microseconds.
type PathStats struct {
	// FirstToken is the time from sending the request to its first token.
	FirstToken Quantiles `json:"firstTokenMicros"`
	// Transit is the time from the engine emitting a token to its arrival.
	Transit Quantiles `json:"transitMicros"`
}

// Quantiles summarizes a distribution, in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
}

const (
	histogramMaxNanos = int64(time.Minute)
	histogramDigits   = 3
	// warmUpPairs is the number of pairs that are not counted, while connections are opened and
	// code is loaded.
	warmUpPairs = 3
)

// path measures one of the two paths.
type path struct {
	address    string
	opts       Options
	http       *httpclient.Client
	firstToken *hdrhistogram.Histogram
	transit    *hdrhistogram.Histogram
}

func newPath(address string, opts Options, c *httpclient.Client) *path {
	return &path{
		address: address, opts: opts, http: c,
		firstToken: hdrhistogram.New(1, histogramMaxNanos, histogramDigits), transit: hdrhistogram.New(1, histogramMaxNanos, histogramDigits),
	}
}

// Run sends the pairs, one request at a time.
func Run(ctx context.Context, opts Options) (Result, error) {
	c := httpclient.New(httpclient.Options{})
	defer c.Close()
	direct, relayed := newPath(opts.Engine, opts, c), newPath(opts.Instance, opts, c)
	for i := range opts.Pairs + warmUpPairs {
		// The order alternates so that neither path always finds the prompt in the cache.
		order := []*path{direct, relayed}
		if i%2 == 1 {
			order[0], order[1] = order[1], order[0]
		}
		for _, p := range order {
			if i == warmUpPairs {
				p.firstToken.Reset()
				p.transit.Reset()
			}
			if err := p.send(ctx, i); err != nil {
				return Result{}, merry.Prependf(err, "pair %d to %s", i, p.address)
			}
		}
	}
	return Result{Direct: direct.stats(), Relayed: relayed.stats()}, nil
}

type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (p *path) send(ctx context.Context, i int) error {
	body, err := json.Marshal(chatBody{
		Model: p.opts.Model, Stream: true, MaxTokens: p.opts.Tokens,
		Messages: []chatMessage{{Role: "user", Content: fmt.Sprintf("briefing number %d", i)}},
	})
	if err != nil {
		return merry.Wrap(err)
	}
	r := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(r)
	r.SetMethod(http.MethodPost)
	r.Header.SetHost(p.address)
	r.SetRequestURI("/v1/chat/completions")
	r.Header.SetContentTypeBytes([]byte("application/json"))
	r.Header.Set("Authorization", "Bearer "+p.opts.Token)
	r.Header.Set("X-Request-Id", uuid.NewString())
	r.SetBody(body)
	sent := time.Now()
	resp, err := p.http.Do(ctx, p.address, r, httpclient.Call{Stream: true})
	if err != nil {
		return err
	}
	defer resp.Close()
	if resp.StatusCode() != http.StatusOK {
		return merry.Errorf("status %d", resp.StatusCode())
	}
	return p.read(resp, sent)
}

// stampedChunk is the part of a chunk that is decoded.
type stampedChunk struct {
	EmittedNanos int64 `json:"emittedNanos"`
}

func (p *path) read(resp *httpclient.Response, sent time.Time) error {
	events := eventstream.NewReader(resp.Body())
	for first := true; ; first = false {
		ev, err := events.Next()
		if err != nil {
			return err
		}
		now := time.Now()
		if string(ev.Data) == "[DONE]" {
			resp.Drain()
			return nil
		}
		var s stampedChunk
		if err := json.Unmarshal(ev.Data, &s); err != nil || s.EmittedNanos == 0 {
			return merry.Errorf("chunk without stamp: %s", ev.Name)
		}
		if first {
			record(p.firstToken, now.Sub(sent).Nanoseconds())
		}
		record(p.transit, now.UnixNano()-s.EmittedNanos)
	}
}

func record(h *hdrhistogram.Histogram, nanos int64) {
	// The value is clamped to the histogram's range, so recording can't fail.
	_ = h.RecordValue(min(max(nanos, 1), histogramMaxNanos))
}

func (p *path) stats() PathStats {
	return PathStats{FirstToken: newQuantiles(p.firstToken), Transit: newQuantiles(p.transit)}
}

func newQuantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) int64 { return h.ValueAtQuantile(q) / int64(time.Microsecond) }
	return Quantiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
}

// WriteTable writes the latencies of both paths and the difference between them.
func (r Result) WriteTable(out io.Writer) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "microseconds\tcount\tstraight p50\tp95\tp99\trelayed p50\tp95\tp99\tadded p50\tp95\tp99")
	writeRow(tw, "first token", r.Direct.FirstToken, r.Relayed.FirstToken)
	writeRow(tw, "each token", r.Direct.Transit, r.Relayed.Transit)
	return tw.Flush()
}

func writeRow(w io.Writer, name string, direct, relayed Quantiles) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", name, relayed.Count,
		direct.P50, direct.P95, direct.P99, relayed.P50, relayed.P95, relayed.P99, relayed.P50-direct.P50, relayed.P95-direct.P95, relayed.P99-direct.P99)
}
