package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/uber-go/tally/v4"

	"pollenspindle.example/pollenspindle/internal/claim"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/peer/peerv1/peerv1connect"
	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/internal/roster"
	"pollenspindle.example/pollenspindle/internal/standin/platform"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// sharedKey is the peer key of all instances.
const sharedKey = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

// peerCallCounts are the numbers of calls that are measured.
var peerCallCounts = []int{50, 100, 200, 400}

// rosterSeries measures the roster object and its index.
func rosterSeries(context.Context, Options) ([]Series, error) {
	encoded := func(n int) []byte {
		members := rosterInstances(n)
		value, _ := json.Marshal(initialRoster(members).Next(members))
		return value
	}
	return []Series{
		measureSeries("roster object", "bytes", "instances", designInstances, instanceSizes, func(n int) float64 {
			return float64(len(encoded(n)))
		}),
		measureSeries("roster: decoding and indexing", "µs", "instances", designInstances, instanceSizes, func(n int) float64 {
			value := encoded(n)
			return timeMicros(func() {
				var o roster.Object
				if json.Unmarshal(value, &o) == nil {
					roster.New(2, o)
				}
			})
		}),
	}, nil
}

// messageSeries measures calls between peers, load reports, load polls and the platform calls
// of claims.
func messageSeries(ctx context.Context, _ Options) ([]Series, error) {
	var out []Series
	for _, m := range []struct {
		name string
		call func(context.Context, *peer.Client) error
	}{
		{"permit request, through a peer", callAcquire},
		{"permit release, through a peer", callRelease},
	} {
		bytes := Series{Name: m.name, Unit: "bytes both ways", SizeName: "calls", DesignSize: 1000}
		cpu := Series{Name: m.name + ", both ends", Unit: "CPU ms", SizeName: "calls", DesignSize: 1000}
		for _, n := range peerCallCounts {
			b, c, err := measurePeerCalls(ctx, n, m.call)
			if err != nil {
				return out, err
			}
			bytes.Points = append(bytes.Points, Point{float64(n), b})
			cpu.Points = append(cpu.Points, Point{float64(n), c})
		}
		out = append(out, bytes, cpu)
	}
	reports, err := loadReportSeries(ctx)
	if err != nil {
		return out, err
	}
	out = append(out, reports...)
	polls, err := pollRateSeries(ctx)
	if err != nil {
		return out, err
	}
	claims, err := claimCallSeries(ctx)
	return append(out, polls, claims), err
}

// grantingPeer grants every permit request.
type grantingPeer struct {
	peerv1connect.UnimplementedPeerServiceHandler
}

// Acquire implements PeerServiceHandler.
func (grantingPeer) Acquire(context.Context, *peerv1.AcquireRequest) (*peerv1.AcquireResponse, error) {
	return &peerv1.AcquireResponse{Answer: &peerv1.AcquireResponse_Granted{Granted: &peerv1.Granted{
		PermitId: "0b0e5f5e-8f0e-4d8c-a2f7-0d1f6c1f2a3b", Epoch: 4711, ValidMillis: 2000,
		OwnerIncarnation: "0000000a-5f2c-4a71-9d0e-1b2c3d4e5f60", ServerIncarnation: "engine-0001-5f2c",
	}}}, nil
}

// Release implements PeerServiceHandler.
func (grantingPeer) Release(context.Context, *peerv1.ReleaseRequest) (*peerv1.ReleaseResponse, error) {
	return &peerv1.ReleaseResponse{}, nil
}

func callAcquire(ctx context.Context, c *peer.Client) error {
	_, err := c.Acquire(ctx, &peerv1.AcquireRequest{
		Epoch: 4711, Asker: "entry-001", AskerIncarnation: "00000001-5f2c-4a71-9d0e-1b2c3d4e5f60",
		Server: "engine-0001", Id: "gen-0b0e5f5e-8f0e-4d8c-a2f7-0d1f6c1f2a3b", Service: serviceName, Model: "model-1",
		Workspace: "workspace-001", Class: string(pollenspindle.ClassInteractive), PromptTokens: 300, MaxTokens: 1000,
		PrefixHash: 1 << 60, Fingerprint: 1 << 61, DeadlineMillis: 5000,
	})
	return err
}

func callRelease(ctx context.Context, c *peer.Client) error {
	_, err := c.Release(ctx, &peerv1.ReleaseRequest{Released: []*peerv1.Released{{
		Server: "engine-0001", PermitId: "0b0e5f5e-8f0e-4d8c-a2f7-0d1f6c1f2a3b", Ending: string(permit.EndingFinished),
		OutputTokens: 450, FirstTokenMillis: 200, DurationMillis: 12000,
	}}})
	return err
}

// measurePeerCalls makes n calls and returns the bytes on their connection and the CPU time of
// both ends in milliseconds.
func measurePeerCalls(ctx context.Context, n int, call func(context.Context, *peer.Client) error) (bytes, cpu float64, err error) {
	key, err := peer.NewKey(sharedKey)
	if err != nil {
		return 0, 0, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	counter := &byteCounter{}
	serveCtx, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() {
		done <- peer.NewServer(grantingPeer{}, key, tally.NoopScope).Serve(serveCtx, countingListener{l, counter})
	}()
	pool := peer.NewPool("entry-001", key, tally.NoopScope)
	client := pool.Client(l.Addr().String())
	before := cpuTime()
	for range n {
		if err = call(ctx, client); err != nil {
			err = merry.Wrap(ErrMeasure, merry.WithCause(err))
			break
		}
	}
	used := cpuTime() - before
	bytes = float64(counter.total.Load())
	pool.Close()
	stop()
	if serveErr := <-done; err == nil && serveErr != nil {
		err = merry.Wrap(ErrMeasure, merry.WithCause(serveErr))
	}
	return bytes, float64(used.Microseconds()) / 1000, err
}

// claimCallSeries counts the platform calls for non-idempotent requests, without those of the
// sweep.
func claimCallSeries(ctx context.Context) (Series, error) {
	out := Series{Name: "platform calls for claims, without the sweep", Unit: "writes", SizeName: "claimed requests", DesignSize: 1000}
	s, _ := serveCounted(platform.NewHandler(platform.Options{}))
	defer s.Close()
	var calls atomic.Int64
	client := newClient(s.URL, func(objectapi.Call) { calls.Add(1) })
	defer client.Close()
	store := claim.NewStore(claim.StoreOptions{Objects: client, Holder: "entry-001"})
	for _, n := range []int{5, 10, 20, 40} {
		calls.Store(0)
		for i := range n {
			key := claim.Key{Workspace: "workspace-001", Key: fmt.Sprintf("%d-%d", n, i)}
			acquired, ok := store.Begin(ctx, time.Now(), key, "fingerprint").(claim.Acquired)
			if !ok {
				return out, merry.Wrap(ErrMeasure, merry.AppendMessage("claim not acquired"))
			}
			if err := store.Finish(ctx, acquired.Claim, claim.Result{Status: http.StatusCreated}); err != nil {
				return out, merry.Wrap(ErrMeasure, merry.WithCause(err))
			}
		}
		out.Points = append(out.Points, Point{float64(n), float64(calls.Load())})
	}
	return out, nil
}
