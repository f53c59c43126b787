package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/protocol"

	"pollenspindle.example/pollenspindle/internal/httpclient"
)

// LoadState is the readiness of an engine in its load report.
type LoadState string

// States in load reports.
const (
	LoadCold    LoadState = "cold"
	LoadWarm    LoadState = "warm"
	LoadLeaving LoadState = "leaving"
)

// LoadReport is an engine's load as of MeasuredMillisAgo.
type LoadReport struct {
	Incarnation string `json:"incarnation"`
	// Tag identifies this report if the engine can send updates of it.
	Tag               string    `json:"tag,omitempty"`
	MeasuredMillisAgo int64     `json:"measuredMillisAgo"`
	State             LoadState `json:"state"`
	// MemoryTokens is the memory for sequences and cached prefixes, in tokens.
	MemoryTokens int `json:"memoryTokens"`
	// UsedTokens is the memory used by running sequences, in tokens.
	UsedTokens   int               `json:"usedTokens"`
	CachedTokens int               `json:"cachedTokens"`
	Running      []RunningSequence `json:"running"`
	Waiting      int               `json:"waiting"`
	// TokenIntervalMillis is the current time between two tokens.
	TokenIntervalMillis float64 `json:"tokenIntervalMillis"`
	Preemptions         int64   `json:"preemptions"`
	AcceptedTotal       int64   `json:"acceptedTotal"`
	FinishedTotal       int64   `json:"finishedTotal"`
	RefusedTotal        int64   `json:"refusedTotal"`
	// MaxPerSecond is the number of requests per second that the engine takes from all instances
	// together; 0 for no limit.
	MaxPerSecond float64 `json:"maxPerSecond,omitempty"`
}

// RunningSequence is one generation in a load report.
type RunningSequence struct {
	ID           string `json:"id"`
	PromptTokens int    `json:"promptTokens"`
	OutputTokens int    `json:"outputTokens"`
}

// CacheOp is the kind of a cache event.
type CacheOp string

// Operations in cache events.
const (
	CacheStored  CacheOp = "stored"
	CacheEvicted CacheOp = "evicted"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Seq        int64   `json:"seq"`
	PrefixHash string  `json:"prefixHash"`
	Op         CacheOp `json:"op"`
}

// CacheEvents is a page of cache events. A gap in Seq means that events were lost and that the
// known cache state may be wrong.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   int64        `json:"next"`
}

// CacheEvents returns the cache events with a number greater than after.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) (CacheEvents, error) {
	var events CacheEvents
	err := c.getJSON(ctx, address, "/v1/cache/events?after="+strconv.FormatInt(after, 10), nil, &events)
	return events, err
}

// State lists what an engine has loaded.
type State struct {
	Incarnation         string         `json:"incarnation"`
	Role                string         `json:"role"`
	Models              []ModelVersion `json:"models"`
	Adapters            []ModelVersion `json:"adapters"`
	HighestFencingToken int64          `json:"highestFencingNumber"`
}

// ModelVersion names a version of a model or an adapter.
type ModelVersion struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// State reads the state of an engine.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	var state State
	err := c.getJSON(ctx, address, "/v1/state", nil, &state)
	return state, err
}

// CommandKind is a kind of engine command.
type CommandKind string

// Kinds of engine commands.
const (
	CommandLoadModel   CommandKind = "loadModel"
	CommandLoadAdapter CommandKind = "loadAdapter"
	CommandSetRole     CommandKind = "setRole"
)

// Command is a command that changes what an engine has loaded, or its role.
type Command struct {
	// FencingToken is the fencing token; it increases with each holder of the command lock.
	FencingToken int64       `json:"fencingNumber"`
	Kind         CommandKind `json:"kind"`
	Name         string      `json:"name"`
	Version      string      `json:"version,omitempty"`
}

// SendCommand sends a command and returns the state after it. An engine that checks fencing tokens
// answers an old one with [ErrStaleFencing]. After [ErrUnknownOutcome] the command may have been
// executed: read the state.
func (c *Client) SendCommand(ctx context.Context, address string, command Command) (State, error) {
	body, err := json.Marshal(command)
	if err != nil {
		return State{}, merry.Wrap(ErrBadRequest, merry.WithCause(err))
	}
	r := newRequest(http.MethodPost, address, "/v1/orders")
	defer protocol.ReleaseRequest(r)
	r.SetBody(body)
	r.Header.SetContentTypeBytes([]byte("application/json"))
	resp, err := c.http.Do(ctx, address, r, httpclient.Call{FreshConnection: true})
	if err != nil {
		return State{}, callError(err)
	}
	defer resp.Close()
	switch resp.StatusCode() {
	case http.StatusOK:
		var state State
		if err := json.Unmarshal(resp.Bytes(), &state); err != nil {
			return State{}, merry.Wrap(ErrInvalidResponse, merry.WithCause(err))
		}
		return state, nil
	case http.StatusConflict:
		stale := &StaleFencingError{}
		if err := json.Unmarshal(resp.Bytes(), stale); err != nil {
			return State{}, merry.Wrap(ErrInvalidResponse, merry.WithCause(err))
		}
		return State{}, stale
	default:
		return State{}, statusError(resp)
	}
}
