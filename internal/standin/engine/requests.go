package engine

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenspindle.example/pollenspindle/internal/standin/batch"
)

// bytesPerToken is the number of bytes that count as one prompt token.
const bytesPerToken = 4

// completionRequest holds the fields of an OpenAI request body that the engine uses.
type completionRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	Priority            int             `json:"priority"`
	Seed                *int64          `json:"seed"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// prompt returns the text of the prompt or of all messages.
func (r completionRequest) prompt() string {
	if len(r.Messages) == 0 {
		return textOf(r.Prompt)
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(textOf(m.Content))
		b.WriteByte('\n')
	}
	return b.String()
}

// textOf decodes a JSON string. Content of other types is used as raw JSON.
func textOf(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

func (r completionRequest) maxTokens() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// blockHashes returns a hash for each full block of the prompt. Each hash also covers
// the preceding blocks.
func blockHashes(prompt string, blockTokens int) []uint64 {
	size := blockTokens * bytesPerToken
	hashes := make([]uint64, 0, len(prompt)/size)
	digest := xxhash.New()
	for end := size; end <= len(prompt); end += size {
		_, _ = digest.WriteString(prompt[end-size : end])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// refusal is an error response to a request that doesn't run.
type refusal struct {
	status     int
	notRun     bool
	retryAfter int
	code       string
}

// accept starts a generation or returns a refusal. If both are nil, the request
// crashed the engine.
func (s *Server) accept(id string, req completionRequest, chat bool, now time.Time) (*generation, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.checkAdmission(id, req, now); r != nil {
		s.totals.refused++
		return nil, r
	}
	g := s.newGeneration(id, req, chat, now)
	if !s.batch.Fits(g.sequence) {
		return nil, &refusal{status: 400, code: "promptTooLong"}
	}
	s.totals.accepted++
	s.generations[id] = g
	if len(s.ledger) < maxLedger {
		s.ledger = append(s.ledger, g)
	}
	s.batch.Add(g.sequence)
	poisoned := s.opts.PoisonMarker != "" && strings.Contains(req.prompt(), s.opts.PoisonMarker)
	overloaded := s.isCold(now) && s.opts.ColdOverload == OverloadCrash && s.requestCount() > s.opts.ColdLimit
	if poisoned && s.opts.PoisonDelay > 0 {
		s.crashLater(now.Add(s.opts.PoisonDelay))
		poisoned = false
	}
	if poisoned || overloaded {
		s.crash(now)
		return nil, nil
	}
	s.wakeStepLoop()
	return g, nil
}

// crashLater crashes the present incarnation after the poison delay; s.mu must be held.
func (s *Server) crashLater(at time.Time) {
	incarnation := s.incarnation
	time.AfterFunc(s.opts.PoisonDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.incarnation == incarnation {
			s.crash(at)
		}
	})
}

func (s *Server) checkAdmission(id string, req completionRequest, now time.Time) *refusal {
	switch {
	case s.leaving:
		return &refusal{status: 503, notRun: true, code: "leaving"}
	case !s.commands.hasModel(req.Model):
		return &refusal{status: 404, code: "modelNotLoaded"}
	case id == "":
		return &refusal{status: 400, code: "requestIdMissing"}
	case s.generations[id] != nil:
		return &refusal{status: 400, code: "requestIdInUse"}
	case s.isCold(now) && s.opts.ColdOverload == OverloadRefuse && s.requestCount() >= s.opts.ColdLimit:
		return &refusal{status: 503, notRun: true, retryAfter: 1, code: "cold"}
	case len(s.batch.Waiting()) >= s.opts.MaxWaiting:
		return &refusal{status: 429, retryAfter: 1, code: "full"}
	}
	return nil
}

func (s *Server) newGeneration(id string, req completionRequest, chat bool, now time.Time) *generation {
	prompt := req.prompt()
	seed := s.opts.Seed
	if req.Seed != nil {
		seed ^= *req.Seed
	}
	length := outputLength(prompt, xxhash.Sum64String(prompt), seed, req.maxTokens())
	seq := &batch.Sequence{
		ID:           id,
		Priority:     req.Priority,
		PromptTokens: max(1, (len(prompt)+bytesPerToken-1)/bytesPerToken),
		Blocks:       blockHashes(prompt, s.opts.Batch.BlockTokens),
		Length:       length,
	}
	return &generation{
		entry: Entry{
			RequestID:    id,
			Incarnation:  s.incarnation,
			ArrivedAt:    now,
			Model:        req.Model,
			Priority:     req.Priority,
			PromptTokens: seq.PromptTokens,
			Status:       StatusRunning,
		},
		sequence:       seq,
		chat:           chat,
		created:        now.Unix(),
		tokenTag:       generationTag(s.incarnation, id),
		hitTokenLimit:  length == req.maxTokens(),
		emitTimestamps: s.opts.EmitTimestamps,
		acceptedAt:     now,
		lastReadAt:     now,
		readers:        map[*reader]bool{},
	}
}

// selectStream returns the generation whose stream is sent for g: g itself, or, as
// often as SwapStreamEvery says, another running one.
func (s *Server) selectStream(g *generation) *generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.SwapStreamEvery <= 0 || s.totals.accepted%int64(s.opts.SwapStreamEvery) != 0 {
		return g
	}
	for _, other := range s.generations {
		if other != g && !other.ended() {
			return other
		}
	}
	return g
}

// cancel ends a generation and frees its memory.
func (s *Server) cancel(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.generations[id]
	if g == nil || g.ended() {
		return
	}
	s.batch.Remove(g.sequence)
	s.endGeneration(g, StatusCancelled, now)
	delete(s.generations, id)
}

// findResumable returns the generation with the id, or nil if it can't be resumed.
func (s *Server) findResumable(id string) *generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.generations[id]
	if g == nil || g.entry.Status == StatusAbandoned {
		return nil
	}
	return g
}

// addReader registers a reader, removeReader removes it.
func (s *Server) addReader(g *generation) *reader {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &reader{wake: make(chan struct{}, 1)}
	g.readers[r] = true
	return r
}

func (s *Server) removeReader(g *generation, r *reader, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(g.readers, r)
	g.lastReadAt = now
}

// streamState is the state of a generation as its readers see it.
type streamState struct {
	visibleTokens int64
	status        Status
}

func (s *Server) streamState(g *generation) streamState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return streamState{visibleTokens: g.visibleTokens, status: g.entry.Status}
}
