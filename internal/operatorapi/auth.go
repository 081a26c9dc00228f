// Package operatorapi contains what the command and query parts of the operator API and its client
// have in common: authentication of operators, error responses, and the bodies of requests and
// answers. It contains no decision logic.
package operatorapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/lagoonlane/lagoonlane/internal/settings"
)

const bearerPrefix = "Bearer "

// HandlerFunc handles a request of an authenticated operator, given by name.
type HandlerFunc func(w http.ResponseWriter, r *http.Request, operator string)

// Authenticator identifies operators by the SHA-256 hashes of their keys.
type Authenticator struct{ operators []settings.Operator }

// NewAuthenticator returns an authenticator for the given operators.
func NewAuthenticator(operators []settings.Operator) *Authenticator {
	return &Authenticator{operators: operators}
}

// RequireOperator returns a handler that calls next for authenticated operators and responds with
// status 401 otherwise.
func (a *Authenticator) RequireOperator(next HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operator, ok := a.authenticate(r)
		if !ok {
			WriteProblem(w, &UnauthorizedError{})
			return
		}
		next(w, r, operator)
	})
}

// authenticate returns the name of the operator whose bearer key the request carries. It compares
// the key with those of all operators in constant time.
func (a *Authenticator) authenticate(r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || key == "" {
		return "", false
	}
	hash := sha256.Sum256([]byte(key))
	name := ""
	for _, operator := range a.operators {
		expected, err := hex.DecodeString(operator.KeySHA256)
		if err == nil && subtle.ConstantTimeCompare(hash[:], expected) == 1 {
			name = operator.Name
		}
	}
	return name, name != ""
}
