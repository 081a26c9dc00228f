package config

import (
	"slices"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// MaxTierRank is the largest rank number, which is the lowest rank of a tier.
const MaxTierRank = 63

func (e *edit) putTier(tier *configpb.Tier) error {
	entity := TierEntity(tier.GetName())
	if err := checkName(entity, tier.GetName()); err != nil {
		return err
	}
	if err := checkText(entity, "description", tier.GetDescription()); err != nil {
		return err
	}
	if tier.GetRank() > MaxTierRank {
		return invalid(entity, "rank %d is over %d", tier.GetRank(), MaxTierRank)
	}
	for name, other := range e.state.GetTiers() {
		if name != tier.GetName() && other.GetRank() == tier.GetRank() {
			return invalid(entity, "rank %d is taken by tier %q", tier.GetRank(), name)
		}
	}
	e.tiers()[tier.GetName()] = tier
	e.setRevision(entity)
	return nil
}

func (e *edit) deleteTier(name string) error {
	entity := TierEntity(name)
	if e.state.GetTiers()[name] == nil {
		return invalid(entity, "it does not exist")
	}
	user, used := firstMatch(e.state.GetAccounts(), func(account *configpb.ClientAccount) bool {
		return slices.Contains(account.GetTiers(), name)
	})
	if used {
		return invalid(entity, "client account %q uses it", user)
	}
	delete(e.tiers(), name)
	e.removeRevision(entity)
	return nil
}
