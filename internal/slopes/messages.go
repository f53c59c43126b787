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

// sharedKey is the key of the peers of a measurement.
const sharedKey = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

// callCounts are numbers of calls.
var callCounts = []int{50, 100, 200, 400}

// rosterSize measures the roster's object and its index.
func rosterSize(context.Context, Options) ([]Series, error) {
	encoded := func(n int) []byte {
		members := instances(n)
		value, _ := json.Marshal(firstRoster(members).Next(members))
		return value
	}
	return []Series{
		over("roster's object", "bytes", "instances", fullInstances, instanceSizes, func(n int) float64 {
			return float64(len(encoded(n)))
		}),
		over("roster adopted: decoded and indexed", "µs", "instances", fullInstances, instanceSizes, func(n int) float64 {
			value := encoded(n)
			return micros(func() {
				var o roster.Object
				if json.Unmarshal(value, &o) == nil {
					roster.New(2, o)
				}
			})
		}),
	}, nil
}

// messages measures the calls between peers, the load reports and the calls
// that claims make, for each call by its number.
func messages(ctx context.Context, _ Options) ([]Series, error) {
	var out []Series
	for _, m := range []struct {
		what string
		call func(context.Context, *peer.Client) error
	}{
		{"ask for a permit, through a peer", acquire},
		{"release of one permit, through a peer", release},
	} {
		bytes := Series{What: m.what, Unit: "bytes both ways", Over: "calls", Size: 1000}
		cpu := Series{What: m.what + ", both ends", Unit: "processor ms", Over: "calls", Size: 1000}
		for _, n := range callCounts {
			b, c, err := peerCalls(ctx, n, m.call)
			if err != nil {
				return out, err
			}
			bytes.Points = append(bytes.Points, Point{float64(n), b})
			cpu.Points = append(cpu.Points, Point{float64(n), c})
		}
		out = append(out, bytes, cpu)
	}
	reports, err := loadReports(ctx)
	if err != nil {
		return out, err
	}
	out = append(out, reports...)
	polls, err := pollRates(ctx)
	if err != nil {
		return out, err
	}
	claims, err := claimCalls(ctx)
	return append(out, polls, claims), err
}

// granter grants every ask.
type granter struct {
	peerv1connect.UnimplementedPeerServiceHandler
}

// Acquire implements the service.
func (granter) Acquire(context.Context, *peerv1.AcquireRequest) (*peerv1.AcquireResponse, error) {
	return &peerv1.AcquireResponse{Answer: &peerv1.AcquireResponse_Granted{Granted: &peerv1.Granted{
		PermitId: "0b0e5f5e-8f0e-4d8c-a2f7-0d1f6c1f2a3b", Epoch: 4711, ValidMillis: 2000,
		OwnerIncarnation: "0000000a-5f2c-4a71-9d0e-1b2c3d4e5f60", ServerIncarnation: "engine-0001-5f2c",
	}}}, nil
}

// Release implements the service.
func (granter) Release(context.Context, *peerv1.ReleaseRequest) (*peerv1.ReleaseResponse, error) {
	return &peerv1.ReleaseResponse{}, nil
}

func acquire(ctx context.Context, c *peer.Client) error {
	_, err := c.Acquire(ctx, &peerv1.AcquireRequest{
		Epoch: 4711, Asker: "entry-001", AskerIncarnation: "00000001-5f2c-4a71-9d0e-1b2c3d4e5f60",
		Server: "engine-0001", Id: "gen-0b0e5f5e-8f0e-4d8c-a2f7-0d1f6c1f2a3b", Service: service, Model: "model-1",
		Workspace: "workspace-001", Class: string(pollenspindle.ClassInteractive), PromptTokens: 300, MaxTokens: 1000,
		PrefixHash: 1 << 60, Fingerprint: 1 << 61, DeadlineMillis: 5000,
	})
	return err
}

func release(ctx context.Context, c *peer.Client) error {
	_, err := c.Release(ctx, &peerv1.ReleaseRequest{Released: []*peerv1.Released{{
		Server: "engine-0001", PermitId: "0b0e5f5e-8f0e-4d8c-a2f7-0d1f6c1f2a3b", Ending: string(permit.EndingFinished),
		OutputTokens: 450, FirstTokenMillis: 200, DurationMillis: 12000,
	}}})
	return err
}

// peerCalls makes n calls and returns the bytes on their connection and the
// processor milliseconds of both ends.
func peerCalls(ctx context.Context, n int, call func(context.Context, *peer.Client) error) (bytes, cpu float64, err error) {
	key, err := peer.NewKey(sharedKey)
	if err != nil {
		return 0, 0, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, merry.Wrap(ErrMeasure, merry.WithCause(err))
	}
	count := &counter{}
	serving, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() {
		done <- peer.NewServer(granter{}, key, tally.NoopScope).Serve(serving, countingListener{l, count})
	}()
	pool := peer.NewPool("entry-001", key, tally.NoopScope)
	client := pool.Client(l.Addr().String())
	before := processorTime()
	for range n {
		if err = call(ctx, client); err != nil {
			err = merry.Wrap(ErrMeasure, merry.WithCause(err))
			break
		}
	}
	used := processorTime() - before
	bytes = float64(count.bytes.Load())
	pool.Close()
	stop()
	if served := <-done; err == nil && served != nil {
		err = merry.Wrap(ErrMeasure, merry.WithCause(served))
	}
	return bytes, float64(used.Microseconds()) / 1000, err
}

// claimCalls counts the calls to the platform for non-idempotent requests,
// without the sweep.
func claimCalls(ctx context.Context) (Series, error) {
	out := Series{What: "calls to the platform by claims, without the sweep", Unit: "writes", Over: "claimed requests", Size: 1000}
	s, _ := serve(platform.NewHandler(platform.Options{}))
	defer s.Close()
	var calls atomic.Int64
	client := newClient(s.URL, func(objectapi.Call) { calls.Add(1) })
	defer client.Close()
	store := claim.NewStore(claim.StoreOptions{Objects: client, Holder: "entry-001"})
	for _, n := range []int{5, 10, 20, 40} {
		calls.Store(0)
		for i := range n {
			key := claim.Key{Workspace: "workspace-001", Key: fmt.Sprintf("%d-%d", n, i)}
			won, ok := store.Begin(ctx, time.Now(), key, "fingerprint").(claim.Acquired)
			if !ok {
				return out, merry.Wrap(ErrMeasure, merry.AppendMessage("claim not won"))
			}
			if err := store.Finish(ctx, won.Claim, claim.Result{Status: http.StatusCreated}); err != nil {
				return out, merry.Wrap(ErrMeasure, merry.WithCause(err))
			}
		}
		out.Points = append(out.Points, Point{float64(n), float64(calls.Load())})
	}
	return out, nil
}
