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

// waitTimeout limits waits in tests; only a hanging test reaches it.
const waitTimeout = 30 * time.Second

// engineFixture is a running engine stand-in with a client.
type engineFixture struct {
	t       *testing.T
	ctx     context.Context
	address string
	client  *client.Client
	runErr  chan error
}

func newEngineFixture(t *testing.T, change func(*engine.Options)) *engineFixture {
	t.Helper()
	opts := engine.DefaultOptions()
	opts.ColdTime = 0
	if change != nil {
		change(&opts)
	}
	address := make(chan string, 1)
	opts.Ready = func(a string) { address <- a }
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	f := &engineFixture{t: t, ctx: ctx, client: client.NewClient(client.Options{}), runErr: make(chan error, 1)}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.runErr <- engine.Run(ctx, opts)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
		f.client.Close()
	})
	f.address = <-address
	return f
}

func (f *engineFixture) start(id, prompt string, maxTokens int) (*client.Stream, error) {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"prompt":%q}`, maxTokens, prompt)
	s, err := f.client.Start(f.ctx, f.address, client.Request{ID: id, Path: client.PathCompletion, Body: []byte(body)})
	if err == nil {
		f.t.Cleanup(s.Close)
	}
	return s, err
}

func (f *engineFixture) startAndReadFirst(id, prompt string, maxTokens int) *client.Stream {
	f.t.Helper()
	s, err := f.start(id, prompt, maxTokens)
	require.NoError(f.t, err)
	_, err = s.Next()
	require.NoError(f.t, err)
	return s
}

func (f *engineFixture) control(path, body string) {
	f.t.Helper()
	resp, err := http.Post("http://"+f.address+"/control/"+path, "application/json", strings.NewReader(body))
	require.NoError(f.t, err)
	defer resp.Body.Close()
	require.Equal(f.t, http.StatusNoContent, resp.StatusCode)
}

func (f *engineFixture) ledger() engine.Ledger {
	f.t.Helper()
	resp, err := http.Get("http://" + f.address + "/control/ledger")
	require.NoError(f.t, err)
	defer resp.Body.Close()
	var l engine.Ledger
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&l))
	return l
}

func (f *engineFixture) load() client.LoadReport {
	f.t.Helper()
	report, err := f.client.Load(f.ctx, f.address)
	require.NoError(f.t, err)
	return report
}

func readUntilError(s *client.Stream) error {
	for {
		if _, err := s.Next(); err != nil {
			return err
		}
	}
}

// longOutputPrompt contains "plan", which selects the profile with the longest outputs.
const longOutputPrompt = "Draft the weekly plan"

// A cold engine that gets more requests than it can handle crashes and breaks all
// streams, refuses the new request, or slows down, as configured.
func TestColdEngineAboveLimit(t *testing.T) {
	cold := func(o engine.OverloadMode) func(*engine.Options) {
		return func(opts *engine.Options) {
			opts.ColdTime, opts.ColdLimit, opts.ColdOverload, opts.ColdSlowdown = time.Hour, 1, o, 1e6
		}
	}
	t.Run("crash", func(t *testing.T) {
		f := newEngineFixture(t, cold(engine.OverloadCrash))
		first := f.startAndReadFirst("r1", longOutputPrompt, 1000)
		before := f.load().Incarnation
		_, err := f.start("r2", longOutputPrompt, 1000)
		require.ErrorIs(t, err, client.ErrUnknownOutcome)
		require.ErrorIs(t, readUntilError(first), client.ErrStreamInterrupted)
		require.NotEqual(t, before, f.load().Incarnation)
		for _, entry := range f.ledger().Generations {
			require.Equal(t, engine.StatusLost, entry.Status)
		}
	})
	t.Run("refuse", func(t *testing.T) {
		f := newEngineFixture(t, cold(engine.OverloadRefuse))
		f.startAndReadFirst("r1", longOutputPrompt, 1000)
		_, err := f.start("r2", longOutputPrompt, 1000)
		require.ErrorIs(t, err, client.ErrRefused)
		var refusal *client.Refusal
		require.True(t, errors.As(err, &refusal))
		require.False(t, refusal.Overload)
		require.Len(t, f.ledger().Generations, 1)
		f.control("warm", "")
		f.startAndReadFirst("r3", longOutputPrompt, 1000)
	})
	t.Run("slow", func(t *testing.T) {
		f := newEngineFixture(t, cold(engine.OverloadSlow))
		f.startAndReadFirst("r1", longOutputPrompt, 1000)
		_, err := f.start("r2", longOutputPrompt, 1000)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return f.load().TokenIntervalMillis > 1e6 }, waitTimeout, time.Millisecond)
	})
}

func TestControlCold(t *testing.T) {
	for name, reportsWarm := range map[string]bool{"reported": false, "hidden": true} {
		t.Run(name, func(t *testing.T) {
			f := newEngineFixture(t, func(o *engine.Options) { o.ReportLag = 0; o.ColdLimit = 1 })
			require.Equal(t, client.LoadWarm, f.load().State)
			f.control("cold", fmt.Sprintf(`{"hidden":%t,"millis":3600000}`, reportsWarm))
			first := f.startAndReadFirst("r1", longOutputPrompt, 1000)
			want := client.LoadCold
			if reportsWarm {
				want = client.LoadWarm
			}
			require.Eventually(t, func() bool { r := f.load(); return len(r.Running) == 1 && r.State == want }, waitTimeout, time.Millisecond)
			_, err := f.start("r2", longOutputPrompt, 1000)
			require.ErrorIs(t, err, client.ErrUnknownOutcome)
			require.ErrorIs(t, readUntilError(first), client.ErrStreamInterrupted)
		})
	}
}

func TestPoisonedPromptCrashesEngine(t *testing.T) {
	for _, crashMode := range []engine.CrashMode{engine.CrashRestart, engine.CrashExit} {
		t.Run(string(crashMode), func(t *testing.T) {
			f := newEngineFixture(t, func(o *engine.Options) { o.PoisonMarker = "xyzzy"; o.CrashMode = crashMode })
			concurrent := f.startAndReadFirst("r1", longOutputPrompt, 1000)
			_, err := f.start("r2", "say xyzzy", 10)
			require.ErrorIs(t, err, client.ErrUnknownOutcome)
			require.ErrorIs(t, readUntilError(concurrent), client.ErrStreamInterrupted)
			if crashMode == engine.CrashRestart {
				f.startAndReadFirst("r3", longOutputPrompt, 10)
				return
			}
			require.ErrorIs(t, <-f.runErr, engine.ErrCrashed)
			_, err = f.start("r3", longOutputPrompt, 10)
			require.ErrorIs(t, err, client.ErrNotSent)
		})
	}
}

// A leaving engine refuses new requests and continues its generations until the
// notice period ends; then it crashes.
func TestLeavingEngineRefusesThenCrashes(t *testing.T) {
	f := newEngineFixture(t, func(o *engine.Options) { o.ReportLag = 0 })
	s := f.startAndReadFirst("r1", longOutputPrompt, 10_000)
	f.control("leave", "")
	_, err := f.start("r2", longOutputPrompt, 10)
	require.ErrorIs(t, err, client.ErrRefused)
	require.Eventually(t, func() bool { return f.load().State == client.LoadLeaving }, waitTimeout, time.Millisecond)
	_, err = s.Next()
	require.NoError(t, err, "running generations continue until the notice period ends")
	f.control("leave", `{"noticeMillis":1}`)
	require.ErrorIs(t, readUntilError(s), client.ErrStreamInterrupted)
	require.ErrorIs(t, <-f.runErr, engine.ErrCrashed)
}

// A preempted stream stalls and then continues without a gap. The memory fills while
// two generations run; the later one is preempted and recomputed after the first has
// ended.
func TestPreemptedStreamStallsAndContinues(t *testing.T) {
	f := newEngineFixture(t, func(o *engine.Options) { o.TimeScale = 10; o.Batch.MemoryTokens = 200 })
	first, second := f.startAndReadFirst("r1", longOutputPrompt+" one", 150), f.startAndReadFirst("r2", longOutputPrompt+" two", 150)
	require.ErrorIs(t, readUntilError(second), io.EOF)
	require.ErrorIs(t, readUntilError(first), io.EOF)
	ledger := f.ledger()
	require.Positive(t, ledger.Preemptions)
	require.Equal(t, []string{"r1", "r2"}, []string{ledger.Generations[0].RequestID, ledger.Generations[1].RequestID})
	require.Positive(t, ledger.Generations[1].Preemptions)
	require.Positive(t, ledger.Generations[1].StallMillis)
	require.Equal(t, int64(ledger.Generations[1].OutputTokens)+1, second.LastPosition())
}

func TestFullEngineRefuses(t *testing.T) {
	f := newEngineFixture(t, func(o *engine.Options) { o.Batch.MaxSequences = 1; o.MaxWaiting = 1 })
	f.startAndReadFirst("r1", longOutputPrompt, 10_000)
	_, err := f.start("r2", longOutputPrompt, 10)
	require.NoError(t, err)
	_, err = f.start("r3", longOutputPrompt, 10)
	var refusal *client.Refusal
	require.True(t, errors.As(err, &refusal))
	require.True(t, refusal.Overload)
	_, err = f.start("r1", longOutputPrompt, 10)
	require.ErrorIs(t, err, client.ErrBadRequest, "a request ID identifies one generation")
}

func TestUnreadGenerationEnds(t *testing.T) {
	f := newEngineFixture(t, func(o *engine.Options) { o.AbandonAfter = 50 * time.Millisecond })
	f.startAndReadFirst("r1", longOutputPrompt, 10_000).Close()
	require.Eventually(t, func() bool { return f.ledger().Generations[0].Status == engine.StatusAbandoned }, waitTimeout, time.Millisecond)
	_, err := f.client.Resume(f.ctx, f.address, "r1", 0, true)
	require.ErrorIs(t, err, client.ErrUnknownStream)
}

func TestCacheEventsAreDelayedAndHaveGaps(t *testing.T) {
	f := newEngineFixture(t, func(o *engine.Options) {
		o.TimeScale, o.EventLoss, o.EventLag = 50, 0.3, 20*time.Second
	})
	prompt := strings.Repeat("0123456789abcdef", 200)
	require.ErrorIs(t, readUntilError(f.startAndReadFirst("r1", prompt, 2)), io.EOF)
	var page client.CacheEvents
	require.Eventually(t, func() bool {
		var err error
		page, err = f.client.CacheEvents(f.ctx, f.address, 0)
		return err == nil && len(page.Events) > 0
	}, waitTimeout, time.Millisecond)
	last := page.Events[len(page.Events)-1].Seq
	require.Less(t, len(page.Events), 50)
	require.Greater(t, last, int64(len(page.Events)))
	require.Equal(t, last+1, page.Next)
	next, err := f.client.CacheEvents(f.ctx, f.address, last)
	require.NoError(t, err)
	require.Empty(t, next.Events)
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
	f := newEngineFixture(t, func(o *engine.Options) { o.WeightStore = store; o.Models = []string{"other"} })
	_, err := f.start("r1", longOutputPrompt, 5)
	require.ErrorIs(t, err, client.ErrUnknownModel)
	start := time.Now()
	_, err = f.client.SendCommand(f.ctx, f.address, client.Command{FencingToken: 1, Kind: client.CommandLoadModel, Name: "m", Version: "2"})
	require.NoError(t, err)
	// One MiB at four MiB per second takes 250 ms, less the initial burst.
	require.Greater(t, time.Since(start), 200*time.Millisecond)
	f.startAndReadFirst("r2", longOutputPrompt, 5)
}
