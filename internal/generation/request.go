package generation

import (
	"encoding/base64"
	"strings"
)

const (
	requestPrefix = "req-"
	// requestVersion differs from the version of generation IDs, so that the text of one can't be
	// turned into the other.
	requestVersion = 0x71
	requestFields  = 2
)

// RequestID identifies a request of a caller, including one that was refused and has no generation.
// Entry is the entry instance that remembers it.
type RequestID struct {
	Entry string
	// Unique is random.
	Unique string
}

// FormatRequest returns the text form of id.
func (c *Codec) FormatRequest(id RequestID) (string, error) {
	raw, err := appendFields([]byte{requestVersion}, id.Entry, id.Unique)
	if err != nil {
		return "", err
	}
	raw = append(raw, tag(c.keys[0], raw)...)
	return requestPrefix + base64.RawURLEncoding.EncodeToString(raw), nil
}

// ParseRequest returns the ID in text, or [ErrInvalid].
func (c *Codec) ParseRequest(text string) (RequestID, error) {
	raw, err := c.verify(text, requestPrefix, requestVersion)
	if err != nil {
		return RequestID{}, err
	}
	fields, err := splitFields(raw, requestFields)
	if err != nil {
		return RequestID{}, err
	}
	return RequestID{Entry: fields[0], Unique: fields[1]}, nil
}

// verify checks the signature of a text and returns its encoded fields.
func (c *Codec) verify(text, prefix string, version byte) ([]byte, error) {
	encoded, ok := strings.CutPrefix(text, prefix)
	if !ok || len(text) > maxIDBytes {
		return nil, ErrInvalid
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	if err != nil || len(raw) < 1+tagBytes {
		return nil, ErrInvalid
	}
	signed, got := raw[:len(raw)-tagBytes], raw[len(raw)-tagBytes:]
	if !c.verifyTag(signed, got) || signed[0] != version {
		return nil, ErrInvalid
	}
	return signed[1:], nil
}

func appendFields(raw []byte, fields ...string) ([]byte, error) {
	for _, field := range fields {
		if len(field) > maxFieldBytes {
			return nil, ErrTooLong
		}
		raw = append(raw, byte(len(field)))
		raw = append(raw, field...)
	}
	return raw, nil
}

func splitFields(raw []byte, n int) ([]string, error) {
	fields := make([]string, n)
	for i := range fields {
		if len(raw) == 0 || len(raw) < 1+int(raw[0]) {
			return nil, ErrInvalid
		}
		end := 1 + int(raw[0])
		fields[i] = string(raw[1:end])
		raw = raw[end:]
	}
	if len(raw) != 0 {
		return nil, ErrInvalid
	}
	return fields, nil
}
