// Package batch is the scheduler of the model engine stand-in: continuous batching
// with a memory limit, a prefix cache, priorities, and preemption with recomputation.
// It has no clock and no goroutines; the engine runs it step by step.
//
// # Usage
//
//	b := batch.New(batch.DefaultParams())
//	b.Add(&batch.Sequence{ID: "r1", PromptTokens: 300, Length: 80})
//	step := b.Step() // each sequence in step.Emitted gets a token after step.Duration
package batch

import (
	"slices"
	"time"
)

// Params configures the speed and capacity of a batch.
type Params struct {
	// A step takes BaseStepTime, plus StepTimePerSequence for each decoding
	// sequence, plus StepTimePerKiloToken for each thousand tokens in use by
	// running sequences.
	BaseStepTime         time.Duration
	StepTimePerSequence  time.Duration
	StepTimePerKiloToken time.Duration
	// PrefillTokensPerSecond is the prefill speed, PrefillChunkTokens the
	// maximum number of prompt tokens processed in one step.
	PrefillTokensPerSecond int
	PrefillChunkTokens     int
	// MaxSequences limits the running sequences.
	MaxSequences int
	// MemoryTokens limits the tokens of running sequences and of the cache.
	MemoryTokens int
	BlockTokens  int
}

// DefaultParams returns the parameters of a small engine: 20 ms between tokens for a
// single sequence, some 40 ms with 16 sequences.
func DefaultParams() Params {
	return Params{
		BaseStepTime:           19 * time.Millisecond,
		StepTimePerSequence:    time.Millisecond,
		StepTimePerKiloToken:   250 * time.Microsecond,
		PrefillTokensPerSecond: 8000,
		PrefillChunkTokens:     256,
		MaxSequences:           32,
		MemoryTokens:           16000,
		BlockTokens:            16,
	}
}

// Sequence is one generation in a batch.
type Sequence struct {
	ID           string
	Priority     int // lower runs first
	PromptTokens int
	// Blocks are the hashes of the prompt's full blocks. Each hash also covers
	// the preceding blocks.
	Blocks []uint64
	// Length is the number of output tokens after which the generation ends.
	Length int

	// OutputTokens counts the output tokens so far, Preemptions how often the
	// sequence was preempted.
	OutputTokens int
	Preemptions  int

	arrival int64
	// privateTokens is the memory outside the prefix cache, cachedBlocks the
	// number of referenced blocks in the cache, and prefillRemaining the number
	// of tokens to process before the sequence can decode.
	privateTokens    int
	cachedBlocks     int
	prefillRemaining int
}

// Done reports whether all output tokens have been produced.
func (s *Sequence) Done() bool { return s.OutputTokens >= s.Length }

// Step is the result of one step of a batch.
type Step struct {
	Duration time.Duration
	// Emitted are the sequences that produced a token. Those that are Done have
	// been removed from the batch.
	Emitted   []*Sequence
	Preempted []*Sequence
	Cache     []CacheChange
}

// Batch runs sequences step by step within a memory limit. It isn't safe for
// concurrent use.
type Batch struct {
	params  Params
	cache   *prefixCache
	waiting []*Sequence
	running []*Sequence
	// privateTokens is the sum over the running sequences.
	privateTokens int
	arrivalCount  int64
}

// New returns an empty batch.
func New(params Params) *Batch {
	return &Batch{params: params, cache: newPrefixCache(params.BlockTokens)}
}

// Running returns the sequences in memory.
func (b *Batch) Running() []*Sequence { return b.running }

// Waiting returns the sequences that wait for memory, in the order of admission.
func (b *Batch) Waiting() []*Sequence { return b.waiting }

// UsedTokens returns the tokens in use by running sequences, with shared blocks
// counted once.
func (b *Batch) UsedTokens() int { return b.privateTokens + b.cache.tokens() - b.cache.evictable() }

// CachedTokens returns the size of the prefix cache.
func (b *Batch) CachedTokens() int { return b.cache.tokens() }

// Fits reports whether the sequence could run in an otherwise empty batch.
func (b *Batch) Fits(s *Sequence) bool { return s.PromptTokens < b.params.MemoryTokens }

// Add queues a sequence.
func (b *Batch) Add(s *Sequence) {
	b.arrivalCount++
	s.arrival = b.arrivalCount
	b.enqueue(s)
}

func (b *Batch) enqueue(s *Sequence) {
	i, _ := slices.BinarySearchFunc(b.waiting, s, compareSequences)
	b.waiting = slices.Insert(b.waiting, i, s)
}

// compareSequences orders sequences by priority, then by arrival.
func compareSequences(a, c *Sequence) int {
	if a.Priority != c.Priority {
		return a.Priority - c.Priority
	}
	return int(a.arrival - c.arrival)
}

// Remove removes a sequence and frees its memory.
func (b *Batch) Remove(s *Sequence) {
	if i := slices.Index(b.waiting, s); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		return
	}
	if i := slices.Index(b.running, s); i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
		b.freeMemory(s)
	}
}

// Step admits waiting sequences that fit, runs a chunk of prefill and produces one
// token for each sequence whose prefill is complete.
func (b *Batch) Step() Step {
	var step Step
	b.admit(&step)
	prefilled := b.prefill()
	b.decode(&step)
	step.Duration = b.duration(len(step.Emitted), prefilled)
	b.removeFinished(step.Emitted)
	step.Cache = b.cache.takeChanges()
	return step
}

