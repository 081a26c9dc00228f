package config

import (
	"bytes"
	"maps"
	"slices"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// MaxUnprovenShareBP is the largest share of an unproven version on a route with other versions,
// in basis points.
const MaxUnprovenShareBP = 500

// FullShareBP is the sum of the shares of a route, in basis points.
const FullShareBP = 10_000

// VersionKey returns the key of a version in State.Versions.
func VersionKey(pool, name string) string { return pool + "/" + name }

// TierEntity returns the key of a tier in State.Revisions and in the audit trail.
func TierEntity(name string) string { return "tier/" + name }

// AccountEntity returns the key of a client account in State.Revisions and in the audit trail.
func AccountEntity(name string) string { return "account/" + name }

// RouteEntity returns the key of a route in State.Revisions and in the audit trail.
func RouteEntity(name string) string { return "route/" + name }

// VersionEntity returns the key of a version in State.Revisions and in the audit trail.
func VersionEntity(pool, name string) string { return "version/" + VersionKey(pool, name) }

// MoveEntity returns the key of a move in State.Revisions and in the audit trail.
func MoveEntity(id string) string { return "move/" + id }

// MoveLeaseName returns the name of the lease that the driver of a move holds.
func MoveLeaseName(id string) string { return "move/" + id }

// AccountByKey returns the client account with a key of this SHA-256 hash. The result is false
// if there is none or if it is disabled.
func AccountByKey(state *configpb.State, sha256 []byte) (*configpb.ClientAccount, bool) {
	for _, account := range state.GetAccounts() {
		for _, key := range account.GetKeys() {
			if bytes.Equal(key.GetSha256(), sha256) {
				return account, !account.GetDisabled()
			}
		}
	}
	return nil, false
}

// MoveActive reports whether a move is neither done nor reversed.
func MoveActive(move *configpb.Move) bool {
	switch move.GetState() {
	case configpb.MoveState_MOVE_STATE_DONE, configpb.MoveState_MOVE_STATE_REVERSED:
		return false
	}
	return true
}

// ShareOf returns the share of a version in a route, in basis points.
func ShareOf(route *configpb.Route, version string) uint32 {
	for _, share := range route.GetShares() {
		if share.GetVersion() == version {
			return share.GetShareBp()
		}
	}
	return 0
}

// firstMatch returns the first matching entity in the order of names. Map iteration order would
// make the result differ between processes.
func firstMatch[V any](entities map[string]V, match func(V) bool) (string, bool) {
	for _, name := range slices.Sorted(maps.Keys(entities)) {
		if match(entities[name]) {
			return name, true
		}
	}
	return "", false
}
