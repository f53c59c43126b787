package system

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/internal/standin/engine"
)

// RunningRequests returns the number of requests that run on a backend server according to its
// owners. If instances disagree, it returns the maximum.
func (s *System) RunningRequests(t testing.TB, server string) int {
	t.Helper()
	highest := 0
	for _, in := range s.Instances {
		c := s.OperatorClient(t, in)
		list, err := c.Servers(t.Context())
		require.NoError(t, err, in.ID)
		for _, each := range list.Servers {
			if each.Name == server {
				highest = max(highest, each.Status.Running)
			}
		}
	}
	return highest
}

// WaitIdle waits until no owner counts a request as running on any backend server.
func (s *System) WaitIdle(t testing.TB) {
	t.Helper()
	for name := range s.Servers {
		require.Eventually(t, func() bool { return s.RunningRequests(t, name) == 0 },
			WaitTimeout, 10*PollInterval, "%s still has running requests", name)
	}
}

// ConfigVersion returns the version of the configuration that is in force on an instance, or 0 if
// it has none or doesn't respond. The operator API's configuration query can't be used for this:
// it asks the platform for the newest version.
func (s *System) ConfigVersion(ctx context.Context, t testing.TB, in *Instance) int64 {
	t.Helper()
	c := operatorapi.NewClient(in.Operator, operatorToken)
	defer c.Close()
	list, err := c.Instances(ctx)
	if err != nil {
		return 0
	}
	for _, each := range list.Instances {
		if each.Name == in.ID {
			return each.ConfigVersion
		}
	}
	return 0
}

// Metric returns the sum of an instance's metrics whose name ends in suffix.
func (s *System) Metric(t testing.TB, in *Instance, suffix string) float64 {
	t.Helper()
	res, err := http.DefaultClient.Do(newRequest(t.Context(), t, http.MethodGet, "http://"+in.Operator+"/metrics", operatorToken, nil))
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	sum := 0.0
	scanner := bufio.NewScanner(res.Body)
	for scanner.Scan() {
		name, value, ok := strings.Cut(scanner.Text(), " ")
		if bare, _, _ := strings.Cut(name, "{"); !ok || !strings.HasSuffix(bare, suffix) {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		require.NoError(t, err, scanner.Text())
		sum += n
	}
	return sum
}

// Prompt returns a chat prompt that a model engine counts as n tokens, so that the request can be
// found in the engine's ledger. n is at least 8.
func Prompt(n int) string {
	// The engine also counts "user\n" and a trailing newline, at four bytes per token.
	text := fmt.Sprintf("%d: briefing and plan: ", n)
	return text + strings.Repeat("x", 4*n-len("user\n\n")-len(text))
}

// GenerationsByServer returns, by server, the ledger entries of generations whose prompt has n
// tokens. Engines whose process has exited are left out.
func (s *System) GenerationsByServer(t testing.TB, n int) map[string][]engine.Entry {
	t.Helper()
	ran := map[string][]engine.Entry{}
	for name, node := range s.Servers {
		if node.args[0] != "engine" || node.Process.Exited() {
			continue
		}
		for _, entry := range s.EngineLedger(t, name).Generations {
			if entry.PromptTokens == n {
				ran[name] = append(ran[name], entry)
			}
		}
	}
	return ran
}

// SlowEngines makes all running model engines factor times slower; 1 restores the normal speed.
func (s *System) SlowEngines(t testing.TB, factor float64) {
	t.Helper()
	for _, node := range s.Servers {
		if node.args[0] == "engine" && !node.Process.Exited() {
			s.Control(t, node.Address, http.MethodPost, "/control/slow", map[string]float64{"factor": factor})
		}
	}
}
