package system

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/caller"
	"pollenspindle.example/pollenspindle/internal/standin/engine"
	"pollenspindle.example/pollenspindle/internal/standin/service"
)

// ListedInstances returns the response of an instance to GET /v1/instances, or nil if the request
// fails.
func (s *System) ListedInstances(t testing.TB, in *Instance) []caller.ListedInstance {
	t.Helper()
	res, err := http.DefaultClient.Do(newRequest(t.Context(), t, http.MethodGet, "http://"+in.Caller+"/v1/instances", "", nil))
	if err != nil {
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	var a caller.InstancesResponse
	if json.NewDecoder(res.Body).Decode(&a) != nil {
		return nil
	}
	return a.Instances
}

// Caller is a caller of one workspace.
type Caller struct {
	// Token is the bearer token.
	Token string
	// Client sends all requests; each Caller has its own connections.
	Client *http.Client
}

// Caller returns a caller of a workspace of the deployment.
func (s *System) Caller(workspace string) *Caller {
	return &Caller{
		Token:  s.opts.Deployment + "-" + workspace,
		Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
}

func newRequest(ctx context.Context, t testing.TB, method, url, token string, body []byte) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	require.NoError(t, err)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req
}

// Reply is a complete HTTP response.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Failure returns the error detail of an error response.
func (r Reply) Failure(t testing.TB) answer.Detail {
	t.Helper()
	var b answer.Body
	require.NoError(t, json.Unmarshal(r.Body, &b), "%s", r.Body)
	return b.Error
}

// Call sends one request and reads the complete response. It returns an error if the connection
// failed.
func (c *Caller) Call(ctx context.Context, t testing.TB, method, address, path string, body []byte, header ...string) (Reply, error) {
	t.Helper()
	req := newRequest(ctx, t, method, "http://"+address+path, c.Token, body)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := c.Client.Do(req)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return Reply{Status: res.StatusCode, Header: res.Header, Body: data}, err
}

// Token is one event of a stream.
type Token struct {
	Position int64
	Text     string
	Finish   string
	At       time.Time
}

// Stream is a streamed generation as seen by its caller.
type Stream struct {
	ID     string
	Status int

	body    io.ReadCloser
	scanner *bufio.Scanner
	// Tokens are the events received so far.
	Tokens []Token
	// Failure is the error event that ended the stream, or nil.
	Failure *answer.Detail
}

// ErrStreamInterrupted means that the stream ended without [DONE] and without an error event.
var ErrStreamInterrupted = errors.New("stream ended without [DONE] or an error event")

// Generate starts a streamed chat completion.
func (c *Caller) Generate(ctx context.Context, t testing.TB, address, model, prompt string, maxTokens int) (*Stream, error) {
	t.Helper()
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": maxTokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	require.NoError(t, err)
	return c.stream(newRequest(ctx, t, http.MethodPost, "http://"+address+"/v1/chat/completions", c.Token, body))
}

// Resume resumes a generation after a position.
func (c *Caller) Resume(ctx context.Context, t testing.TB, address, id string, after int64) (*Stream, error) {
	t.Helper()
	req := newRequest(ctx, t, http.MethodGet, "http://"+address+"/v1/generations/"+id, c.Token, nil)
	req.Header.Set("Last-Event-ID", strconv.FormatInt(after, 10))
	return c.stream(req)
}

func (c *Caller) stream(req *http.Request) (*Stream, error) {
	res, err := c.Client.Do(req) //nolint:bodyclose // Stream.Close closes it.
	if err != nil {
		return nil, err
	}
	s := &Stream{Status: res.StatusCode, body: res.Body, ID: res.Header.Get("X-Generation-Id")}
	if res.StatusCode != http.StatusOK {
		defer s.Close()
		var b answer.Body
		if err := json.NewDecoder(res.Body).Decode(&b); err != nil {
			return s, err
		}
		s.Failure = &b.Error
		return s, nil
	}
	s.scanner = bufio.NewScanner(res.Body)
	s.scanner.Buffer(nil, 1<<20)
	return s, nil
}

// chunk holds the fields of an OpenAI chunk that the tests use.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error *answer.Detail `json:"error"`
}

// Next reads one token. It returns io.EOF after [DONE] or an error event, and
// ErrStreamInterrupted if the connection ended before either.
func (s *Stream) Next() (Token, error) {
	var tok Token
	for s.scanner != nil && s.scanner.Scan() {
		line := s.scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			tok.Position, _ = strconv.ParseInt(id, 10, 64)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return tok, io.EOF
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return tok, fmt.Errorf("chunk %q: %w", data, err)
		}
		if c.Error != nil {
			s.Failure = c.Error
			return tok, io.EOF
		}
		s.ID = c.ID
		tok.At = time.Now()
		if len(c.Choices) > 0 {
			tok.Text = c.Choices[0].Delta.Content + c.Choices[0].Text
			tok.Finish = c.Choices[0].FinishReason
		}
		s.Tokens = append(s.Tokens, tok)
		return tok, nil
	}
	return tok, ErrStreamInterrupted
}

// Read reads n tokens, or all remaining tokens if n is 0. It returns nil after n tokens or at the
// end of the stream.
func (s *Stream) Read(n int) error {
	for i := 0; n == 0 || i < n; i++ {
		if _, err := s.Next(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
	return nil
}

// Close closes the connection.
func (s *Stream) Close() {
	_ = s.body.Close()
}

// RequireCompleteStream checks that tokens, received over one stream or over several that resume
// one another, are all tokens of one generation, each once and in order.
func RequireCompleteStream(t testing.TB, tokens []Token) {
	t.Helper()
	require.NotEmpty(t, tokens)
	tag := ""
	for i, tok := range tokens {
		require.Equal(t, int64(i+1), tok.Position, "position")
		if tok.Finish != "" {
			require.Len(t, tokens, i+1, "events after the end")
			return
		}
		// Token n of a generation of the stand-in is "wN-TAG ".
		number, own, ok := strings.Cut(strings.TrimSpace(tok.Text), "-")
		require.True(t, ok, "token %q", tok.Text)
		require.Equal(t, fmt.Sprint("w", tok.Position), number)
		if tag == "" {
			tag = own
		}
		require.Equal(t, tag, own, "token of another generation")
	}
	require.Fail(t, "stream has no end", "%d tokens", len(tokens))
}

// EngineLedger returns the ledger of a model engine, which covers all incarnations since its
// process started.
func (s *System) EngineLedger(t testing.TB, server string) engine.Ledger {
	t.Helper()
	var l engine.Ledger
	data := s.Control(t, s.Servers[server].Address, http.MethodGet, "/control/ledger", nil)
	require.NoError(t, json.Unmarshal(data, &l))
	return l
}

// ServiceLedger returns the ledger of a plain server, which records the effects of its calls.
func (s *System) ServiceLedger(t testing.TB, server string) service.Ledger {
	t.Helper()
	var l service.Ledger
	data := s.Control(t, s.Servers[server].Address, http.MethodGet, "/control/ledger", nil)
	require.NoError(t, json.Unmarshal(data, &l))
	return l
}
