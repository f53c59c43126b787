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
	// callTimeout limits one attempt of a caller.
	callTimeout = 30 * time.Second
	// maxAttempts limits how often a caller sends a call or resumes a stream.
	maxAttempts = 5
	// maxOutputTokens limits the output of each generation.
	maxOutputTokens = 60
)

// history records what the callers of one deployment received.
type history struct {
	mu sync.Mutex
	// streams holds the tokens of each generation over all its connections.
	streams  [][]system.Token
	complete int
	// outcomesByKey holds the outcomes of all attempts by idempotency key.
	outcomesByKey map[string][]answer.Outcome
	refused       int
}

// callers send generations and calls with idempotency keys until their context ends.
type callers struct {
	s       *system.System
	d       deployment
	history *history
}

// generate requests one generation and resumes it through another instance if its connection
// breaks.
func (c *callers) generate(t *testing.T, rng *rand.Rand, caller *system.Caller, prompt string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
	defer cancel()
	st, err := caller.Generate(ctx, t, c.randomInstance(rng).Caller, c.d.model, prompt, maxOutputTokens)
	var tokens []system.Token
	for try := 0; err == nil && st.Failure == nil && try < maxAttempts; try++ {
		err = st.Read(0)
		st.Close()
		tokens = append(tokens, st.Tokens...)
		if !errors.Is(err, system.ErrStreamInterrupted) || len(tokens) == 0 {
			break
		}
		st, err = caller.Resume(ctx, t, c.randomInstance(rng).Caller, st.ID, tokens[len(tokens)-1].Position)
	}
	c.history.mu.Lock()
	defer c.history.mu.Unlock()
	if len(tokens) > 0 {
		c.history.streams = append(c.history.streams, tokens)
		if tokens[len(tokens)-1].Finish != "" {
			c.history.complete++
		}
		return
	}
	c.history.refused++
}

// write sends one call with an idempotency key and repeats it, usually through another instance,
// until it is known to have run.
func (c *callers) write(t *testing.T, rng *rand.Rand, caller *system.Caller, key string) {
	var outcomes []answer.Outcome
	for range maxAttempts {
		outcome := c.attempt(t, rng, caller, key)
		outcomes = append(outcomes, outcome)
		if outcome == answer.OutcomeRan {
			break
		}
	}
	c.history.mu.Lock()
	defer c.history.mu.Unlock()
	c.history.outcomesByKey[key] = outcomes
}

func (c *callers) attempt(t *testing.T, rng *rand.Rand, caller *system.Caller, key string) answer.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply, err := caller.Call(ctx, t, http.MethodPost, c.randomInstance(rng).Caller, c.d.write,
		fmt.Appendf(nil, `{"slot":%q}`, key), "Idempotency-Key", key)
	switch {
	case err != nil:
		return answer.OutcomeUnknown
	case reply.Status == http.StatusOK:
		return answer.OutcomeRan
	}
	return reply.Failure(t).Outcome
}

func (c *callers) randomInstance(rng *rand.Rand) *system.Instance {
	return c.s.Instances[rng.IntN(len(c.s.Instances))]
}

// requireInvariants checks the callers' history against the ledgers of the plain servers.
func (c *callers) requireInvariants(t *testing.T) {
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
		if node.Name == name && c.isPlainServer(name) {
			for _, e := range c.s.ServiceLedger(t, name).Effects {
				effects[e.IdempotencyKey]++
			}
		}
	}
	for key, outcomes := range c.history.outcomesByKey {
		require.LessOrEqual(t, effects[key], 1, "key %s ran twice: %v", key, outcomes)
		switch last := outcomes[len(outcomes)-1]; {
		case last == answer.OutcomeRan:
			require.Equal(t, 1, effects[key], "key %s did not run: %v", key, outcomes)
		case allNotRun(outcomes):
			require.Zero(t, effects[key], "key %s has an effect although all outcomes are notRun: %v", key, outcomes)
		}
	}
}

func allNotRun(outcomes []answer.Outcome) bool {
	for _, o := range outcomes {
		if o != answer.OutcomeNotRun {
			return false
		}
	}
	return true
}

func (c *callers) isPlainServer(server string) bool {
	for _, each := range c.s.Config.Servers {
		if each.Name == server {
			return len(each.Models) == 0
		}
	}
	return false
}
