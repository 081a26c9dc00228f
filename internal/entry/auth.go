package entry

import (
	"crypto/sha256"
	"net/http"
	"strings"
	"sync"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

const bearerPrefix = "Bearer "

// apiKeyIndex maps the SHA-256 hash of an API key to its client account. The index is rebuilt when
// the configuration state changes.
type apiKeyIndex struct {
	mu       sync.Mutex
	state    *configpb.State
	accounts map[[sha256.Size]byte]*configpb.ClientAccount
}

// lookup returns the client account that owns the key with the given hash, or nil.
func (i *apiKeyIndex) lookup(state *configpb.State, hash [sha256.Size]byte) *configpb.ClientAccount {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.state != state {
		i.state = state
		i.accounts = indexAPIKeys(state)
	}
	return i.accounts[hash]
}

// indexAPIKeys builds the map from key hash to client account. Hashes of a wrong length are
// skipped.
func indexAPIKeys(state *configpb.State) map[[sha256.Size]byte]*configpb.ClientAccount {
	accounts := map[[sha256.Size]byte]*configpb.ClientAccount{}
	for _, account := range state.GetAccounts() {
		for _, key := range account.GetKeys() {
			if len(key.GetSha256()) == sha256.Size {
				accounts[[sha256.Size]byte(key.GetSha256())] = account
			}
		}
	}
	return accounts
}

// authenticate returns the client account that owns the bearer key of the request. It returns a
// problem if the key is missing or unknown, or if the account is disabled.
func (e *Entry) authenticate(state *configpb.State, r *http.Request) (*configpb.ClientAccount, *Problem) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !found || key == "" {
		return nil, notRunProblem(KindUnauthorized, http.StatusUnauthorized, "the header Authorization must be \"Bearer <key>\"")
	}
	account := e.apiKeys.lookup(state, sha256.Sum256([]byte(key)))
	if account == nil {
		return nil, notRunProblem(KindUnauthorized, http.StatusUnauthorized, "no client account has this key")
	}
	if account.GetDisabled() {
		return nil, notRunProblem(KindForbidden, http.StatusForbidden, "the client account is disabled")
	}
	return account, nil
}
