package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"pollenspindle.example/pollenspindle/internal/httpclient"
	"pollenspindle.example/pollenspindle/internal/loadgen/measure"
	"pollenspindle.example/pollenspindle/internal/loadgen/workload"
)

// call sends a request to a plain service and retries it while that is safe: with an
// idempotency key because the key makes it safe, without one because the request is idempotent.
func (c *Caller) call(ctx context.Context, arrival time.Time, req workload.Request) {
	deadline := arrival.Add(c.retryTimeout(req))
	result := measure.Call{Kind: req.Kind, Workspace: req.Workspace}
	outcome := ReportedNotRun
	for attempt := 0; ; attempt++ {
		failed, ok := c.send(ctx, req, attempt)
		if ok {
			outcome = ReportedDone
			result.Outcome = measure.Completed
			break
		}
		// Once an attempt may have run, a later refusal doesn't change that.
		if !failed.isNotRun() {
			outcome = ReportedUnknown
		}
		result.Code = failed.Error.Code
		delay := failed.retryDelay()
		if ctx.Err() != nil || time.Now().Add(delay).After(deadline) {
			result.Outcome = measure.Failed
			if outcome == ReportedNotRun {
				result.Outcome = measure.Refused
			}
			break
		}
		sleep(ctx, delay)
	}
	result.Duration = time.Since(arrival)
	if result.Outcome == measure.Completed {
		result.Code = ""
	}
	c.recorder.RecordCall(result)
	if key := req.Call.IdempotencyKey; key != "" {
		c.mu.Lock()
		c.outcomes[key] = outcome
		c.mu.Unlock()
	}
}

// send makes one attempt.
func (c *Caller) send(ctx context.Context, req workload.Request, attempt int) (failure, bool) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	list, err := c.addresses(ctx, req.Token)
	if err != nil {
		return notSentFailure(), false
	}
	address := list[attempt%len(list)]
	r := newRequest(req.Call.Method, address, req.Call.Path, req.Token)
	defer protocol.ReleaseRequest(r)
	if req.Call.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", req.Call.IdempotencyKey)
	}
	r.Header.SetContentTypeBytes([]byte("application/json"))
	r.SetBody([]byte(req.Call.Body))
	resp, err := c.http.Do(ctx, address, r, httpclient.Call{})
	if err != nil {
		return connectionLostFailure(), false
	}
	defer resp.Close()
	if resp.StatusCode() < http.StatusMultipleChoices {
		return failure{}, true
	}
	return parseFailure(resp.Bytes()), false
}

// notSentFailure returns the failure of an attempt for which no instance was found.
func notSentFailure() failure {
	f := connectionLostFailure()
	f.Error.Outcome = string(ReportedNotRun)
	return f
}
