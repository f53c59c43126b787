// Package operatortest runs the operator API on a loopback address with a configuration in memory,
// for tests of the API and of commands.
//
// # Usage
//
//	h := operatortest.Start(t, operator.Options{})
//	h.Config.BeforeApply = func() { ... }
package operatortest

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/operator"
	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// Token is the operators' token of the server.
const Token = "operators-token"

// Now is the server's current time.
var Now = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// Config is a configuration in memory that, like the platform, accepts a change only if its base
// version is the current one.
type Config struct {
	mu      sync.Mutex
	current operatorapi.Configuration
	history []operatorapi.Change
	// BeforeApply, if set, is called once at the start of the next Apply, outside the lock.
	BeforeApply func()
	// Err, if set, is the error that Apply returns.
	Err error
	// IncompleteCounts is the remaining number of calls of InForce that count one instance less
	// than there are.
	IncompleteCounts int
}

// Current returns the configuration.
func (c *Config) Current(context.Context) (operatorapi.Configuration, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, nil
}

// Apply accepts change if its base version is the current one.
func (c *Config) Apply(_ context.Context, now time.Time, change operator.Change) (int64, error) {
	c.mu.Lock()
	beforeApply := c.BeforeApply
	c.BeforeApply = nil
	c.mu.Unlock()
	if beforeApply != nil {
		beforeApply()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Err != nil {
		return 0, c.Err
	}
	if change.BaseVersion != c.current.Version {
		return 0, &operator.ConflictError{
			Base: change.BaseVersion, Current: c.current.Version, Changes: c.reversedHistory(),
		}
	}
	c.current = operatorapi.Configuration{Version: c.current.Version + 1, Config: change.Config}
	c.history = append(c.history, operatorapi.Change{
		Version: c.current.Version, Author: change.Author, Summary: change.Summary, At: now,
	})
	return c.current.Version, nil
}

// History returns all changes, newest first.
func (c *Config) History(context.Context, int) ([]operatorapi.Change, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reversedHistory(), nil
}

// InForce returns the counts for three instances.
func (c *Config) InForce(context.Context, int64) (inForce, total int, err error) {
	const instances = 3
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.IncompleteCounts > 0 {
		c.IncompleteCounts--
		return instances - 1, instances, nil
	}
	return instances, instances, nil
}

// Put applies cfg as another operator's change.
func (c *Config) Put(t *testing.T, author, summary string, cfg pollenspindle.Config) {
	t.Helper()
	current, err := c.Current(t.Context())
	require.NoError(t, err)
	_, err = c.Apply(t.Context(), Now, operator.Change{
		BaseVersion: current.Version, Author: author, Summary: summary, Config: cfg,
	})
	require.NoError(t, err)
}

func (c *Config) reversedHistory() []operatorapi.Change {
	changes := slices.Clone(c.history)
	slices.Reverse(changes)
	return changes
}

// Harness is a running server.
type Harness struct {
	Address string
	Config  *Config
}

// Start runs a server until the test ends. It overwrites the fields of deps that every test needs:
// Instance, Listener, Config, TokenSHA256 and Now.
func Start(t *testing.T, opts operator.Options) Harness {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := Harness{Address: listener.Addr().String(), Config: &Config{}}
	opts.Instance, opts.Listener, opts.Config = "entry-1", listener, h.Config
	opts.TokenSHA256 = pollenspindle.Token(Token)
	opts.Now = func() time.Time { return Now }
	s, err := operator.New(opts)
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- s.Run() }()
	awaitHealth(t, h.Address)
	t.Cleanup(func() {
		require.NoError(t, s.Shutdown(context.Background()))
		require.NoError(t, <-done)
	})
	return h
}

// awaitHealth waits until the server responds; it cannot be shut down before it has started.
func awaitHealth(t *testing.T, address string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/health", http.NoBody)
	require.NoError(t, err)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
}
