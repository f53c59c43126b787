//go:build review

package main

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// plainServer is a plain backend server. It runs a request once it has read it, and answers with a failure
// of its own for a share of the idempotent ones.
type plainServer struct {
	id     string
	work   time.Duration
	server *httptest.Server

	failing atomic.Bool
	share   float64

	mu   sync.Mutex
	runs map[string]int
}

func newPlainServer(d *deployment, id, zone string, slots int, work time.Duration, share float64) *plainServer {
	s := &plainServer{id: id, work: work, share: share, runs: map[string]int{}}
	s.server = httptest.NewServer(s)
	d.list(&entry{id: id, service: plainName, address: strings.TrimPrefix(s.server.URL, "http://"), zone: zone, state: "ready", slots: slots})
	return s
}

// failureText is the body of a failure, about as long as the longest answers of the site.
var failureText = strings.Repeat("the roster could not be read\n", 155)

// ServeHTTP runs a request.
func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.Fields.RequestID)
	if expected := r.Header.Get(wire.Fields.ExpectInstance); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set(wire.Fields.NotExecuted, "no id")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	time.Sleep(s.work)
	w.Header().Set(wire.Fields.RequestID, id)
	w.Header().Set(wire.Fields.Seal, s.id+"."+id)
	if r.Method == http.MethodGet && s.failing.Load() && rand.Float64() < s.share {
		// The body is sent in chunks.
		w.WriteHeader(http.StatusInternalServerError)
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, failureText)
		return
	}
	_, _ = io.WriteString(w, "done "+id)
}

func (s *plainServer) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, runs := range s.runs {
		n += runs
	}
	return n
}

// requestID returns the n-th request id of a run.
func requestID(n int64) string { return strconv.FormatInt(0x9c41d07be2a3+n, 16) }