func (b *Batch) admit(step *Step) {
	for len(b.waiting) > 0 {
		s := b.waiting[0]
		for !b.reserve(s) {
			// A waiting sequence preempts only a running one of strictly lower
			// priority; equals would preempt each other forever.
			v := b.preemptionVictim()
			if v == nil || v.Priority <= s.Priority {
				return
			}
			b.preempt(v, step)
		}
		b.waiting = slices.DeleteFunc(b.waiting, func(w *Sequence) bool { return w == s })
		b.running = append(b.running, s)
	}
}

// reserve allocates the memory for a sequence's prompt and its output so far. It
// leaves 1% of the memory free: a sequence that takes the last free token would be
// preempted in the same step.
func (b *Batch) reserve(s *Sequence) bool {
	if len(b.running) >= b.params.MaxSequences {
		return false
	}
	hits := b.cache.match(s.Blocks)
	for _, hash := range s.Blocks[:hits] {
		b.cache.acquire(hash)
	}
	requiredTokens := s.PromptTokens + s.OutputTokens - hits*b.params.BlockTokens
	minFreeTokens := requiredTokens
	if len(b.running) > 0 {
		minFreeTokens += 1 + b.params.MemoryTokens/100
	}
	if !b.evictUntilFree(minFreeTokens) {
		b.cache.release(s.Blocks[:hits])
		return false
	}
	s.cachedBlocks, s.privateTokens, s.prefillRemaining = hits, requiredTokens, requiredTokens
	b.privateTokens += requiredTokens
	return true
}

// evictUntilFree evicts cached blocks until n tokens are free, and reports whether
// they are.
func (b *Batch) evictUntilFree(n int) bool {
	if b.UsedTokens()+n > b.params.MemoryTokens {
		return false
	}
	for b.privateTokens+b.cache.tokens()+n > b.params.MemoryTokens {
		if !b.cache.evict() {
			return false
		}
	}
	return true
}

// prefill processes prompt tokens in the order of admission and returns their number.
func (b *Batch) prefill() int {
	tokenBudget := b.params.PrefillChunkTokens
	for _, s := range b.running {
		n := min(s.prefillRemaining, tokenBudget)
		if n == 0 {
			continue
		}
		s.prefillRemaining -= n
		tokenBudget -= n
		if s.prefillRemaining == 0 {
			b.cachePrompt(s)
		}
	}
	return b.params.PrefillChunkTokens - tokenBudget
}

// cachePrompt moves the prompt's blocks from the sequence into the cache, so that
// other sequences can share them.
func (b *Batch) cachePrompt(s *Sequence) {
	for _, hash := range s.Blocks[s.cachedBlocks:] {
		b.cache.acquire(hash)
		s.privateTokens -= b.params.BlockTokens
		b.privateTokens -= b.params.BlockTokens
	}
	s.cachedBlocks = len(s.Blocks)
}

func (b *Batch) decode(step *Step) {
	for _, s := range slices.Clone(b.running) {
		if s.prefillRemaining > 0 || !slices.Contains(b.running, s) {
			continue
		}
		if !b.allocateToken(s, step) {
			continue
		}
		s.OutputTokens++
		step.Emitted = append(step.Emitted, s)
	}
}

// allocateToken allocates memory for one more token, preempting sequences if needed.
// It reports whether s may continue.
func (b *Batch) allocateToken(s *Sequence, step *Step) bool {
	for !b.evictUntilFree(1) {
		v := b.preemptionVictim()
		if v == s && len(b.running) == 1 {
			// No other sequence can be preempted, so this token is the last.
			s.Length = s.OutputTokens + 1
			return true
		}
		b.preempt(v, step)
		if v == s {
			return false
		}
	}
	s.privateTokens++
	b.privateTokens++
	return true
}

// preemptionVictim returns the sequence to preempt next: the one of lowest priority,
// and among equals the last to arrive.
func (b *Batch) preemptionVictim() *Sequence {
	if len(b.running) == 0 {
		return nil
	}
	return slices.MaxFunc(b.running, compareSequences)
}

// preempt frees a sequence's memory and queues it again. Its tokens are recomputed
// when it is admitted, and its stream stalls until then.
func (b *Batch) preempt(s *Sequence, step *Step) {
	b.running = slices.DeleteFunc(b.running, func(r *Sequence) bool { return r == s })
	b.freeMemory(s)
	s.Preemptions++
	step.Emitted = slices.DeleteFunc(step.Emitted, func(e *Sequence) bool {
		if e == s {
			// The token of this step is discarded with the memory.
			s.OutputTokens--
		}
		return e == s
	})
	step.Preempted = append(step.Preempted, s)
	b.enqueue(s)
}

func (b *Batch) freeMemory(s *Sequence) {
	b.privateTokens -= s.privateTokens
	b.cache.release(s.Blocks[:s.cachedBlocks])
	s.privateTokens, s.cachedBlocks, s.prefillRemaining = 0, 0, 0
}

func (b *Batch) removeFinished(emitted []*Sequence) {
	for _, s := range emitted {
		if s.Done() {
			b.Remove(s)
		}
	}
}

func (b *Batch) duration(decoding, prefilled int) time.Duration {
	p := b.params
	d := p.BaseStepTime + time.Duration(decoding)*p.StepTimePerSequence
	d += time.Duration(int64(p.StepTimePerKiloToken) * int64(b.UsedTokens()) / 1000)
	return d + time.Duration(int64(prefilled)*int64(time.Second)/int64(p.PrefillTokensPerSecond))
}
