package fleet

import "time"

// ServerState is what a backend server says of itself.
type ServerState int

// States of a backend server.
const (
	StateReady ServerState = iota
	// StateDraining takes no new requests.
	StateDraining
)

// Server is one incarnation of a backend server, as it registered itself.
type Server struct {
	ID      string
	Service string
	// Address is ip:port.
	Address string
	Zone    string
	// Version of its software.
	Version string
	// Slots is the number of requests that it runs at a time.
	Slots int
	State ServerState
	// Born is the start of this incarnation.
	Born time.Time
	// ColdUntil is until when it is slower than usual after its start; zero: it isn't.
	ColdUntil time.Time
}
