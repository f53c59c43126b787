package caller

import (
	"encoding/json"
	"strconv"
	"strings"

	"pollenspindle.example/pollenspindle/internal/eventstream"
	"pollenspindle.example/pollenspindle/internal/loadgen/measure"
)

// tokenChecker checks that the tokens of a stream arrive exactly once, in order and from a
// single generation. The text of an engine stand-in's token contains its position and the tag
// of its generation.
type tokenChecker struct {
	lastID   int64
	tokens   int64
	tag      string
	finished bool
	faults   measure.Faults
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// accept processes an event and reports whether it is a new token.
func (c *tokenChecker) accept(ev eventstream.Event) bool {
	switch {
	case ev.ID <= c.lastID:
		c.faults.Duplicated++
		return false
	case ev.ID > c.lastID+1:
		c.faults.Lost += ev.ID - c.lastID - 1
	}
	c.lastID = ev.ID
	var parsed chunk
	if json.Unmarshal(ev.Data, &parsed) != nil || len(parsed.Choices) == 0 {
		c.faults.Foreign++
		return false
	}
	if parsed.Choices[0].FinishReason != "" {
		c.finished = true
		return false
	}
	c.checkText(ev.ID, parsed.Choices[0].Delta.Content)
	c.tokens++
	return true
}

// checkText compares the position and tag in a token's text with those of the stream.
func (c *tokenChecker) checkText(position int64, text string) {
	number, tag, ok := strings.Cut(strings.TrimSpace(strings.TrimPrefix(text, "w")), "-")
	embedded, err := strconv.ParseInt(number, 10, 64)
	if !ok || err != nil {
		c.faults.Foreign++
		return
	}
	if embedded != position {
		c.faults.OutOfOrder++
	}
	if c.tag == "" {
		c.tag = tag
	}
	if tag != c.tag {
		c.faults.Foreign++
	}
}

// checkEnd processes the end marker. Without a finish reason before it, the last events are
// lost.
func (c *tokenChecker) checkEnd() {
	if !c.finished {
		c.faults.Lost++
	}
}
