// Package configcheck examines a configuration before it is sent: errors, entries that can never match, limits that
// contradict each other, and what differs from another configuration. Errors are found by the fold that the processes
// use themselves (package config). The package reads no files and sends nothing.
package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// Configuration is a complete configuration.
type Configuration struct {
	Tiers    []*configpb.Tier
	Versions []*configpb.BackendVersion
	Accounts []*configpb.ClientAccount
	Routes   []*configpb.Route
}

// Severity is how much a finding matters.
type Severity string

// Severities. A configuration with an error is not accepted; one with a warning is, and doesn't do what it seems to say.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is one problem of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Entity is the kind and name of the entity, such as "route/assistant".
	Entity  string `json:"entity"`
	Problem string `json:"problem"`
}

// Change is one entity that differs between two configurations.
type Change struct {
	Entity string `json:"entity"`
	// Change is "create", "change" or "only in force": applying a file removes nothing.
	Change string `json:"change"`
}

// Check returns the problems of a configuration: the errors first, then the warnings, by entity.
func Check(c Configuration) []Finding {
	findings := append(c.refused(), c.duplicates()...)
	if len(findings) == 0 {
		findings = append(findings, c.unmatched()...)
		findings = append(findings, c.contradictions()...)
	}
	slices.SortStableFunc(findings, func(a, b Finding) int {
		if a.Severity != b.Severity {
			return strings.Compare(string(a.Severity), string(b.Severity))
		}
		return strings.Compare(a.Entity, b.Entity)
	})
	return findings
}

// commands returns the commands that create the configuration, in an order in which each entity comes after those that
// it refers to.
func (c Configuration) commands() []*configpb.Command {
	var list []*configpb.Command
	for _, tier := range c.Tiers {
		list = append(list, &configpb.Command{Change: &configpb.Command_PutTier{PutTier: tier}})
	}
	for _, version := range c.Versions {
		list = append(list, &configpb.Command{Change: &configpb.Command_PutVersion{PutVersion: version}})
	}
	for _, account := range c.Accounts {
		list = append(list, &configpb.Command{Change: &configpb.Command_PutAccount{PutAccount: account}})
	}
	for _, route := range c.Routes {
		list = append(list, &configpb.Command{Change: &configpb.Command_PutRoute{PutRoute: route}})
	}
	return list
}

// refused returns the entities that the processes would refuse, applied to an empty configuration.
func (c Configuration) refused() []Finding {
	var findings []Finding
	state := &configpb.State{}
	seen := map[string]bool{}
	for i, command := range c.commands() {
		command.OperationId, command.Operator = fmt.Sprint("check-", i), "check"
		entity, _ := config.CommandTarget(command)
		if seen[entity] {
			// Reported as a duplicate.
			continue
		}
		seen[entity] = true
		var entry *configpb.AuditEntry
		state, entry = config.Apply(state, uint64(i)+1, &configpb.Record{Body: &configpb.Record_Command{Command: command}})
		if entry.GetResult() != configpb.AuditResult_AUDIT_RESULT_ACCEPTED {
			findings = append(findings, Finding{Severity: Error, Entity: entity, Problem: strings.TrimPrefix(entry.GetDetail(), entity+": ")})
		}
	}
	return findings
}

// duplicates returns the entities that are named twice, of which only the last one would count.
func (c Configuration) duplicates() []Finding {
	var findings []Finding
	seen := map[string]bool{}
	for _, command := range c.commands() {
		entity, _ := config.CommandTarget(command)
		if seen[entity] {
			findings = append(findings, Finding{Severity: Error, Entity: entity, Problem: "it is defined twice"})
		}
		seen[entity] = true
	}
	return findings
}

