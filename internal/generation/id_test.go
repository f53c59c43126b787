package generation

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

var testID = ID{
	Server: "engine-1", Incarnation: "e1-5f2c", Request: "0b6f", Workspace: "club",
	Service: "briefing", Model: "glide-7b", Class: "interactive", Entry: "entry-1",
}

func newCodec(t require.TestingT, fill byte) *Codec {
	c, err := NewCodec(bytes.Repeat([]byte{fill}, minKeyBytes))
	require.NoError(t, err)
	return c
}

func TestEveryChangedByteIsRefused(t *testing.T) {
	c := newCodec(t, 1)
	text, err := c.Format(testID)
	require.NoError(t, err)
	got, err := c.Parse(text)
	require.NoError(t, err)
	require.Equal(t, testID, got)

	for i := range text {
		changed := []byte(text)
		changed[i] ^= 1
		_, err := c.Parse(string(changed))
		require.ErrorIs(t, err, ErrInvalid, "byte %d", i)
	}
	_, err = newCodec(t, 2).Parse(text)
	require.ErrorIs(t, err, ErrInvalid)
}

func TestParseReadsAcceptedKeys(t *testing.T) {
	oldKey, newKey := bytes.Repeat([]byte{1}, minKeyBytes), bytes.Repeat([]byte{2}, minKeyBytes)
	before, err := newCodec(t, 1).Format(testID)
	require.NoError(t, err)
	both, err := NewCodec(newKey, oldKey)
	require.NoError(t, err)
	got, err := both.Parse(before)
	require.NoError(t, err)
	require.Equal(t, testID, got)

	after, err := both.Format(testID)
	require.NoError(t, err)
	require.NotEqual(t, before, after, "IDs are signed with the first key")
	_, err = newCodec(t, 1).Parse(after)
	require.ErrorIs(t, err, ErrInvalid)
	_, err = NewCodec(newKey, oldKey[:8])
	require.ErrorIs(t, err, ErrKey)
}

func FuzzParse(f *testing.F) {
	c := newCodec(f, 1)
	text, err := c.Format(testID)
	require.NoError(f, err)
	f.Add(text)
	f.Add("gen-")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := c.Parse(text)
		if err != nil {
			require.ErrorIs(t, err, ErrInvalid)
			return
		}
		again, err := c.Format(id)
		require.NoError(t, err)
		require.Equal(t, text, again)
	})
}

func FuzzParseFields(f *testing.F) {
	f.Add([]byte{1, 'a', 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		id, err := parseFields(raw)
		if err != nil {
			require.ErrorIs(t, err, ErrInvalid)
			return
		}
		var n int
		for _, field := range id.fields() {
			n += 1 + len(field)
		}
		require.Len(t, raw, n)
	})
}
