package engine

import (
	"github.com/ansel1/merry/v2"
	"github.com/tidwall/gjson"
)

// parseChunk sets the text and the finish reason of ev from ev.Data.
//
// It runs for each token and reads the fields in place: decoding chunks into structs caused more
// than half of the relay's allocations per token.
func parseChunk(ev *Event) error {
	chunk := gjson.Parse(ev.Data)
	if !gjson.Valid(ev.Data) || !chunk.IsObject() {
		return chunkError("is not a JSON object")
	}
	choices := chunk.Get("choices")
	if choices.Type == gjson.Null {
		return nil
	}
	if !choices.IsArray() {
		return chunkError("has choices that are not an array")
	}
	choice := choices.Get("0")
	if choice.Type == gjson.Null {
		return nil
	}
	delta := choice.Get("delta")
	if !choice.IsObject() || (delta.Type != gjson.Null && !delta.IsObject()) {
		return chunkError("has a choice that is not an object")
	}
	content, text, finish := delta.Get("content"), choice.Get("text"), choice.Get("finish_reason")
	if !isStringOrNull(content) || !isStringOrNull(text) || !isStringOrNull(finish) {
		return chunkError("has a text that is not a string")
	}
	ev.Text = content.Str + text.Str
	ev.FinishReason = finish.Str
	return nil
}

// isStringOrNull reports whether a field is a string, null or missing.
func isStringOrNull(r gjson.Result) bool { return r.Type == gjson.String || r.Type == gjson.Null }

func chunkError(problem string) error {
	return merry.Wrap(ErrInvalidResponse, merry.AppendMessagef("chunk %s", problem))
}
