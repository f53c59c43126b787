package openai

import (
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"
)

// ErrMalformedChunk is returned for a malformed chunk of an engine.
var ErrMalformedChunk = merry.New("malformed chunk")

// IDWriter replaces the id in the chunks of one generation by the id that the caller was given.
type IDWriter struct {
	id     string
	quoted string
	buf    []byte
}

// NewIDWriter returns a writer for id, which must consist of printable ASCII.
func NewIDWriter(id string) *IDWriter { return &IDWriter{id: id, quoted: strconv.Quote(id)} }

// Rewrite returns the chunk with the id replaced. The result is valid until the next call: Rewrite
// runs for each token, and copying each result caused a quarter of all allocations.
func (w *IDWriter) Rewrite(chunk string) ([]byte, error) {
	old := gjson.Get(chunk, "id")
	if old.Index == 0 {
		return w.insert(chunk)
	}
	w.buf = append(w.buf[:0], chunk[:old.Index]...)
	w.buf = append(w.buf, w.quoted...)
	w.buf = append(w.buf, chunk[old.Index+len(old.Raw):]...)
	return w.buf, nil
}

// insert adds the id to a chunk without one.
func (w *IDWriter) insert(chunk string) ([]byte, error) {
	out, err := sjson.Set(chunk, "id", w.id)
	if err != nil {
		return nil, merry.Wrap(ErrMalformedChunk, merry.WithCause(err))
	}
	return []byte(out), nil
}
