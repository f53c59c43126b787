package config_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/config"
)

// Ten operators apply changes of the same version at the same time. One change is accepted; each
// of the others gets a conflict with both versions and the accepted change.
func TestConcurrentChangesConflict(t *testing.T) {
	b := newTestPlatform(t)
	client := b.client(t)
	base, err := config.Apply(t.Context(), client, change(twoZones(1, true), 0, "first"))
	require.NoError(t, err)
	const operators = 10
	errs := make([]error, operators)
	versions := make([]int64, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			versions[i], errs[i] = config.Apply(t.Context(), client, change(twoZones(2+i, true), base, fmt.Sprintf("operator%d", i)))
		})
	}
	wg.Wait()
	winner := -1
	for i, err := range errs {
		if err == nil {
			require.Equal(t, -1, winner)
			winner = i
		}
	}
	require.NotEqual(t, -1, winner)
	for i, err := range errs {
		var conflict *config.ConflictError
		if i != winner {
			require.ErrorAs(t, err, &conflict)
			require.Equal(t, base, conflict.BaseVersion)
			require.Equal(t, versions[winner], conflict.CurrentVersion)
			require.Len(t, conflict.Since, 1)
			require.Equal(t, fmt.Sprintf("operator%d", winner), conflict.Since[0].Author)
		}
	}
}

// The response to the head's update is lost before or after its effect, and another operator may
// apply a change before the update is repeated. Apply repeats the same conditional update, looks
// for its own token in the chain of changes and must report correctly whether it was accepted.
func TestApplyReportsAcceptanceWhenResponsesAreLost(t *testing.T) {
	abort := func() { panic(http.ErrAbortHandler) }
	tests := map[string]struct {
		// head handles the n-th write of the head, counted from 1.
		head     func(n int64, w http.ResponseWriter, r *http.Request, next http.Handler, rival func())
		accepted bool
		err      error
	}{
		"lost before the effect": {accepted: true, head: func(n int64, w http.ResponseWriter, r *http.Request, next http.Handler, _ func()) {
			if n == 1 {
				abort()
			}
			next.ServeHTTP(w, r)
		}},
		"lost after the effect": {accepted: true, head: func(n int64, w http.ResponseWriter, r *http.Request, next http.Handler, _ func()) {
			if n == 1 {
				next.ServeHTTP(httptest.NewRecorder(), r)
				abort()
			}
			next.ServeHTTP(w, r)
		}},
		"lost after the effect, then another change": {accepted: true, head: func(n int64, w http.ResponseWriter, r *http.Request, next http.Handler, rival func()) {
			if n == 1 {
				next.ServeHTTP(httptest.NewRecorder(), r)
				rival()
				abort()
			}
			next.ServeHTTP(w, r)
		}},
		"lost before the effect, after another change": {err: &config.ConflictError{}, head: func(n int64, w http.ResponseWriter, r *http.Request, next http.Handler, rival func()) {
			if n == 1 {
				rival()
				abort()
			}
			next.ServeHTTP(w, r)
		}},
		"always refused": {err: config.ErrNotAccepted, head: func(_ int64, w http.ResponseWriter, _ *http.Request, _ http.Handler, _ func()) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		"never answered": {err: config.ErrAcceptanceUnknown, head: func(int64, http.ResponseWriter, *http.Request, http.Handler, func()) {
			abort()
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestPlatform(t)
			client := b.client(t)
			base, err := config.Apply(t.Context(), client, change(twoZones(1, true), 0, "first"))
			require.NoError(t, err)
			var n atomic.Int64
			rival := func() {
				current, err := config.Load(t.Context(), client)
				if err == nil {
					next := current.Config
					next.Deployment = "rival"
					_, err = config.Apply(t.Context(), client, change(next, current.Version, "rival"))
				}
				if err != nil {
					t.Error(err)
				}
			}
			var rivalWrites atomic.Bool
			b.onHead(func(w http.ResponseWriter, r *http.Request, next http.Handler) {
				if rivalWrites.Load() {
					next.ServeHTTP(w, r)
					return
				}
				test.head(n.Add(1), w, r, next, func() {
					rivalWrites.Store(true)
					defer rivalWrites.Store(false)
					rival()
				})
			})
			version, err := config.Apply(t.Context(), client, change(twoZones(5, true), base, "operator"))
			history, errHistory := config.History(t.Context(), client, 10)
			require.NoError(t, errHistory)
			inForce := map[string]int64{}
			for _, entry := range history {
				inForce[entry.Author] = entry.Version
			}
			if test.accepted {
				require.NoError(t, err)
				require.Equal(t, inForce["operator"], version)
				return
			}
			var conflict *config.ConflictError
			require.True(t, errors.As(err, &conflict) == errors.As(test.err, &conflict), err)
			if test.err != nil && !errors.As(test.err, &conflict) {
				require.ErrorIs(t, err, test.err)
			}
			require.NotContains(t, inForce, "operator")
		})
	}
}

// An instance starts while the base that it reads is replaced and deleted. It must start over with
// the newer head instead of failing or loading a partial configuration. The configuration here is
// too large for a record, so it is stored as a base.
func TestLoadStartsOverWhenBaseIsDeleted(t *testing.T) {
	b := newTestPlatform(t)
	client := b.client(t)
	cfg := twoZones(3000, true)
	_, err := config.Apply(t.Context(), client, change(cfg, 0, "operator"))
	require.NoError(t, err)
	var requests atomic.Int64
	notFoundOnce := func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		if strings.HasSuffix(r.URL.Path, ".0001") && requests.Add(1) == 1 {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		next.ServeHTTP(w, r)
	}
	b.intercept.Store(&notFoundOnce)
	loaded, err := config.Load(t.Context(), client)
	require.NoError(t, err)
	require.EqualValues(t, 2, requests.Load())
	require.Equal(t, cfg, loaded.Config)
}
