package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// bodyReadKey is set in the context of a request whose body was read to its end.
const bodyReadKey = "bodyRead"

// identity is the workspace of a request, as of one version of the configuration.
type identity struct {
	snapshot  *config.Snapshot
	workspace *pollenspindle.Workspace
}

// authenticate finds the workspace of the bearer token.
//
// The token's SHA-256 is looked up in a map, whose timing depends on the hash. Callers can't
// choose hashes, so the timing reveals nothing about other tokens, and a constant-time comparison
// would add no protection.
func (s *Server) authenticate(c *app.RequestContext) (identity, error) {
	snapshot := s.opts.Config.Snapshot()
	if token, ok := bearerToken(c); ok && snapshot != nil {
		if workspace, ok := snapshot.WorkspaceByToken[tokenSum(token)]; ok {
			return identity{snapshot, workspace}, nil
		}
	}
	return identity{}, answer.NotRun(http.StatusUnauthorized, answer.CodeUnauthorized,
		"Authorization: a bearer token of a workspace is needed")
}

func tokenSum(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// readBody reads the body and fails if it is larger than limit bytes.
func readBody(c *app.RequestContext, limit int) ([]byte, error) {
	if limit <= 0 || limit > maxBodyBytes {
		limit = maxBodyBytes
	}
	length := c.Request.Header.ContentLength()
	if length > limit {
		return nil, tooLarge(limit)
	}
	if !c.Request.IsBodyStream() {
		c.Set(bodyReadKey, true)
		body := c.Request.Body()
		if len(body) > limit {
			return nil, tooLarge(limit)
		}
		return append([]byte(nil), body...), nil
	}
	most := limit + 1
	if length >= 0 {
		// The library's stream reads beyond the length into a larger buffer.
		most = length
	}
	body, err := io.ReadAll(io.LimitReader(c.RequestBodyStream(), int64(most)))
	if err != nil || len(body) < length {
		return nil, answer.Invalid("body", "is shorter than its Content-Length")
	}
	if len(body) > limit {
		return nil, tooLarge(limit)
	}
	c.Set(bodyReadKey, true)
	return body, nil
}

func isBodyRead(c *app.RequestContext) bool {
	return c.GetBool(bodyReadKey) || c.Request.Header.ContentLength() == 0
}

func tooLarge(limit int) error {
	return answer.NotRun(http.StatusRequestEntityTooLarge, answer.CodeBodyTooLarge,
		"body: larger than "+strconv.Itoa(limit)+" bytes")
}

func checkJSON(c *app.RequestContext) error {
	mediaType, _, err := mime.ParseMediaType(string(c.Request.Header.ContentType()))
	if err != nil || mediaType != "application/json" {
		return answer.NotRun(http.StatusUnsupportedMediaType, answer.CodeContentType,
			"Content-Type: must be application/json")
	}
	return nil
}
