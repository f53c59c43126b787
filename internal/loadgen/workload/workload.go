// Package workload generates the requests of the two example deployments: their kinds,
// workspaces and arrival times. It is seeded, so that two runs send the same requests.
//
// # Usage
//
//	requests, err := workload.Generate(workload.Options{
//		Mix: workload.Inyange, Seed: 1, Rate: 20, Duration: time.Minute, Max: 10000,
//	})
package workload

import (
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
)

// Kind is a kind of request.
type Kind string

// Kinds of requests of both deployments.
const (
	KindBriefing     Kind = "briefing"
	KindVerdict      Kind = "verdict"
	KindRoster       Kind = "roster"
	KindBooking      Kind = "booking"
	KindFee          Kind = "fee"
	KindPlan         Kind = "plan"
	KindNote         Kind = "deliveryNote"
	KindConfirmation Kind = "confirmation"
	KindStock        Kind = "stock"
)

// Mix is the name of a deployment's mix of requests.
type Mix string

// Mixes.
const (
	Inyange Mix = "inyange"
	Mavuno  Mix = "mavuno"
)

// Options configure the workload.
type Options struct {
	Mix  Mix
	Seed uint64
	// Rate is the mean number of requests per second. Arrivals are a Poisson process,
	// independent of earlier requests.
	Rate     float64
	Duration time.Duration
	// Max limits the number of requests.
	Max int
	// GenerationsOnly leaves out the calls to plain services; Rate is then the rate of
	// generations.
	GenerationsOnly bool
}

// Request is one request of a caller.
type Request struct {
	Seq int
	// ArrivalOffset is the arrival time, relative to the start of the run.
	ArrivalOffset time.Duration
	Kind          Kind
	Workspace     string
	// Token is the workspace's bearer token.
	Token string
	// Patient requests may wait for a long time.
	Patient bool
	// Exactly one of Generation and Call is set.
	Generation *Generation
	Call       *Call
}

// Generation is a request to a model.
type Generation struct {
	Model     string
	Prompt    string
	MaxTokens int
}

// Call is a request to a plain service.
type Call struct {
	Method string
	// Path is the URL path.
	Path string
	Body string
	// IdempotencyKey is empty for idempotent calls.
	IdempotencyKey string
}

// Generate returns the requests of one run, ordered by arrival time.
func Generate(opts Options) ([]Request, error) {
	mix, ok := mixes[opts.Mix]
	if !ok {
		return nil, merry.Errorf("unknown mix %q", opts.Mix)
	}
	if opts.Rate <= 0 || opts.Duration <= 0 || opts.Max < 1 {
		return nil, merry.New("rate, duration and maximum number of requests must be positive")
	}
	rng := rand.New(rand.NewPCG(opts.Seed, 0x6c6f6164))
	kinds := mix.kinds
	if opts.GenerationsOnly {
		kinds = generationKinds(kinds)
	}
	var requests []Request
	offset := time.Duration(0)
	for len(requests) < opts.Max {
		offset += time.Duration(rng.ExpFloat64() / opts.Rate * float64(time.Second))
		if offset >= opts.Duration {
			break
		}
		requests = append(requests, mix.drawRequest(rng, kinds, len(requests), offset, opts.Seed))
	}
	return requests, nil
}

func generationKinds(kinds []requestKind) []requestKind {
	var generations []requestKind
	for _, k := range kinds {
		if k.model != "" {
			generations = append(generations, k)
		}
	}
	return generations
}
