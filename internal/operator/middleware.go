package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
)

func decodeHashes(hashes []string) ([][sha256.Size]byte, error) {
	var tokens [][sha256.Size]byte
	for _, hash := range hashes {
		token, err := decodeHash(hash)
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, token)
	}
	return tokens, nil
}

func decodeHash(hash string) ([sha256.Size]byte, error) {
	var token [sha256.Size]byte
	raw, err := hex.DecodeString(hash)
	if err != nil || len(raw) != len(token) {
		return token, merry.New("operators' token must be a hex-encoded SHA-256 hash")
	}
	copy(token[:], raw)
	return token, nil
}

// authenticate checks the bearer token. It compares hashes in constant time: otherwise the duration
// of the comparison would reveal how much of a guessed token is right.
func (s *Server) authenticate(ctx context.Context, c *app.RequestContext) {
	token, ok := strings.CutPrefix(string(c.GetHeader(consts.HeaderAuthorization)), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	if !ok || !s.isKnownToken(sum) {
		c.Header("WWW-Authenticate", "Bearer")
		s.respondFailure(c, consts.StatusUnauthorized, operatorapi.FailureDetail{
			Code: operatorapi.CodeUnauthorized, Message: "the operators' token is missing or wrong",
		})
		c.Abort()
		return
	}
	c.Next(ctx)
}

func (s *Server) isKnownToken(sum [sha256.Size]byte) bool {
	found := 0
	for _, token := range s.tokens {
		found |= subtle.ConstantTimeCompare(sum[:], token[:])
	}
	return found == 1
}

// recoverPanic responds with 500 if a call panics, so that the panic doesn't end the process, which
// serves the streams of callers.
func (s *Server) recoverPanic(ctx context.Context, c *app.RequestContext) {
	defer func() {
		if fault := recover(); fault != nil {
			s.opts.Log.Error().Interface("panic", fault).Str("path", string(c.Path())).Msg("Call panicked.")
			s.respondFailure(c, consts.StatusInternalServerError, operatorapi.FailureDetail{
				Code: operatorapi.CodeInternal, Message: "internal error",
			})
			c.Abort()
		}
	}()
	c.Next(ctx)
}
