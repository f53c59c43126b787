package engine

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenspindle.example/pollenspindle/internal/standin/batch"
)

// Status is the state of a generation in the ledger.
type Status string

// States of a generation.
const (
	StatusRunning   Status = "running"
	StatusFinished  Status = "finished"
	StatusCancelled Status = "cancelled"
	// StatusAbandoned means that the stream had no reader for too long.
	StatusAbandoned Status = "abandoned"
	// StatusLost means that the engine crashed during the generation.
	StatusLost Status = "lost"
)

// Entry describes one generation in the ledger.
type Entry struct {
	RequestID   string `json:"requestId"`
	Incarnation string `json:"incarnation"`
	// ArrivedAt is the wall-clock time at which the request arrived.
	ArrivedAt    time.Time `json:"arrivedAt"`
	Model        string    `json:"model"`
	Priority     int       `json:"priority"`
	PromptTokens int       `json:"promptTokens"`
	// OutputTokens counts the output tokens produced.
	OutputTokens int    `json:"outputTokens"`
	Status       Status `json:"ending"`
	Preemptions  int    `json:"preemptions"`
	// StallMillis is the total time between preemptions and the next tokens, in
	// wall-clock milliseconds.
	StallMillis int64 `json:"stallMillis"`
	// QueueMillis is the time from arrival to the first token, in wall-clock
	// milliseconds.
	QueueMillis int64 `json:"queueMillis"`
	// AcceptedUnixMillis is the time of arrival in milliseconds since 1970.
	AcceptedUnixMillis int64 `json:"acceptedUnixMillis"`
}

// generation is one request with the state of its stream.
type generation struct {
	entry    Entry
	sequence *batch.Sequence
	chat     bool
	created  int64
	tokenTag string
	// visibleTokens counts the tokens that readers can get. It lags behind the
	// sequence by the duration of a step.
	visibleTokens  int64
	hitTokenLimit  bool
	emitTimestamps bool

	acceptedAt          time.Time
	stalledAt           time.Time // zero unless preempted
	endedAt             time.Time
	lastReadAt          time.Time
	readers             map[*reader]bool
	firstTokenPublished bool
}

// reader is an open response. wake has capacity 1, since one pending signal is
// enough to make the reader check for new tokens.
type reader struct {
	wake chan struct{}
}

func (g *generation) ended() bool { return g.entry.Status != StatusRunning }

func (g *generation) notify() {
	for r := range g.readers {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// generationTag returns a tag that is part of every token of a generation, so that
// tests can detect streams that mix tokens of two generations.
func generationTag(incarnation, requestID string) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(incarnation+"/"+requestID)))
}

// TokenText returns the text of the token at a position of a generation.
func TokenText(position int64, tag string) string {
	return "w" + strconv.FormatInt(position, 10) + "-" + tag + " "
}

// appendEvent appends the server-sent event at position: a token, or the finish
// reason after the last token.
func (g *generation) appendEvent(buf []byte, position int64, last bool) []byte {
	buf = append(buf, "id: "...)
	buf = strconv.AppendInt(buf, position, 10)
	buf = append(buf, "\ndata: {\"id\":\""...)
	buf = append(buf, g.tokenTag...)
	buf = append(buf, "\",\"object\":\""...)
	if g.chat {
		buf = append(buf, "chat.completion.chunk"...)
	} else {
		buf = append(buf, "text_completion"...)
	}
	buf = append(buf, "\",\"created\":"...)
	buf = strconv.AppendInt(buf, g.created, 10)
	buf = append(buf, ",\"model\":"...)
	buf = strconv.AppendQuote(buf, g.entry.Model)
	buf = append(buf, ",\"choices\":[{\"index\":0,"...)
	text, finish := "", "null"
	if last {
		finish = g.finishReason()
	} else {
		text = TokenText(position, g.tokenTag)
	}
	if g.chat {
		buf = append(buf, "\"delta\":{"...)
		if position == 1 {
			buf = append(buf, "\"role\":\"assistant\","...)
		}
		buf = append(buf, "\"content\":\""...)
		buf = append(buf, text...)
		buf = append(buf, "\"},"...)
	} else {
		buf = append(buf, "\"text\":\""...)
		buf = append(buf, text...)
		buf = append(buf, "\","...)
	}
	buf = append(buf, "\"finish_reason\":"...)
	buf = append(buf, finish...)
	buf = append(buf, "}]"...)
	if g.emitTimestamps {
		// A reader on the same machine can compute the latency of the token.
		buf = append(buf, ",\"emittedNanos\":"...)
		buf = strconv.AppendInt(buf, time.Now().UnixNano(), 10)
	}
	return append(buf, "}\n\n"...)
}

func (g *generation) finishReason() string {
	if g.hitTokenLimit {
		return `"length"`
	}
	return `"stop"`
}
