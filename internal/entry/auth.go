package entry

import (
	"crypto/sha256"
	"net/http"
	"strings"
	"sync"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

const bearerPrefix = "Bearer "

// keyIndex finds a client account by the hash of its key. It is rebuilt for
// each new state.
type keyIndex struct {
	mu       sync.Mutex
	state    *configpb.State
	accounts map[[sha256.Size]byte]*configpb.ClientAccount
}

func (i *keyIndex) lookup(state *configpb.State, hash [sha256.Size]byte) *configpb.ClientAccount {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.state != state {
		i.state = state
		i.accounts = indexKeys(state)
	}
	return i.accounts[hash]
}

func indexKeys(state *configpb.State) map[[sha256.Size]byte]*configpb.ClientAccount {
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

// authenticate returns the client account whose key the request shows.
func (e *Entry) authenticate(state *configpb.State, r *http.Request) (*configpb.ClientAccount, *Problem) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !found || key == "" {
		return nil, notRunProblem(KindUnauthorized, http.StatusUnauthorized, "the header Authorization must be \"Bearer <key>\"")
	}
	account := e.keys.lookup(state, sha256.Sum256([]byte(key)))
	if account == nil {
		return nil, notRunProblem(KindUnauthorized, http.StatusUnauthorized, "no client account has this key")
	}
	if account.GetDisabled() {
		return nil, notRunProblem(KindForbidden, http.StatusForbidden, "the client account is disabled")
	}
	return account, nil
}
