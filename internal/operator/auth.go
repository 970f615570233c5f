package operator

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strings"

	"github.com/uptrace/bunrouter"
)

type operatorKey struct{}

// operatorOf returns the name of the operator of an authenticated request.
func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// authenticateRead lets operators read. A browser sends the token as the password of basic
// authentication.
func (s *server) authenticateRead(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, req bunrouter.Request) error {
		if len(s.Tokens) == 0 {
			return next(w, req)
		}
		token, ok := bearerToken(req.Request)
		if !ok {
			_, token, _ = req.BasicAuth()
		}
		return s.authenticate(token, next, w, req)
	}
}

// authenticateChange lets operators change. It accepts bearer tokens only, because a
// browser would add basic authentication to requests that other pages make.
func (s *server) authenticateChange(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, req bunrouter.Request) error {
		if len(s.Tokens) == 0 {
			return errNoOperators
		}
		token, _ := bearerToken(req.Request)
		return s.authenticate(token, next, w, req)
	}
}

func (s *server) authenticate(token string, next bunrouter.HandlerFunc, w http.ResponseWriter, req bunrouter.Request) error {
	// The map holds hashes, so the time of the look-up says nothing about a token.
	name, ok := s.Tokens[sha256.Sum256([]byte(token))]
	if token == "" || !ok {
		w.Header().Set("WWW-Authenticate", `Basic realm="boragegate", charset="UTF-8"`)
		return errUnauthorized
	}
	return next(w, req.WithContext(context.WithValue(req.Context(), operatorKey{}, name)))
}

func bearerToken(req *http.Request) (string, bool) {
	scheme, token, ok := strings.Cut(req.Header.Get("Authorization"), " ")
	return strings.TrimSpace(token), ok && strings.EqualFold(scheme, "bearer")
}
