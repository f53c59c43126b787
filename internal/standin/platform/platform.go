// Package platform is a stand-in for the platform. It serves the object API with
// versions, conditional updates and long-poll watches, and a list of instances
// that lags behind. All data is in memory, and faults are injected with calls
// under /control/. It is for tests, demonstrations and measurements only.
//
// # Usage
//
//	err := platform.Run(ctx, platform.Options{Address: "127.0.0.1:7000"})
//
// or, in a test:
//
//	server := httptest.NewServer(platform.NewHandler(platform.Options{}))
//	defer server.Close()
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// maxValueBytes is the maximum size of an object's value.
	maxValueBytes = 1 << 20
	// Number of objects in one page of a list.
	defaultPageSize = 100
	maxPageSize     = 1000
	// maxWait is the maximum duration of one long poll.
	maxWait = time.Minute
	// defaultHistory is the minimum number of past changes that a watch can
	// start from.
	defaultHistory = 4096
	// shutdownGracePeriod is how long a shutdown waits for running calls.
	shutdownGracePeriod = 2 * time.Second
)

// ErrNotLoopback is returned when the listening address isn't a loopback IP address.
var ErrNotLoopback = merry.Sentinel("the stand-in listens on loopback only")

// Options configures the stand-in.
type Options struct {
	// Address is the listening address: a loopback IP address and a port.
	Address string
	// Lag is the delay before a change of the instance list becomes visible.
	Lag time.Duration
	// ReadsPerSecond and WritesPerSecond are rate limits; calls above them get
	// status 503. 0 means no limit. The burst is one second's worth of calls.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// History is the number of changes kept for watches; 0 means 4096.
	History int
	// Ready, if set, is called with the address once the server listens on it.
	Ready func(address string)
}

// Run serves the stand-in until ctx is done.
func Run(ctx context.Context, opts Options) error {
	host, _, err := net.SplitHostPort(opts.Address)
	if err != nil {
		return merry.Wrap(err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return merry.Wrap(ErrNotLoopback)
	}
	ln, err := new(net.ListenConfig).Listen(ctx, "tcp", opts.Address)
	if err != nil {
		return merry.Wrap(err)
	}
	if opts.Ready != nil {
		opts.Ready(ln.Addr().String())
	}
	server := &http.Server{
		Handler:           NewHandler(opts),
		ReadHeaderTimeout: 5 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownGracePeriod)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	}()
	if err := server.Serve(ln); err != nil && ctx.Err() == nil {
		return merry.Wrap(err)
	}
	<-stopped
	return nil
}

// Handler serves the protocol of the platform.
type Handler struct {
	mux       *http.ServeMux
	store     *store
	control   *control
	instances *instances
}

// NewHandler returns a stand-in with an empty store.
func NewHandler(opts Options) *Handler {
	if opts.History == 0 {
		opts.History = defaultHistory
	}
	h := &Handler{
		mux:       http.NewServeMux(),
		store:     newStore(opts.History),
		control:   newControl(opts),
		instances: newInstances(opts.Lag),
	}
	h.mux.HandleFunc("GET /objects/{kind}/{name}", h.withFaults(h.get))
	h.mux.HandleFunc("GET /objects/{kind}", h.withFaults(h.list))
	h.mux.HandleFunc("PUT /objects/{kind}/{name}", h.withFaults(h.put))
	h.mux.HandleFunc("DELETE /objects/{kind}/{name}", h.withFaults(h.remove))
	h.mux.HandleFunc("GET /watch/{kind}", h.withFaults(h.watch))
	h.mux.HandleFunc("GET /instances", h.withFaults(h.listInstances))
	h.mux.HandleFunc("PUT /control/instances", h.putInstances)
	h.mux.HandleFunc("PUT /control/faults", h.putFaults)
	h.mux.HandleFunc("PUT /control/compact", h.putCompact)
	h.mux.HandleFunc("GET /control/stats", h.getStats)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// withFaults counts the call and injects the faults that precede its effect.
func (h *Handler) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !h.control.admit(r, time.Now()) {
			w.Header().Set("Retry-After", "1")
			writeJSON(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
		// As in a real store, a delayed write takes effect even if its caller has
		// disconnected, so the delay ignores the request's context.
		if d := h.control.delay(); d > 0 {
			time.Sleep(d)
		}
		next(w, r)
	}
}

func (h *Handler) get(w http.ResponseWriter, r *http.Request) {
	o, ok := h.store.get(keyOf(r))
	if !ok {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	writeJSON(w, http.StatusOK, o)
}

type listResponse struct {
	Version int64    `json:"version"`
	Objects []object `json:"objects"`
	Cursor  string   `json:"cursor"`
}

func (h *Handler) list(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit <= 0 {
		limit = defaultPageSize
	}
	var page listResponse
	page.Version, page.Objects, page.Cursor = h.store.list(r.PathValue("kind"), r.FormValue("cursor"), min(limit, maxPageSize))
	writeJSON(w, http.StatusOK, page)
}

func (h *Handler) put(w http.ResponseWriter, r *http.Request) {
	expected, ok := expectedVersion(r)
	if !ok {
		writeJSON(w, http.StatusPreconditionRequired, struct{}{})
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, struct{}{})
		return
	}
	if !json.Valid(value) {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	o, ok := h.store.put(keyOf(r), expected, value)
	h.respondToWrite(w, ok, o, o)
}

func (h *Handler) remove(w http.ResponseWriter, r *http.Request) {
	expected, ok := expectedVersion(r)
	if !ok {
		writeJSON(w, http.StatusPreconditionRequired, struct{}{})
		return
	}
	version, current, ok := h.store.remove(keyOf(r), expected)
	h.respondToWrite(w, ok, listVersion{Version: version}, current)
}

type listVersion struct {
	Version int64 `json:"version"`
}

// respondToWrite writes the response of a write, unless a fault drops it.
func (h *Handler) respondToWrite(w http.ResponseWriter, ok bool, result any, current object) {
	if h.control.shouldLoseAnswer() {
		// ErrAbortHandler closes the connection without a response.
		panic(http.ErrAbortHandler)
	}
	switch {
	case ok:
		writeJSON(w, http.StatusOK, result)
	case current.Version == 0:
		writeJSON(w, http.StatusPreconditionFailed, struct{}{})
	default:
		writeJSON(w, http.StatusPreconditionFailed, current)
	}
}

type watchResponse struct {
	Version int64   `json:"version"`
	Events  []event `json:"events"`
}

func (h *Handler) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	millis, errWait := strconv.Atoi(r.FormValue("waitMillis"))
	if err != nil || errWait != nil || millis < 0 {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	h.control.waitingWatches.Add(1)
	defer h.control.waitingWatches.Add(-1)
	timer := time.NewTimer(min(time.Duration(millis)*time.Millisecond, maxWait))
	defer timer.Stop()
	for expired := false; ; {
		version, events, changed, ok := h.store.changesSince(r.PathValue("kind"), after)
		switch {
		case !ok:
			writeJSON(w, http.StatusGone, listVersion{Version: version})
			return
		case len(events) > 0 || expired:
			writeJSON(w, http.StatusOK, watchResponse{Version: version, Events: events})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			expired = true
		case <-changed:
		}
	}
}

func keyOf(r *http.Request) key {
	return key{kind: r.PathValue("kind"), name: r.PathValue("name")}
}

// expectedVersion parses the precondition of a write: the version that the object
// must have, or 0 if it must not exist.
func expectedVersion(r *http.Request) (int64, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	v, err := strconv.ParseInt(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	return v, err == nil && v > 0
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