// unmatched returns the entities that no request can reach.
func (c Configuration) unmatched() []Finding {
	var findings []Finding
	warn := func(entity, format string, args ...any) {
		findings = append(findings, Finding{Severity: Warning, Entity: entity, Problem: fmt.Sprintf(format, args...)})
	}
	tierUsed, versionUsed, usable := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, account := range c.Accounts {
		entity := config.AccountEntity(account.GetName())
		switch {
		case account.GetDisabled():
			warn(entity, "it is disabled, so that nobody can use it")
		case len(account.GetKeys()) == 0:
			warn(entity, "it has no key, so that nobody can use it")
		default:
			usable[account.GetName()] = true
			for _, tier := range account.GetTiers() {
				tierUsed[tier] = true
			}
		}
	}
	for _, route := range c.Routes {
		entity := config.RouteEntity(route.GetName())
		for _, share := range route.GetShares() {
			if share.GetShareBp() == 0 {
				warn(entity, "version %s has a share of 0", share.GetVersion())
				continue
			}
			versionUsed[config.VersionKey(route.GetPool(), share.GetVersion())] = true
		}
		if allowed := route.GetAccounts(); len(allowed) > 0 && !slices.ContainsFunc(allowed, func(name string) bool { return usable[name] }) {
			warn(entity, "none of its client accounts can be used")
		}
		for i, operation := range route.GetOperations() {
			for _, earlier := range route.GetOperations()[:i] {
				if covers(earlier, operation) {
					warn(entity, "operation %s %s never matches: %s %s comes before it", operation.GetMethod(), operation.GetPathPrefix(), earlier.GetMethod(), earlier.GetPathPrefix())
					break
				}
			}
		}
	}
	for _, tier := range c.Tiers {
		if !tierUsed[tier.GetName()] {
			warn(config.TierEntity(tier.GetName()), "no client account can ask for it")
		}
	}
	for _, version := range c.Versions {
		if !versionUsed[config.VersionKey(version.GetPool(), version.GetName())] && version.GetState() == configpb.VersionState_VERSION_STATE_PROVEN {
			warn(config.VersionEntity(version.GetPool(), version.GetName()), "no route gives it a share")
		}
	}
	return findings
}

// covers reports whether every call that matches an operation also matches an earlier one with the same prefix. The
// longest prefix decides about a call, and the first operation of several with the same one.
func covers(earlier, later *configpb.Operation) bool {
	sameMethod := earlier.GetMethod() == "" || earlier.GetMethod() == later.GetMethod()
	return sameMethod && strings.Trim(earlier.GetPathPrefix(), "/") == strings.Trim(later.GetPathPrefix(), "/")
}

// contradictions returns the limits that make others pointless.
func (c Configuration) contradictions() []Finding {
	var findings []Finding
	warn := func(entity, format string, args ...any) {
		findings = append(findings, Finding{Severity: Warning, Entity: entity, Problem: fmt.Sprintf(format, args...)})
	}
	for _, route := range c.Routes {
		entity := config.RouteEntity(route.GetName())
		for _, tier := range c.Tiers {
			if limit := route.GetMaxTimeoutMs(); limit > 0 && tier.GetDefaultTimeoutMs() > limit {
				warn(entity, "its timeout of %d ms ends before the %d ms of tier %s", limit, tier.GetDefaultTimeoutMs(), tier.GetName())
			}
		}
		for _, account := range c.Accounts {
			limit := account.GetLimits().GetTokensPerSecond()
			allowed := len(route.GetAccounts()) == 0 || slices.Contains(route.GetAccounts(), account.GetName())
			if limit > 0 && allowed && float64(route.GetExpectedOutputTokens()) > limit {
				warn(config.AccountEntity(account.GetName()), "its %g tokens a second are less than the %d output tokens of one request to route %s", limit, route.GetExpectedOutputTokens(), route.GetName())
			}
		}
	}
	return findings
}

// Differences returns what applying a configuration would change in the one in force, and what is only in force, by
// entity. Versions without a state keep theirs.
func Differences(wanted, inForce Configuration) []Change {
	current := inForce.entities()
	var changes []Change
	for entity, message := range wanted.entities() {
		known, exists := current[entity]
		switch {
		case !exists:
			changes = append(changes, Change{Entity: entity, Change: "create"})
		case !Same(message, known):
			changes = append(changes, Change{Entity: entity, Change: "change"})
		}
		delete(current, entity)
	}
	for entity := range current {
		changes = append(changes, Change{Entity: entity, Change: "only in force"})
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Entity, b.Entity) })
	return changes
}

func (c Configuration) entities() map[string]proto.Message {
	all := map[string]proto.Message{}
	for _, tier := range c.Tiers {
		all[config.TierEntity(tier.GetName())] = tier
	}
	for _, version := range c.Versions {
		all[config.VersionEntity(version.GetPool(), version.GetName())] = version
	}
	for _, account := range c.Accounts {
		all[config.AccountEntity(account.GetName())] = account
	}
	for _, route := range c.Routes {
		all[config.RouteEntity(route.GetName())] = route
	}
	return all
}

// Same reports whether two entities are equal in the fields that a file can set. A version without a state keeps the
// current one's state and reason.
func Same(wanted, current proto.Message) bool {
	version, ok := wanted.(*configpb.BackendVersion)
	if !ok || version.GetState() != configpb.VersionState_VERSION_STATE_UNSPECIFIED {
		return proto.Equal(wanted, current)
	}
	same := proto.CloneOf(version)
	same.State = current.(*configpb.BackendVersion).GetState()
	same.Reason = current.(*configpb.BackendVersion).GetReason()
	return proto.Equal(same, current)
}
