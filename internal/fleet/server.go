package fleet

import (
	"strconv"
	"time"
)

// ServerState is the state that a backend server reports.
type ServerState int

// States of a backend server.
const (
	StateReady ServerState = iota
	// StateDraining servers accept no new requests.
	StateDraining
)

// Server is one incarnation of a backend server, as registered.
type Server struct {
	ID      string
	Service string
	// Address has the form ip:port.
	Address string
	// DataCentre is the data centre in which it runs.
	DataCentre string
	// Version is the version of its software.
	Version string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	State ServerState
	// StartedAt is when this incarnation started.
	StartedAt time.Time
	// ColdUntil is until when the server is slower than usual after its start. It is zero if it
	// is not.
	ColdUntil time.Time
	// RenewedAt is when the server last renewed its registration, as seen by this process. It is zero before.
	RenewedAt time.Time
}

// Incarnation identifies one lifetime of a backend server, from its start to its end. It is
// comparable.
type Incarnation struct {
	ID string `json:"id"`
	// StartedMS is the start as a Unix time in milliseconds; 0 if it is unknown.
	StartedMS int64 `json:"started_ms,omitempty"`
}

// Incarnation returns the incarnation that is registered.
func (s Server) Incarnation() Incarnation {
	i := Incarnation{ID: s.ID}
	if !s.StartedAt.IsZero() {
		i.StartedMS = s.StartedAt.UnixMilli()
	}
	return i
}

// Replaces reports whether an incarnation is known to have followed another one.
func (i Incarnation) Replaces(other Incarnation) bool {
	return i.StartedMS > other.StartedMS || i.StartedMS == other.StartedMS && i.ID != other.ID
}

func (i Incarnation) String() string { return i.ID + "@" + strconv.FormatInt(i.StartedMS, 10) }
