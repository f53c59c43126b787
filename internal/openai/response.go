package openai

import "encoding/json"

// Response is a complete response of either endpoint.
type Response struct {
	ID                string           `json:"id"`
	Object            string           `json:"object"`
	Created           int64            `json:"created"`
	Model             string           `json:"model"`
	SystemFingerprint string           `json:"system_fingerprint,omitempty"`
	Choices           []ResponseChoice `json:"choices"`
	Usage             json.RawMessage  `json:"usage"`
}

// ResponseChoice is one choice. Message is set for chat, Text for completions.
type ResponseChoice struct {
	Index        int                          `json:"index"`
	Message      *Message                     `json:"message,omitempty"`
	Text         *string                      `json:"text,omitempty"`
	FinishReason string                       `json:"finish_reason"`
	Logprobs     map[string][]json.RawMessage `json:"logprobs"`
}

// Message is the message of a chat choice.
type Message struct {
	Role             string             `json:"role"`
	Content          string             `json:"content"`
	ReasoningContent string             `json:"reasoning_content,omitempty"`
	Refusal          *string            `json:"refusal"`
	ToolCalls        []ResponseToolCall `json:"tool_calls,omitempty"`
}

// ResponseToolCall is a complete [ToolCall]; it has no index.
type ResponseToolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function ToolFunction `json:"function"`
}

// Usage holds the token counts of a generation.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Response returns the complete response as JSON. If the engine reported no usage, each event counts
// as one output token and promptTokens, an estimate, is the number of prompt tokens.
func (c *Collector) Response(id string, promptTokens int) ([]byte, error) {
	response := Response{
		ID: id, Object: "chat.completion", Created: c.first.Created, Model: c.first.Model,
		SystemFingerprint: c.first.SystemFingerprint, Choices: []ResponseChoice{}, Usage: c.usage,
	}
	if c.endpoint == Completion {
		response.Object = "text_completion"
	}
	for i := range c.choices {
		response.Choices = append(response.Choices, c.choices[i].complete(c.endpoint, i))
	}
	if response.Usage == nil {
		usage, err := json.Marshal(Usage{promptTokens, c.events, promptTokens + c.events})
		if err != nil {
			return nil, err
		}
		response.Usage = usage
	}
	return json.Marshal(response)
}

func (c *partialChoice) complete(e Endpoint, index int) ResponseChoice {
	choice := ResponseChoice{Index: index, FinishReason: c.finish, Logprobs: c.logprobs}
	text := c.text.String()
	if e == Completion {
		choice.Text = &text
		return choice
	}
	m := &Message{Role: "assistant", Content: text, ReasoningContent: c.reasoning.String()}
	if c.role != "" {
		m.Role = c.role
	}
	if c.refusal.Len() > 0 {
		refusal := c.refusal.String()
		m.Refusal = &refusal
	}
	for _, t := range c.tools {
		m.ToolCalls = append(m.ToolCalls, ResponseToolCall{t.ID, t.Type, t.Function})
	}
	choice.Message = m
	return choice
}
