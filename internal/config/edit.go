package config

import (
	"maps"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// edit applies one record. Its new state shares each map with the old state until the map is
// first written to.
type edit struct {
	state  *configpb.State
	offset uint64
	author string
	unixMS int64

	copiedTiers     bool
	copiedAccounts  bool
	copiedRoutes    bool
	copiedVersions  bool
	copiedMoves     bool
	copiedLeases    bool
	copiedRevisions bool
}

func newEdit(old *configpb.State, offset uint64, record *configpb.Record) *edit {
	return &edit{
		state: &configpb.State{
			Offset:     offset,
			Tiers:      old.GetTiers(),
			Accounts:   old.GetAccounts(),
			Routes:     old.GetRoutes(),
			Versions:   old.GetVersions(),
			Moves:      old.GetMoves(),
			Leases:     old.GetLeases(),
			Revisions:  old.GetRevisions(),
			Operations: old.GetOperations(),
			Audit:      old.GetAudit(),
		},
		offset: offset,
		author: record.GetAuthor(),
		unixMS: record.GetAppendedUnixMs(),
	}
}

// copyOnWrite returns a map that may be modified: it clones the map on the first call.
func copyOnWrite[V any](m map[string]V, copied *bool) map[string]V {
	if *copied {
		return m
	}
	*copied = true
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

func (e *edit) tiers() map[string]*configpb.Tier {
	e.state.Tiers = copyOnWrite(e.state.Tiers, &e.copiedTiers)
	return e.state.Tiers
}

func (e *edit) accounts() map[string]*configpb.ClientAccount {
	e.state.Accounts = copyOnWrite(e.state.Accounts, &e.copiedAccounts)
	return e.state.Accounts
}

func (e *edit) routes() map[string]*configpb.Route {
	e.state.Routes = copyOnWrite(e.state.Routes, &e.copiedRoutes)
	return e.state.Routes
}

func (e *edit) versions() map[string]*configpb.BackendVersion {
	e.state.Versions = copyOnWrite(e.state.Versions, &e.copiedVersions)
	return e.state.Versions
}

func (e *edit) moves() map[string]*configpb.Move {
	e.state.Moves = copyOnWrite(e.state.Moves, &e.copiedMoves)
	return e.state.Moves
}

func (e *edit) leases() map[string]*configpb.Lease {
	e.state.Leases = copyOnWrite(e.state.Leases, &e.copiedLeases)
	return e.state.Leases
}

// setRevision sets the revision of an entity to the offset of the record.
func (e *edit) setRevision(entity string) {
	e.state.Revisions = copyOnWrite(e.state.Revisions, &e.copiedRevisions)
	e.state.Revisions[entity] = e.offset
}

// removeRevision removes the revision of a deleted entity.
func (e *edit) removeRevision(entity string) {
	e.state.Revisions = copyOnWrite(e.state.Revisions, &e.copiedRevisions)
	delete(e.state.Revisions, entity)
}
