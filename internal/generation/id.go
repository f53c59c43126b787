// Package generation encodes and decodes the generation IDs that callers get.
//
// An ID says where its generation runs, so that any entry instance can resume or cancel it without
// shared state. It is authenticated, so it can't be forged or changed, and the engine's request ID
// inside it is random.
//
// # Usage
//
//	codec, err := generation.NewCodec(key)
//	text := codec.Format(generation.ID{Server: "engine-1", Request: uuid.NewString()})
//	id, err := codec.Parse(text)
package generation

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	// prefix distinguishes generation IDs from other IDs in logs.
	prefix = "gen-"
	// version is the first encoded byte, so that the fields can change during a rolling update.
	version = 1
	// tagBytes is the length of the truncated HMAC: 128 bits can't be guessed online.
	tagBytes = 16
	// minKeyBytes is the minimum length of a key.
	minKeyBytes = 32
	// maxIDBytes limits the length of an ID that is decoded.
	maxIDBytes = 2048
	// maxFieldBytes is the longest field that fits its one-byte length prefix.
	maxFieldBytes = 255
	numFields     = 8
)

// ErrInvalid means that a text is not an ID that was made with one of the keys.
var ErrInvalid = merry.New("invalid generation id")

// ErrKey means that the key is too short.
var ErrKey = merry.New("generation key is shorter than 32 bytes")

// ErrTooLong means that a field of an ID is too long to be encoded.
var ErrTooLong = merry.New("field of a generation id is longer than 255 bytes")

// ID identifies one generation on one incarnation of a backend server.
type ID struct {
	Server      string
	Incarnation string
	// Request is the engine's ID of the generation.
	Request   string
	Workspace string
	Service   string
	Model     string
	Class     pollenspindle.Class
	// Entry is the entry instance that holds the permit.
	Entry string
}

// Codec formats IDs with one key and accepts IDs of several keys.
//
// The fields are signed and not encrypted: they contain nothing that a caller may not know, and
// random nonces under one AES-GCM key would have to be counted at a thousand IDs per second.
type Codec struct {
	// keys holds the signing key, followed by the other accepted keys.
	keys [][]byte
}

// NewCodec returns a codec that signs IDs with key, the same on all entry instances. It also
// accepts IDs signed with one of the accepted keys: callers hold IDs for as long as their
// generations run, and resume through instances that were given another key in the meantime.
func NewCodec(key []byte, accepted ...[]byte) (*Codec, error) {
	c := &Codec{}
	for _, k := range append([][]byte{key}, accepted...) {
		if len(k) < minKeyBytes {
			return nil, ErrKey
		}
		c.keys = append(c.keys, append([]byte(nil), k...))
	}
	return c, nil
}

// Format returns the text form of id.
func (c *Codec) Format(id ID) (string, error) {
	raw, err := appendFields([]byte{version}, id.fields()...)
	if err != nil {
		return "", err
	}
	raw = append(raw, tag(c.keys[0], raw)...)
	return prefix + base64.RawURLEncoding.EncodeToString(raw), nil
}

// Parse returns the ID in text, or [ErrInvalid].
func (c *Codec) Parse(text string) (ID, error) {
	raw, err := c.verify(text, prefix, version)
	if err != nil {
		return ID{}, err
	}
	return parseFields(raw)
}

func tag(key, signed []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(signed)
	return mac.Sum(nil)[:tagBytes]
}

// verifyTag reports whether the tag was made with one of the keys.
func (c *Codec) verifyTag(signed, got []byte) bool {
	for _, key := range c.keys {
		if hmac.Equal(got, tag(key, signed)) {
			return true
		}
	}
	return false
}

func (id ID) fields() []string {
	return []string{
		id.Server, id.Incarnation, id.Request, id.Workspace,
		id.Service, id.Model, string(id.Class), id.Entry,
	}
}

func parseFields(raw []byte) (ID, error) {
	fields, err := splitFields(raw, numFields)
	if err != nil {
		return ID{}, err
	}
	return ID{
		Server: fields[0], Incarnation: fields[1], Request: fields[2], Workspace: fields[3],
		Service: fields[4], Model: fields[5], Class: pollenspindle.Class(fields[6]), Entry: fields[7],
	}, nil
}
