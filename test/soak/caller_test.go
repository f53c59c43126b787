package soak_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/test/system"
)

const (
	// callTimeout bounds one try of a caller.
	callTimeout = 30 * time.Second
	// tries is how often a caller repeats a call, or resumes a stream.
	tries = 5
	// longest bounds the outputs, in tokens.
	longest = 60
)

// history is what the callers of one deployment saw.
type history struct {
	mu sync.Mutex
	// streams holds each generation's tokens over all its connections.
	streams [][]system.Token
	whole   int
	// keys holds for each key the outcomes of all tries.
	keys    map[string][]answer.Outcome
	refused int
}

// callers sends generations and keyed calls until ctx ends.
type callers struct {
	s       *system.System
	d       deployment
	history *history
}

// generate asks for one generation and resumes it through another instance
// when its connection breaks.
func (c *callers) generate(t *testing.T, rng *rand.Rand, caller *system.Caller, prompt string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
	defer cancel()
	st, err := caller.Generate(ctx, t, c.instance(rng).Caller, c.d.model, prompt, longest)
	var tokens []system.Token
	for try := 0; err == nil && st.Failure == nil && try < tries; try++ {
		err = st.Read(0)
		st.Close()
		tokens = append(tokens, st.Tokens...)
		if !errors.Is(err, system.ErrStreamInterrupted) || len(tokens) == 0 {
			break
		}
		st, err = caller.Resume(ctx, t, c.instance(rng).Caller, st.ID, tokens[len(tokens)-1].Position)
	}
	c.history.mu.Lock()
	defer c.history.mu.Unlock()
	if len(tokens) > 0 {
		c.history.streams = append(c.history.streams, tokens)
		if tokens[len(tokens)-1].Finish != "" {
			c.history.whole++
		}
		return
	}
	c.history.refused++
}

// write sends one keyed call and repeats it, mostly through another instance,
// until it knows what became of it.
func (c *callers) write(t *testing.T, rng *rand.Rand, caller *system.Caller, key string) {
	var outcomes []answer.Outcome
	for range tries {
		outcome := c.try(t, rng, caller, key)
		outcomes = append(outcomes, outcome)
		if outcome == answer.OutcomeRan {
			break
		}
	}
	c.history.mu.Lock()
	defer c.history.mu.Unlock()
	c.history.keys[key] = outcomes
}

func (c *callers) try(t *testing.T, rng *rand.Rand, caller *system.Caller, key string) answer.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply, err := caller.Call(ctx, t, http.MethodPost, c.instance(rng).Caller, c.d.write,
		fmt.Appendf(nil, `{"slot":%q}`, key), "Idempotency-Key", key)
	switch {
	case err != nil:
		return answer.OutcomeUnknown
	case reply.Status == http.StatusOK:
		return answer.OutcomeRan
	}
	return reply.Failure(t).Outcome
}

func (c *callers) instance(rng *rand.Rand) *system.Instance {
	return c.s.Instances[rng.IntN(len(c.s.Instances))]
}

// requireHolds checks the callers' history against the ledger of the service.
func (c *callers) requireHolds(t *testing.T) {
	t.Helper()
	for _, tokens := range c.history.streams {
		if tokens[len(tokens)-1].Finish == "" {
			end := system.Token{Position: tokens[len(tokens)-1].Position + 1, Finish: "cut"}
			tokens = append(tokens, end)
		}
		system.RequireCompleteStream(t, tokens)
	}
	effects := map[string]int{}
	for name, node := range c.s.Servers {
		if node.Name == name && c.plain(name) {
			for _, e := range c.s.ServiceLedger(t, name).Effects {
				effects[e.IdempotencyKey]++
			}
		}
	}
	for key, outcomes := range c.history.keys {
		require.LessOrEqual(t, effects[key], 1, "key %s ran twice: %v", key, outcomes)
		switch last := outcomes[len(outcomes)-1]; {
		case last == answer.OutcomeRan:
			require.Equal(t, 1, effects[key], "key %s did not run: %v", key, outcomes)
		case onlyNotRun(outcomes):
			require.Zero(t, effects[key], "key %s was said not to have run: %v", key, outcomes)
		}
	}
}

func onlyNotRun(outcomes []answer.Outcome) bool {
	for _, o := range outcomes {
		if o != answer.OutcomeNotRun {
			return false
		}
	}
	return true
}

func (c *callers) plain(server string) bool {
	for _, each := range c.s.Config.Servers {
		if each.Name == server {
			return len(each.Models) == 0
		}
	}
	return false
}
