package fleet

import "time"

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
}
