// Package caller sends requests as a well-behaved client does: it asks for the list of
// instances, tries them in order, retries a refused request after the given delay, resumes an
// interrupted stream through another instance, and retries a non-idempotent call only with the
// same idempotency key.
//
// # Usage
//
//	c := caller.New(caller.Options{Instances: seeds}, recorder)
//	defer c.Close()
//	c.Do(ctx, arrival, request)
package caller

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/loadgen/measure"
	"pollenspindle.example/pollenspindle/internal/loadgen/workload"
)

// Options configure a Caller. Zero fields take the defaults.
type Options struct {
	// Instances are the addresses that are asked for the list of instances.
	Instances []string
	// Direct sends requests to the first of Instances without asking for the list, for example
	// when that address is an engine.
	Direct bool
	// RetryTimeout is how long a refused interactive request is retried; PatientRetryTimeout is
	// the same for a patient one.
	RetryTimeout        time.Duration
	PatientRetryTimeout time.Duration
	// IdleTimeout is how long a stream may deliver nothing before the caller resumes it through
	// another instance.
	IdleTimeout time.Duration
	// CallTimeout limits one attempt of a call to a plain service.
	CallTimeout time.Duration
}

func (o Options) withDefaults() Options {
	if o.RetryTimeout <= 0 {
		o.RetryTimeout = 10 * time.Second
	}
	if o.PatientRetryTimeout <= 0 {
		o.PatientRetryTimeout = time.Minute
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = 15 * time.Second
	}
	if o.Direct {
		// There is no other instance to resume on, and a request queued by an engine delivers
		// nothing for a long time.
		o.IdleTimeout = directIdleTimeout
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = 20 * time.Second
	}
	return o
}

const (
	// maxResumes limits the resumes of one stream; a stream that needs more counts as failed.
	maxResumes        = 8
	directIdleTimeout = time.Hour
	// minBackoff is the minimum delay between attempts, also used when a failure has no retry
	// delay.
	minBackoff = 100 * time.Millisecond
)

// Caller sends requests for all workspaces of a run.
type Caller struct {
	opts     Options
	http     *httpclient.Client
	recorder *measure.Recorder

	mu          sync.Mutex
	directories map[string]*directory
	outcomes    map[string]ReportedOutcome
}

// ReportedOutcome is the outcome of a call with an idempotency key, as reported to the caller.
type ReportedOutcome string

// The outcomes that are reported to callers.
const (
	ReportedDone    ReportedOutcome = "done"
	ReportedNotRun  ReportedOutcome = "notRun"
	ReportedUnknown ReportedOutcome = "unknown"
)

// New returns a Caller that reports to recorder.
func New(opts Options, recorder *measure.Recorder) *Caller {
	return &Caller{
		opts: opts.withDefaults(), http: httpclient.New(httpclient.Options{MaxIdle: 256}), recorder: recorder,
		directories: map[string]*directory{}, outcomes: map[string]ReportedOutcome{},
	}
}

// Close closes idle connections.
func (c *Caller) Close() { c.http.Close() }

// ReportedOutcomes returns the reported outcome of each idempotency key, to be compared with
// the ledgers of the services.
func (c *Caller) ReportedOutcomes() map[string]ReportedOutcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	outcomes := make(map[string]ReportedOutcome, len(c.outcomes))
	for key, t := range c.outcomes {
		outcomes[key] = t
	}
	return outcomes
}

// Do sends one request, due at arrival, and records the result.
func (c *Caller) Do(ctx context.Context, arrival time.Time, req workload.Request) {
	if req.Generation != nil {
		s := &generationStream{caller: c, request: req, arrival: arrival}
		result := s.run(ctx)
		c.recorder.RecordStream(time.Now(), result)
		return
	}
	c.call(ctx, arrival, req)
}

// addresses returns the addresses of the instances to try, in order.
func (c *Caller) addresses(ctx context.Context, token string) ([]string, error) {
	if c.opts.Direct {
		return c.opts.Instances, nil
	}
	c.mu.Lock()
	d := c.directories[token]
	if d == nil {
		d = &directory{http: c.http, token: token}
		c.directories[token] = d
	}
	c.mu.Unlock()
	return d.addresses(ctx, time.Now(), c.opts.Instances)
}

func (c *Caller) retryTimeout(req workload.Request) time.Duration {
	if req.Patient {
		return c.opts.PatientRetryTimeout
	}
	return c.opts.RetryTimeout
}

// failure is the JSON body of a failed request. Instances and stand-ins share this format.
type failure struct {
	Error struct {
		Code         string `json:"code"`
		Outcome      string `json:"outcome"`
		RetryAfterMs int64  `json:"retryAfterMs"`
	} `json:"error"`
}

func (f failure) isNotRun() bool { return f.Error.Outcome == string(ReportedNotRun) }

// retryDelay returns how long to wait before the next attempt.
func (f failure) retryDelay() time.Duration {
	return max(time.Duration(f.Error.RetryAfterMs)*time.Millisecond, minBackoff)
}

func parseFailure(body []byte) failure {
	var f failure
	if json.Unmarshal(body, &f) != nil || f.Error.Code == "" {
		f.Error.Code = "unreadable"
	}
	return f
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
