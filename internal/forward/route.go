package forward

import (
	"net/http"
	"net/url"
	"strings"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// Match returns the route of a call: the one with the same method and the longest path prefix,
// compared by complete segments. path is the escaped path as it is sent to the service.
//
// The route says whether the call may be retried, so the path is matched in the form in which the
// service interprets it: decoded. A path that the service might resolve to a different one is
// refused. Otherwise a non-idempotent call could match an idempotent route and be sent twice.
func Match(service *pollenspindle.Service, method, path string) (pollenspindle.Route, error) {
	decoded, err := decodePath(path)
	if err != nil {
		return pollenspindle.Route{}, err
	}
	best, found := pollenspindle.Route{}, false
	for _, route := range service.Routes {
		longer := !found || len(route.PathPrefix) > len(best.PathPrefix)
		if route.Method == method && longer && hasPrefix(decoded, route.PathPrefix) {
			best, found = route, true
		}
	}
	if !found {
		return best, answer.NotRun(http.StatusNotFound, answer.CodeUnknownRoute,
			"path: the service has no route for this method and path")
	}
	return best, nil
}

func hasPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

func decodePath(path string) (string, error) {
	segments := strings.Split(path, "/")
	if segments[0] != "" || len(segments) < 2 {
		return "", answer.Invalid("path", "must begin with a slash")
	}
	for i, segment := range segments[1:] {
		decoded, err := url.PathUnescape(segment)
		if err != nil {
			return "", answer.Invalid("path", "has an invalid escape sequence")
		}
		last := i == len(segments)-2
		switch {
		case decoded == "" && !last:
			return "", answer.Invalid("path", "has an empty segment")
		case decoded == "." || decoded == "..":
			return "", answer.Invalid("path", "has a dot segment")
		case strings.ContainsAny(decoded, "/\\;\x00"):
			return "", answer.Invalid("path", "has an escaped separator")
		}
		segments[i+1] = decoded
	}
	return strings.Join(segments, "/"), nil
}
