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

// authenticateRead allows reads by operators, or by everyone if no operators are
// configured. It accepts a bearer token, or the token as the password of basic
// authentication, which is what a browser sends.
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

// authenticateChange allows changes by operators. It accepts bearer tokens only,
// since a browser also adds basic authentication to cross-site requests.
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
	// The map is keyed by hash, so the time of the look-up reveals nothing about a token.
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
