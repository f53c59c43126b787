package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func smallBatch(memory int) *Batch {
	p := DefaultParams()
	p.MemoryTokens = memory
	p.MaxSequences = 8
	return New(p)
}

func hashes(group, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = uint64(group)<<32 | uint64(i)
	}
	return out
}

// runUntilEmpty steps until the batch is empty. It returns the IDs of the sequences
// in the order in which they finished, and the number of preemptions.
func runUntilEmpty(t *testing.T, b *Batch) ([]string, int) {
	t.Helper()
	var finished []string
	preempted := 0
	for range 10_000 {
		if len(b.Running())+len(b.Waiting()) == 0 {
			return finished, preempted
		}
		step := b.Step()
		preempted += len(step.Preempted)
		for _, s := range step.Emitted {
			if s.Done() {
				finished = append(finished, s.ID)
			}
		}
	}
	require.Fail(t, "the batch doesn't empty")
	return nil, 0
}

func TestBatchPreemptsWhenMemoryFills(t *testing.T) {
	b := smallBatch(400)
	for i := range 4 {
		b.Add(&Sequence{ID: fmt.Sprint(i), PromptTokens: 50, Length: 100})
	}
	finished, preempted := runUntilEmpty(t, b)
	require.Positive(t, preempted)
	require.Equal(t, "0", finished[0], "the first to arrive is the last to be preempted")
	require.Len(t, finished, 4)
	require.Zero(t, b.UsedTokens())
}

func TestBatchRunsLowerPriorityFirst(t *testing.T) {
	b := smallBatch(200)
	b.Add(&Sequence{ID: "patient", Priority: 5, PromptTokens: 100, Length: 50})
	b.Step()
	b.Add(&Sequence{ID: "interactive", Priority: 1, PromptTokens: 100, Length: 20})
	finished, preempted := runUntilEmpty(t, b)
	require.Equal(t, []string{"interactive", "patient"}, finished)
	require.Equal(t, 1, preempted)
}

func TestCachedPrefixShortensPrefill(t *testing.T) {
	b := smallBatch(16_000)
	first := &Sequence{ID: "a", PromptTokens: 250, Blocks: hashes(1, 15), Length: 1}
	b.Add(first)
	uncachedTime := b.Step().Duration
	second := &Sequence{ID: "b", PromptTokens: 250, Blocks: hashes(1, 15), Length: 1}
	b.Add(second)
	cachedTime := b.Step().Duration
	require.Greater(t, uncachedTime-cachedTime, 25*time.Millisecond)
}

func TestStepTakesLongerWithMoreSequences(t *testing.T) {
	last := time.Duration(0)
	for _, n := range []int{1, 2, 4, 8} {
		b := smallBatch(16_000)
		for i := range n {
			b.Add(&Sequence{ID: fmt.Sprint(i), PromptTokens: 10, Length: 50})
		}
		b.Step()
		d := b.Step().Duration
		require.Greater(t, d, last)
		last = d
	}
}

// Under random additions, removals and steps, memory stays within its limit, each
// sequence gets each of its tokens once, and all memory is free at the end.
func TestBatchInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const memory = 500
		b := smallBatch(memory)
		tokens := map[string]int{}
		var all []*Sequence
		removed := map[*Sequence]bool{}
		step := func() {
			for _, s := range b.Step().Emitted {
				tokens[s.ID]++
			}
			// The last token of a lone sequence may exceed the limit by one.
			require.LessOrEqual(rt, b.privateTokens+b.cache.tokens(), memory+1)
			require.GreaterOrEqual(rt, b.privateTokens, 0)
		}
		for i := range rapid.IntRange(1, 60).Draw(rt, "actions") {
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0, 1:
				prompt := rapid.IntRange(1, memory-1).Draw(rt, "prompt")
				s := &Sequence{
					ID: fmt.Sprint(i), PromptTokens: prompt, Priority: rapid.IntRange(0, 2).Draw(rt, "priority"),
					Blocks: hashes(rapid.IntRange(0, 2).Draw(rt, "group"), prompt/16),
					Length: rapid.IntRange(1, 300).Draw(rt, "length"),
				}
				all = append(all, s)
				b.Add(s)
			case 2:
				if len(all) > 0 {
					s := all[rapid.IntRange(0, len(all)-1).Draw(rt, "removed")]
					removed[s] = !s.Done() || removed[s]
					b.Remove(s)
				}
			default:
				step()
			}
		}
		for n := 0; len(b.Running())+len(b.Waiting()) > 0; n++ {
			require.Less(rt, n, 200_000, "the batch doesn't empty")
			step()
		}
		require.Zero(rt, b.privateTokens)
		require.Zero(rt, b.UsedTokens())
		for _, s := range all {
			if !removed[s] {
				require.Equal(rt, s.Length, tokens[s.ID])
			}
		}
	})
}
