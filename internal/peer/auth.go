package peer

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"net/http"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"
)

const (
	// authHeader holds sender, time and code, separated by spaces.
	authHeader = "Peer-Auth"
	keyBytes   = 32
	// codeBytes is how much of the HMAC is sent: half of it, as RFC 2104 allows. 128 bits can't be
	// guessed either, and the other half would add 20 bytes to each call.
	codeBytes = sha256.Size / 2
	// authWindow is the maximum difference between the time of a token and the receiver's clock. It
	// allows for clock skew and makes a recorded call useless afterwards. A replay within the
	// window has no effect, since every call of the service is idempotent or names the sender's
	// incarnation or permit.
	authWindow = 30 * time.Second
)

// Key authenticates instances to each other.
type Key struct {
	secret []byte
	// accepted are further secrets whose tokens are accepted, for key rotation.
	accepted [][]byte
}

// NewKey decodes a key of 32 bytes in base64, and further keys whose tokens are accepted.
func NewKey(encoded string, accepted ...string) (Key, error) {
	var k Key
	for i, text := range append([]string{encoded}, accepted...) {
		secret, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(secret) != keyBytes {
			return Key{}, merry.Wrap(ErrKey)
		}
		if i == 0 {
			k.secret = secret
		} else {
			k.accepted = append(k.accepted, secret)
		}
	}
	return k, nil
}

// Token returns a token with which sender authenticates a call of procedure at now.
func (k Key) Token(now time.Time, sender, procedure string) string {
	millis := strconv.FormatInt(now.UnixMilli(), 36)
	return sender + " " + millis + " " + computeCode(k.secret, sender, millis, procedure)
}

// Check returns the sender of a token if it is valid for procedure and its time is within the
// window.
func (k Key) Check(now time.Time, token, procedure string) (string, error) {
	parts := strings.Split(token, " ")
	if len(parts) != 3 {
		return "", merry.Prepend(ErrUnauthenticated, "malformed token")
	}
	sender, millis := parts[0], parts[1]
	if !k.validCode(parts[2], sender, millis, procedure) {
		return "", merry.Prepend(ErrUnauthenticated, "invalid code")
	}
	at, err := strconv.ParseInt(millis, 36, 64)
	if err != nil {
		return "", merry.Prepend(ErrUnauthenticated, "malformed time")
	}
	if age := now.Sub(time.UnixMilli(at)); age > authWindow || age < -authWindow {
		return "", merry.Prepend(ErrUnauthenticated, "time out of range")
	}
	return sender, nil
}

// validCode reports whether the code was made with one of the secrets.
func (k Key) validCode(got, sender, millis, procedure string) bool {
	if hmac.Equal([]byte(got), []byte(computeCode(k.secret, sender, millis, procedure))) {
		return true
	}
	for _, secret := range k.accepted {
		if hmac.Equal([]byte(got), []byte(computeCode(secret, sender, millis, procedure))) {
			return true
		}
	}
	return false
}

func computeCode(secret []byte, sender, millis, procedure string) string {
	mac := hmac.New(sha256.New, secret)
	// The separator can't occur in an instance name or a path.
	_, _ = mac.Write([]byte(sender + "\n" + millis + "\n" + procedure))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:codeBytes])
}

type senderKey struct{}

// Sender returns the authenticated name of the instance that made a call.
func Sender(ctx context.Context) string {
	sender, _ := ctx.Value(senderKey{}).(string)
	return sender
}

// authenticate returns an interceptor that rejects calls without a valid token.
func authenticate(key Key) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			sender, err := key.Check(time.Now(), req.Header().Get(authHeader), req.Spec().Procedure)
			if err != nil {
				return nil, connect.NewError(connect.CodeUnauthenticated, ErrUnauthenticated)
			}
			return next(context.WithValue(ctx, senderKey{}, sender), req)
		}
	}
}

// RequireToken refuses calls without a valid token before their bodies are read. Requests without a body are left to
// their handlers.
func RequireToken(key Key, now func() time.Time, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			if _, err := key.Check(now(), r.Header.Get(authHeader), r.URL.Path); err != nil {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusUnauthorized)
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

// sign returns an interceptor that adds a token to calls of sender.
func sign(key Key, sender string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set(authHeader, key.Token(time.Now(), sender, req.Spec().Procedure))
			return next(ctx, req)
		}
	}
}
