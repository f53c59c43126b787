package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	client "pollenspindle.example/pollenspindle/internal/engine"
	"pollenspindle.example/pollenspindle/internal/standin/engine"
	"pollenspindle.example/pollenspindle/internal/standin/weights"
)

// patience bounds waits in tests; only a hanging test takes so long.
const patience = 30 * time.Second

// bench is an engine stand-in with a client.
type bench struct {
	t       *testing.T
	ctx     context.Context
	address string
	client  *client.Client
	ended   chan error
}

func newBench(t *testing.T, change func(*engine.Options)) *bench {
	t.Helper()
	opts := engine.DefaultOptions()
	opts.ColdTime = 0
	if change != nil {
		change(&opts)
	}
	address := make(chan string, 1)
	opts.Ready = func(a string) { address <- a }
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	b := &bench{t: t, ctx: ctx, client: client.NewClient(client.Options{}), ended: make(chan error, 1)}
	joined := make(chan struct{})
	go func() {
		defer close(joined)
		b.ended <- engine.Run(ctx, opts)
	}()
	t.Cleanup(func() {
		cancel()
		<-joined
		b.client.Close()
	})
	b.address = <-address
	return b
}

func (b *bench) start(id, prompt string, maxTokens int) (*client.Stream, error) {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"prompt":%q}`, maxTokens, prompt)
	s, err := b.client.Start(b.ctx, b.address, client.Request{ID: id, Path: client.PathCompletion, Body: []byte(body)})
	if err == nil {
		b.t.Cleanup(s.Close)
	}
	return s, err
}

func (b *bench) mustStart(id, prompt string, maxTokens int) *client.Stream {
	b.t.Helper()
	s, err := b.start(id, prompt, maxTokens)
	require.NoError(b.t, err)
	_, err = s.Next()
	require.NoError(b.t, err)
	return s
}

func (b *bench) control(path, body string) {
	b.t.Helper()
	resp, err := http.Post("http://"+b.address+"/control/"+path, "application/json", strings.NewReader(body))
	require.NoError(b.t, err)
	defer resp.Body.Close()
	require.Equal(b.t, http.StatusNoContent, resp.StatusCode)
}

func (b *bench) ledger() engine.Ledger {
	b.t.Helper()
	resp, err := http.Get("http://" + b.address + "/control/ledger")
	require.NoError(b.t, err)
	defer resp.Body.Close()
	var l engine.Ledger
	require.NoError(b.t, json.NewDecoder(resp.Body).Decode(&l))
	return l
}

func (b *bench) load() client.LoadReport {
	b.t.Helper()
	report, err := b.client.Load(b.ctx, b.address)
	require.NoError(b.t, err)
	return report
}

func drain(s *client.Stream) error {
	for {
		if _, err := s.Next(); err != nil {
			return err
		}
	}
}

const long = "Draft the weekly plan"

// The callers of a cold engine see what it does when it gets more than it
// can handle: their streams break, or the newcomer is refused, or all wait.
func TestColdEngineAboveItsLimit(t *testing.T) {
	cold := func(o engine.Overload) func(*engine.Options) {
		return func(opts *engine.Options) {
			opts.ColdTime, opts.ColdLimit, opts.ColdOverload, opts.ColdSlowdown = time.Hour, 1, o, 1e6
		}
	}
	t.Run("crash", func(t *testing.T) {
		b := newBench(t, cold(engine.OverloadCrash))
		first := b.mustStart("r1", long, 1000)
		before := b.load().Incarnation
		_, err := b.start("r2", long, 1000)
		require.ErrorIs(t, err, client.ErrUnknownOutcome)
		require.ErrorIs(t, drain(first), client.ErrStreamInterrupted)
		require.NotEqual(t, before, b.load().Incarnation)
		for _, entry := range b.ledger().Generations {
			require.Equal(t, engine.EndingLost, entry.Ending)
		}
	})
	t.Run("refuse", func(t *testing.T) {
		b := newBench(t, cold(engine.OverloadRefuse))
		b.mustStart("r1", long, 1000)
		_, err := b.start("r2", long, 1000)
		require.ErrorIs(t, err, client.ErrRefused)
		var refusal *client.Refusal
		require.True(t, errors.As(err, &refusal))
		require.False(t, refusal.Overload)
		require.Len(t, b.ledger().Generations, 1)
		b.control("warm", "")
		b.mustStart("r3", long, 1000)
	})
	t.Run("slow", func(t *testing.T) {
		b := newBench(t, cold(engine.OverloadSlow))
		b.mustStart("r1", long, 1000)
		_, err := b.start("r2", long, 1000)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return b.load().TokenIntervalMillis > 1e6 }, patience, time.Millisecond)
	})
}

func TestWarmEngineTurnsCold(t *testing.T) {
	for name, hidden := range map[string]bool{"reported": false, "hidden": true} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, func(o *engine.Options) { o.ReportLag = 0; o.ColdLimit = 1 })
			require.Equal(t, client.LoadWarm, b.load().State)
			b.control("cold", fmt.Sprintf(`{"hidden":%t,"millis":3600000}`, hidden))
			first := b.mustStart("r1", long, 1000)
			want := client.LoadCold
			if hidden {
				want = client.LoadWarm
			}
			require.Eventually(t, func() bool { r := b.load(); return len(r.Running) == 1 && r.State == want }, patience, time.Millisecond)
			_, err := b.start("r2", long, 1000)
			require.ErrorIs(t, err, client.ErrUnknownOutcome)
			require.ErrorIs(t, drain(first), client.ErrStreamInterrupted)
		})
	}
}

func TestPoisonedPromptCrashes(t *testing.T) {
	for _, crash := range []engine.Crash{engine.CrashRestart, engine.CrashExit} {
		t.Run(string(crash), func(t *testing.T) {
			b := newBench(t, func(o *engine.Options) { o.PoisonMarker = "xyzzy"; o.Crash = crash })
			neighbour := b.mustStart("r1", long, 1000)
			_, err := b.start("r2", "say xyzzy", 10)
			require.ErrorIs(t, err, client.ErrUnknownOutcome)
			require.ErrorIs(t, drain(neighbour), client.ErrStreamInterrupted)
			if crash == engine.CrashRestart {
				b.mustStart("r3", long, 10)
				return
			}
			require.ErrorIs(t, <-b.ended, engine.ErrCrashed)
			_, err = b.start("r3", long, 10)
			require.ErrorIs(t, err, client.ErrNotSent)
		})
	}
}

func TestReclaimedEngineRefusesThenDies(t *testing.T) {
	b := newBench(t, func(o *engine.Options) { o.ReportLag = 0 })
	s := b.mustStart("r1", long, 10_000)
	b.control("leave", "")
	_, err := b.start("r2", long, 10)
	require.ErrorIs(t, err, client.ErrRefused)
	require.Eventually(t, func() bool { return b.load().State == client.LoadLeaving }, patience, time.Millisecond)
	_, err = s.Next()
	require.NoError(t, err, "what runs goes on until the end of the notice")
	b.control("leave", `{"noticeMillis":1}`)
	require.ErrorIs(t, drain(s), client.ErrStreamInterrupted)
	require.ErrorIs(t, <-b.ended, engine.ErrCrashed)
}

// The reader of a preempted stream sees it stand still and then go on without
// a hole. The engine's memory fills while both run; the later one loses its
// memory and is computed again after the first has ended.
func TestPreemptedStreamStallsAndGoesOn(t *testing.T) {
	b := newBench(t, func(o *engine.Options) { o.TimeScale = 10; o.Batch.MemoryTokens = 200 })
	first, second := b.mustStart("r1", long+" one", 150), b.mustStart("r2", long+" two", 150)
	require.ErrorIs(t, drain(second), io.EOF)
	require.ErrorIs(t, drain(first), io.EOF)
	l := b.ledger()
	require.Positive(t, l.Preemptions)
	require.Equal(t, []string{"r1", "r2"}, []string{l.Generations[0].RequestID, l.Generations[1].RequestID})
	require.Positive(t, l.Generations[1].Preemptions)
	require.Positive(t, l.Generations[1].StallMillis)
	require.Equal(t, int64(l.Generations[1].OutputTokens)+1, second.LastPosition())
}

func TestFullEngineRefuses(t *testing.T) {
	b := newBench(t, func(o *engine.Options) { o.Batch.MaxBatch = 1; o.MaxWaiting = 1 })
	b.mustStart("r1", long, 10_000)
	_, err := b.start("r2", long, 10)
	require.NoError(t, err)
	_, err = b.start("r3", long, 10)
	var refusal *client.Refusal
	require.True(t, errors.As(err, &refusal))
	require.True(t, refusal.Overload)
	_, err = b.start("r1", long, 10)
	require.ErrorIs(t, err, client.ErrBadRequest, "an id names one generation")
}

func TestUnreadGenerationIsEnded(t *testing.T) {
	b := newBench(t, func(o *engine.Options) { o.AbandonAfter = 50 * time.Millisecond })
	b.mustStart("r1", long, 10_000).Close()
	require.Eventually(t, func() bool { return b.ledger().Generations[0].Ending == engine.EndingAbandoned }, patience, time.Millisecond)
	_, err := b.client.Resume(b.ctx, b.address, "r1", 0, true)
	require.ErrorIs(t, err, client.ErrUnknownStream)
}

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	b := newBench(t, func(o *engine.Options) {
		o.TimeScale, o.EventLoss, o.EventLag = 50, 0.3, 20*time.Second
	})
	prompt := strings.Repeat("0123456789abcdef", 200)
	require.ErrorIs(t, drain(b.mustStart("r1", prompt, 2)), io.EOF)
	var page client.CacheEvents
	require.Eventually(t, func() bool {
		var err error
		page, err = b.client.CacheEvents(b.ctx, b.address, 0)
		return err == nil && len(page.Events) > 0
	}, patience, time.Millisecond)
	last := page.Events[len(page.Events)-1].Seq
	require.Less(t, len(page.Events), 50)
	require.Greater(t, last, int64(len(page.Events)))
	require.Equal(t, last+1, page.Next)
	rest, err := b.client.CacheEvents(b.ctx, b.address, last)
	require.NoError(t, err)
	require.Empty(t, rest.Events)
}

func TestModelIsLoadedFromWeightStore(t *testing.T) {
	address, done := make(chan string, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		require.NoError(t, <-done)
	}()
	go func() {
		done <- weights.Run(ctx, weights.Options{
			Address: "127.0.0.1:0", Bytes: 1 << 20, BytesPerSecond: 4 << 20, Ready: func(a string) { address <- a },
		})
	}()
	store := "http://" + <-address
	b := newBench(t, func(o *engine.Options) { o.WeightStore = store; o.Models = []string{"other"} })
	_, err := b.start("r1", long, 5)
	require.ErrorIs(t, err, client.ErrUnknownModel)
	began := time.Now()
	_, err = b.client.SendCommand(b.ctx, b.address, client.Command{FencingToken: 1, Kind: client.CommandLoadModel, Name: "m", Version: "2"})
	require.NoError(t, err)
	// One MiB at four a second, less the first burst, can't come faster.
	require.Greater(t, time.Since(began), 200*time.Millisecond)
	b.mustStart("r2", long, 5)
}
