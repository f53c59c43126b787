package openai

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Chunk is one event of a streamed response of either endpoint.
type Chunk struct {
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint string          `json:"system_fingerprint"`
	Choices           []ChunkChoice   `json:"choices"`
	Usage             json.RawMessage `json:"usage"`
}

// ChunkChoice is the part of a chunk that belongs to one choice.
type ChunkChoice struct {
	Index        int                          `json:"index"`
	Delta        Delta                        `json:"delta"`
	Text         string                       `json:"text"`
	FinishReason string                       `json:"finish_reason"`
	Logprobs     map[string][]json.RawMessage `json:"logprobs"`
}

// Delta holds the content that a chat chunk appends to a choice.
type Delta struct {
	Role             string     `json:"role"`
	Content          string     `json:"content"`
	ReasoningContent string     `json:"reasoning_content"`
	Refusal          string     `json:"refusal"`
	ToolCalls        []ToolCall `json:"tool_calls"`
}

// ToolCall is a function call; when streamed, each chunk holds a part of it.
type ToolCall struct {
	Index    int          `json:"index"`
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function ToolFunction `json:"function"`
}

// ToolFunction holds the name and the JSON arguments of a [ToolCall].
type ToolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// Collector assembles the chunks of one generation into a complete response.
type Collector struct {
	endpoint Endpoint
	first    Chunk
	started  bool
	usage    json.RawMessage
	events   int
	choices  []*partialChoice
}

// partialChoice accumulates one choice of the response.
type partialChoice struct {
	role      string
	text      strings.Builder
	reasoning strings.Builder
	refusal   strings.Builder
	tools     []ToolCall
	finish    string
	logprobs  map[string][]json.RawMessage
}

// maxChoices limits the choice index in an engine's chunk, which sizes a slice.
const maxChoices = 128

// NewCollector returns an empty collector for a response of endpoint e.
func NewCollector(e Endpoint) *Collector { return &Collector{endpoint: e} }

// Add appends the next chunk, given as JSON. It returns [ErrMalformedChunk] if the chunk is malformed.
func (c *Collector) Add(data string) error {
	var chunk Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return merry.Wrap(ErrMalformedChunk, merry.WithCause(err))
	}
	if !c.started {
		c.first, c.started = chunk, true
	}
	if len(chunk.Usage) > 0 && string(chunk.Usage) != "null" {
		c.usage = chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if choice.Index < 0 || choice.Index >= maxChoices {
			return merry.Wrap(ErrMalformedChunk)
		}
		for len(c.choices) <= choice.Index {
			c.choices = append(c.choices, &partialChoice{})
		}
		if choice.FinishReason == "" {
			c.events++
		}
		c.choices[choice.Index].add(choice)
	}
	return nil
}

func (c *partialChoice) add(choice ChunkChoice) {
	if choice.Delta.Role != "" {
		c.role = choice.Delta.Role
	}
	c.text.WriteString(choice.Delta.Content)
	c.text.WriteString(choice.Text)
	c.reasoning.WriteString(choice.Delta.ReasoningContent)
	c.refusal.WriteString(choice.Delta.Refusal)
	if choice.FinishReason != "" {
		c.finish = choice.FinishReason
	}
	for _, part := range choice.Delta.ToolCalls {
		c.addToolCall(part)
	}
	for name, list := range choice.Logprobs {
		if c.logprobs == nil {
			c.logprobs = map[string][]json.RawMessage{}
		}
		c.logprobs[name] = append(c.logprobs[name], list...)
	}
}

func (c *partialChoice) addToolCall(part ToolCall) {
	i := slices.IndexFunc(c.tools, func(t ToolCall) bool { return t.Index == part.Index })
	if i < 0 {
		c.tools = append(c.tools, part)
		return
	}
	tool := &c.tools[i]
	if part.ID != "" {
		tool.ID = part.ID
	}
	if part.Type != "" {
		tool.Type = part.Type
	}
	tool.Function.Name += part.Function.Name
	tool.Function.Arguments += part.Function.Arguments
}
