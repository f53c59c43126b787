// Package weights is a stand-in for the weight store. It serves weights of a fixed
// size and limits the total rate of all readers.
//
// # Usage
//
//	err := weights.Run(ctx, weights.Options{Address: "127.0.0.1:0", Bytes: 64 << 20, BytesPerSecond: 32 << 20})
//
// It also has a control endpoint for tests:
//
//	GET /control/stats  a [Stats]
package weights

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"golang.org/x/time/rate"

	"pollenspindle.example/pollenspindle/internal/standin/httpserver"
)

// chunkBytes is the maximum size of one read. It is also the burst of the limiter.
const chunkBytes = 64 << 10

// Options configures the store.
type Options struct {
	Address string
	// Bytes is the size of each version of each model.
	Bytes int64
	// BytesPerSecond is the total rate of all readers.
	BytesPerSecond int64
	// Ready is called with the address once the store accepts connections.
	Ready func(address string)
}

// Stats is the response body of GET /control/stats.
type Stats struct {
	// Reads counts the reads started. MaxReaders is the maximum number of
	// concurrent reads.
	Reads      int64 `json:"reads"`
	MaxReaders int64 `json:"mostReaders"`
}

// store counts the reads of the weight store.
type store struct {
	mu            sync.Mutex
	activeReaders int64
	stats         Stats
}

func (s *store) startRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeReaders++
	s.stats.Reads++
	s.stats.MaxReaders = max(s.stats.MaxReaders, s.activeReaders)
}

func (s *store) endRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeReaders--
}

func (s *store) snapshot() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Run runs the store until ctx is done.
func Run(ctx context.Context, opts Options) error {
	if opts.Bytes < 1 || opts.BytesPerSecond < 1 {
		return merry.New("size and rate must be above 0")
	}
	s := &store{}
	limiter := rate.NewLimiter(rate.Limit(opts.BytesPerSecond), chunkBytes)
	return httpserver.Run(ctx, opts.Address, opts.Ready, func(h *server.Hertz) {
		h.GET("/weights/:model/:version", func(ctx context.Context, c *app.RequestContext) {
			s.startRead()
			// The body is read after the handler has returned, which ends ctx.
			body := &limitedReader{ctx: context.WithoutCancel(ctx), limiter: limiter, remaining: opts.Bytes, onDone: sync.OnceFunc(s.endRead)}
			c.Response.SetBodyStream(body, int(opts.Bytes))
			c.SetStatusCode(http.StatusOK)
		})
		h.GET("/control/stats", func(_ context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, s.snapshot()) })
	})
}

// limitedReader reads zeros at the rate of the limiter. It calls onDone when it has
// been read to the end or closed.
type limitedReader struct {
	ctx       context.Context
	limiter   *rate.Limiter
	remaining int64
	onDone    func()
}

// Close implements io.Closer.
func (r *limitedReader) Close() error {
	r.onDone()
	return nil
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	n := int(min(int64(len(p)), r.remaining, chunkBytes))
	if err := r.limiter.WaitN(r.ctx, n); err != nil {
		return 0, err
	}
	clear(p[:n])
	r.remaining -= int64(n)
	if r.remaining == 0 {
		r.onDone()
	}
	return n, nil
}
