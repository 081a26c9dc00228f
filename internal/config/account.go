package config

import (
	"bytes"
	"crypto/sha256"
	"math"
	"slices"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

func (e *edit) putAccount(account *configpb.ClientAccount) error {
	entity := AccountEntity(account.GetName())
	if err := checkName(entity, account.GetName()); err != nil {
		return err
	}
	if err := e.checkAccountTiers(entity, account); err != nil {
		return err
	}
	if err := e.checkKeys(entity, account); err != nil {
		return err
	}
	if err := checkLimits(entity, account.GetLimits()); err != nil {
		return err
	}
	e.accounts()[account.GetName()] = account
	e.setRevision(entity)
	return nil
}

func (e *edit) checkAccountTiers(entity string, account *configpb.ClientAccount) error {
	if err := checkListLength(entity, "tiers", len(account.GetTiers())); err != nil {
		return err
	}
	if len(account.GetTiers()) == 0 {
		return invalid(entity, "it names no tier")
	}
	for _, tier := range account.GetTiers() {
		if e.state.GetTiers()[tier] == nil {
			return invalid(entity, "tier %q does not exist", tier)
		}
	}
	return nil
}

func (e *edit) checkKeys(entity string, account *configpb.ClientAccount) error {
	if err := checkListLength(entity, "keys", len(account.GetKeys())); err != nil {
		return err
	}
	for i, key := range account.GetKeys() {
		if err := checkName(entity, key.GetId()); err != nil {
			return err
		}
		if len(key.GetSha256()) != sha256.Size {
			return invalid(entity, "key %q is not a SHA-256", key.GetId())
		}
		for _, earlier := range account.GetKeys()[:i] {
			if earlier.GetId() == key.GetId() || bytes.Equal(earlier.GetSha256(), key.GetSha256()) {
				return invalid(entity, "key %q is given twice", key.GetId())
			}
		}
		if e.keyInUse(account.GetName(), key.GetSha256()) {
			return invalid(entity, "key %q belongs to another client account", key.GetId())
		}
	}
	return nil
}

// keyInUse reports whether a client account other than the given one has a key with this hash.
func (e *edit) keyInUse(account string, hash []byte) bool {
	for name, other := range e.state.GetAccounts() {
		if name == account {
			continue
		}
		for _, key := range other.GetKeys() {
			if bytes.Equal(key.GetSha256(), hash) {
				return true
			}
		}
	}
	return false
}

func checkLimits(entity string, limits *configpb.AccountLimits) error {
	for _, rate := range []float64{limits.GetRequestsPerSecond(), limits.GetTokensPerSecond()} {
		if rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
			return invalid(entity, "a rate limit is a number of 0 or more")
		}
	}
	return nil
}

func (e *edit) deleteAccount(name string) error {
	entity := AccountEntity(name)
	if e.state.GetAccounts()[name] == nil {
		return invalid(entity, "it does not exist")
	}
	user, used := firstMatch(e.state.GetRoutes(), func(route *configpb.Route) bool {
		return slices.Contains(route.GetAccounts(), name)
	})
	if used {
		return invalid(entity, "route %q names it", user)
	}
	delete(e.accounts(), name)
	e.removeRevision(entity)
	return nil
}
