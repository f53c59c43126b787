// Package openai parses and rewrites the requests, chunks and complete responses of the OpenAI
// protocol, as far as entry instances need to.
//
// # Usage
//
//	req, err := openai.Parse(openai.Chat, body, limits)
//	body, err = req.EngineBody(openai.EngineFields{Priority: 0, User: "club"})
package openai

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// Endpoint is an API endpoint that starts a generation.
type Endpoint string

// The endpoints. The values are URL paths.
const (
	Chat       Endpoint = "/v1/chat/completions"
	Completion Endpoint = "/v1/completions"
)

const (
	// bytesPerToken converts the prompt's length in bytes to an estimate of its tokens. English has
	// about four bytes per token and other languages fewer; the JSON syntax counted with the prompt
	// raises the estimate, which is the safe side.
	bytesPerToken = 4
	// minPrefixBytes and maxPrefixBytes limit the lengths of the prompt prefixes that are hashed; each
	// is twice as long as the previous one. Shorter prefixes save an engine's cache little, and
	// prompts with a longer common prefix are routed together by this one already.
	minPrefixBytes = 256
	maxPrefixBytes = 16 << 10
)

// FieldError reports an invalid field of a request.
type FieldError struct {
	Field   string
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// Request holds the fields that entry instances read. All other fields are passed to the engine
// unchanged.
type Request struct {
	Endpoint Endpoint
	Body     []byte
	Model    string
	Stream   bool
	// MaxTokens is the caller's limit of output tokens, or 0 for none.
	MaxTokens int
	// PromptTokens is an estimate.
	PromptTokens int
	// PrefixHashes are hashes of prefixes of the prompt, the shortest prefix first.
	PrefixHashes []uint64
}

// Parse parses and checks body. An error is a *FieldError.
func Parse(e Endpoint, body []byte, limits pollenspindle.Limits) (Request, error) {
	fields, err := parseObject(body)
	if err != nil {
		return Request{}, err
	}
	req := Request{Endpoint: e, Body: body}
	if req.Model, err = stringField(fields, "model"); err != nil {
		return Request{}, err
	}
	if req.Stream, err = boolField(fields, "stream"); err != nil {
		return Request{}, err
	}
	if req.MaxTokens, err = maxTokens(fields, limits.MaxOutputTokens); err != nil {
		return Request{}, err
	}
	prompt, err := promptJSON(e, fields)
	if err != nil {
		return Request{}, err
	}
	req.PromptTokens = 1 + len(prompt)/bytesPerToken
	req.PrefixHashes = prefixHashes(req.Model, prompt)
	return req, nil
}

// prefixHashes returns at least one hash: a prompt shorter than minPrefixBytes is hashed as one prefix.
func prefixHashes(model, prompt string) []uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model + "\x00")
	var hashes []uint64
	from := 0
	for end := minPrefixBytes; end <= min(len(prompt), maxPrefixBytes); end *= 2 {
		_, _ = digest.WriteString(prompt[from:end])
		hashes = append(hashes, digest.Sum64())
		from = end
	}
	if len(hashes) == 0 {
		_, _ = digest.WriteString(prompt)
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// parseObject returns the fields of a JSON object. Duplicate names, compared without case, are
// rejected: the engine might read the other one, so a request could be routed by one model's name and
// run on another model.
func parseObject(body []byte) (map[string]gjson.Result, error) {
	if len(bytes.TrimSpace(body)) == 0 {
		return nil, &FieldError{"body", "is empty; a JSON object is needed"}
	}
	// The standard library limits the nesting depth; gjson doesn't.
	if !utf8.Valid(body) || !json.Valid(body) {
		return nil, &FieldError{"body", "is not valid JSON in UTF-8"}
	}
	root := gjson.ParseBytes(body)
	if !root.IsObject() {
		return nil, &FieldError{"body", "is not a JSON object"}
	}
	fields := map[string]gjson.Result{}
	seen := map[string]bool{}
	var duplicate string
	root.ForEach(func(name, value gjson.Result) bool {
		folded := strings.ToLower(name.String())
		if seen[folded] {
			duplicate = name.String()
			return false
		}
		seen[folded] = true
		fields[name.String()] = value
		return true
	})
	if duplicate != "" {
		return nil, &FieldError{fmt.Sprintf("%.64q", duplicate), "is given twice"}
	}
	return fields, nil
}

func stringField(fields map[string]gjson.Result, name string) (string, error) {
	v, ok := fields[name]
	if !ok {
		return "", &FieldError{name, "is missing"}
	}
	if v.Type != gjson.String || v.Str == "" {
		return "", &FieldError{name, "must be a string that isn't empty"}
	}
	return v.Str, nil
}

func boolField(fields map[string]gjson.Result, name string) (bool, error) {
	v, ok := fields[name]
	if !ok || v.Type == gjson.Null {
		return false, nil
	}
	if !v.IsBool() {
		return false, &FieldError{name, "must be true or false"}
	}
	return v.Bool(), nil
}

func maxTokens(fields map[string]gjson.Result, limit int) (int, error) {
	for _, name := range []string{"max_completion_tokens", "max_tokens"} {
		v, ok := fields[name]
		if !ok || v.Type == gjson.Null {
			continue
		}
		n := v.Int()
		if v.Type != gjson.Number || v.Num != float64(n) || n < 1 {
			return 0, &FieldError{name, "must be a whole number of at least 1"}
		}
		if limit > 0 && n > int64(limit) {
			return 0, &FieldError{name, fmt.Sprintf("must be at most %d", limit)}
		}
		return int(n), nil
	}
	return 0, nil
}

// promptJSON returns the raw JSON of the prompt.
func promptJSON(e Endpoint, fields map[string]gjson.Result) (string, error) {
	if e == Completion {
		return completionPrompt(fields)
	}
	messages, ok := fields["messages"]
	if !ok {
		return "", &FieldError{"messages", "is missing"}
	}
	if !messages.IsArray() || messages.Get("#").Int() == 0 {
		return "", &FieldError{"messages", "must be an array that isn't empty"}
	}
	var err error
	n := 0
	messages.ForEach(func(_, m gjson.Result) bool {
		if role := m.Get("role"); !m.IsObject() || role.Type != gjson.String || role.Str == "" {
			err = &FieldError{fmt.Sprintf("messages[%d].role", n), "must be a string that isn't empty"}
		}
		n++
		return err == nil
	})
	return messages.Raw, err
}

func completionPrompt(fields map[string]gjson.Result) (string, error) {
	prompt, ok := fields["prompt"]
	if !ok {
		return "", &FieldError{"prompt", "is missing"}
	}
	if prompt.Type != gjson.String && !prompt.IsArray() {
		return "", &FieldError{"prompt", "must be a string or an array"}
	}
	return prompt.Raw, nil
}

// EngineFields are the request fields that entry instances overwrite.
type EngineFields struct {
	// Priority orders requests on the engine, lower values first. The caller's value is dropped, or
	// each caller would request the highest priority.
	Priority int
	// User is the workspace, so that engines can distinguish workspaces.
	User string
}

// EngineBody returns the request body for the engine. It always requests a stream; if the caller
// requested none, it also requests the usage, which the complete response holds.
func (r Request) EngineBody(f EngineFields) ([]byte, error) {
	body, err := sjson.SetBytes(r.Body, "stream", true)
	if err == nil && !r.Stream {
		body, err = sjson.SetRawBytes(body, "stream_options", []byte(`{"include_usage":true}`))
	}
	if err == nil {
		body, err = sjson.SetBytes(body, "priority", f.Priority)
	}
	if err == nil {
		body, err = sjson.SetBytes(body, "user", f.User)
	}
	if err != nil {
		return nil, &FieldError{"body", "can't be rewritten"}
	}
	return body, nil
}
